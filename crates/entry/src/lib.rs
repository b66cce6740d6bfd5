//! The entry process: the listener for callers, the administration API, and the follower of the log.
//!
//! `wagtailreel-route` and `wagtailreel-fold` make the decisions; this crate does the input and output
//! for them. [`EntryProcess`] starts and stops an entry.

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
