//! I/O of the control protocol: the entry's server and the agent's client.
//!
//! [`EntryControl`] and [`AgentControl`] each run a thread of their own for `capnp-rpc` and talk to
//! the rest of the process by channels. The entry's thread executes the decisions of the opener of
//! `wagtailreel-switch`: sync rounds among the entries of a data centre, and a directive
//! for each report of an agent. [`pull_state`] takes the configuration from a peer.

mod agent;
mod counted;
mod entry;
mod error;
pub mod events;
mod link;
mod metrics;
mod pull;
mod thread;
mod urgent;

pub use agent::{AgentControl, AgentControlConfig, FromEntry};
pub use entry::{
    AgentView, AgentViews, Demand, DemandView, DemandViews, EntryControl, EntryControlConfig,
};
pub use error::ControlError;
pub use pull::pull_state;
