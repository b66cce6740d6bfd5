//! The entry process: the callers' front, the administration API, and the log's follower.
//!
//! The decisions are in `wagtailreel-route` and `wagtailreel-fold`; this is the shell that carries
//! them out. [`EntryProcess`] starts and stops it.

mod admin;
mod backoff;
mod claims;
mod config;
mod drain;
mod error;
pub mod events;
mod follower;
mod front;
mod in_force;
mod live;
mod metrics;
mod peers;
mod process;
mod service;
mod services;
mod shared;
mod snapshots;
mod vms;

pub use error::EntryError;
pub use in_force::wait_in_force;
pub use process::{EntryAddrs, EntryProcess};
