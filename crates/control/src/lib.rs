//! The shells of the control protocol: the entry's server and the agent's client.

mod agent;
mod entry;
mod error;

use std::net::SocketAddr;
use std::time::Duration;

use wagtailreel_core::StateView;

pub use agent::{AgentControl, AgentControlConfig, FromEntry};
pub use entry::{AgentView, AgentViews, Demand, EntryControl, EntryControlConfig, PeerViews};
pub use error::ControlError;

/// Asks the entry or agent at `addr` for its configuration.
///
/// # Errors
///
/// Returns a [`ControlError`] if the peer can't be reached, does not answer within `timeout` or
/// breaks off the call.
pub async fn pull_state(addr: SocketAddr, timeout: Duration) -> Result<StateView, ControlError> {
    error::TimeoutSnafu { addr, timeout }.fail()
}
