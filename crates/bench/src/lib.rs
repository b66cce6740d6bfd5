//! Load tool, experiments and demonstration; not shipped.
//!
//! [`fleet`] starts the whole system as real processes with stand-ins for the outside systems;
//! the other modules use it.

pub mod answer;
pub mod burst;
mod burst_cli;
pub mod cli;
pub mod demo;
mod error;
pub mod fleet;
pub mod flips;
pub mod hop;
pub mod http_client;
pub mod load;
pub mod metrics;
mod ports;
mod process;
pub mod slopes;
pub mod sse;
mod wait;

pub use error::{BenchError, Result};
pub use ports::Ports;
pub use process::Process;
pub use wait::{Look, wait_for, wait_until};
