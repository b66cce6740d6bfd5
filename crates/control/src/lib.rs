//! The shells of the control protocol: the entry's server and the agent's client.

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
