//! The fold of the platform's log: configuration and order claims, without I/O.
//!
//! Two streams of the log hold all state that the system agrees on. [`ConfigFold`] turns the records of
//! `config` into the state of every service; [`OrderFold`] turns the records of `orders` into the
//! holders of the keys of orders that run at most once. Both are plain values: the caller reads the
//! log, passes in each record with its offset and time, and acts on the result.
//!
//! The effect of a record on a service depends only on the state of that service and the record.
//! All folds that reach the same offset therefore hold the same state, whether they read every
//! record, started from a snapshot, or merged the state of a peer.

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
