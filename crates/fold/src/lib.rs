//! The fold of the platform's log: configuration and order claims, without I/O.
//!
//! Two streams of the log carry all that the system agrees on. [`ConfigFold`] turns the records of
//! `config` into the state of every service; [`OrderFold`] turns the records of `orders` into the
//! holders of keys that run at most once. Both are plain values: the caller reads the log, hands
//! in each record with its offset and time, and acts on what it gets back.
//!
//! What a record does to a service depends only on that service's state and the record. All folds
//! that reach the same offset therefore hold the same state, whether they read every record, took
//! a snapshot, or took the state of a peer.

mod applied;
mod codec;
mod config;
mod cursor;
mod edits;
mod keys;
mod order_applied;
mod orders;
mod publication;
mod releases;
mod rules;
mod snapshot;
mod snapshot_search;
mod stop;

pub use applied::Applied;
pub use codec::{EncodeError, MAX_RECORD_BYTES, encode_config, encode_orders};
pub use config::ConfigFold;
pub use edits::{EditResult, Verdict};
pub use keys::{KeyProblem, MAX_KEY_SKEW, MAX_KEY_TEXT, check_key};
pub use order_applied::OrderApplied;
pub use orders::{ClaimView, OrderFold};
pub use publication::Publication;
pub use releases::Claimant;
pub use rules::{Refusal, RefusalReason, Winner};
pub use snapshot::{LogHead, SnapshotRule, snapshot_wait};
pub use stop::FoldStop;
