//! The shells of the control protocol: the entry's server and the agent's client.
