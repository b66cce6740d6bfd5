//! Brings chunks to an agent and serves them to its peers.
//!
//! [`Transfer`] is the shell round the planner of `wagtailreel-spread`: it keeps verified chunks
//! in memory, carries out the fetches that the planner asks for, tells it what neighbours have,
//! and serves the own chunks through [`Transfer::router`]. Nothing is kept, counted or given on
//! before its digest was verified.

mod bucket;
mod config;
mod current;
mod driver;
mod error;
pub mod events;
mod fetch;
mod gives;
mod haves;
mod layout;
mod manifests;
mod metrics;
mod progress;
mod serve;
mod shared;
mod store;
mod transfer;
mod verify;
mod watch;

pub use config::{TransferConfig, Wanted};
pub use error::TransferError;
pub use progress::{EpochProgress, Progress};
pub use transfer::Transfer;
