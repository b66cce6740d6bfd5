//! Brings chunks to an agent and serves them to its peers.
