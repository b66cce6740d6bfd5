//! Load tool, experiments and demonstration; not shipped.
//!
//! [`fleet`] starts the whole system as real processes with stand-ins for the outside systems;
//! the other modules use it.

pub mod answer;
mod error;
pub mod fleet;
pub mod http_client;
pub mod load;
mod ports;
mod process;
pub mod sse;
mod wait;

pub use error::{BenchError, Result};
pub use ports::Ports;
pub use process::Process;
pub use wait::{Look, wait_for, wait_until};
