//! Snapshots: the state as one record, so that older records may lapse.

use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};
use wagtailreel_core::{Offset, ServiceName, ServiceState, StateView, rank};

use crate::edits::EditMemory;

/// What a snapshot record carries in `state`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct SnapshotState {
    /// The state.
    pub(crate) view: StateView,
    /// The latest edits of each service.
    pub(crate) edits: EditMemory,
}

impl SnapshotState {
    /// Returns the services in which the snapshot as of `at` and `ours` can't both be right.
    ///
    /// What either side knows of later than `at` says nothing. A service that both have as of
    /// `at` has to be the same, or they are not of one log.
    pub(crate) fn contradictions(&self, at: Offset, ours: &StateView) -> Vec<ServiceName> {
        let names = self.view.services.keys();
        let mut all: Vec<ServiceName> = names.chain(ours.services.keys()).cloned().collect();
        all.sort();
        all.dedup();
        all.retain(|name| {
            let theirs = self.view.services.get(name);
            let ours = ours.services.get(name);
            let later = |state: Option<&ServiceState>| state.is_some_and(|s| s.revision > at);
            !later(theirs) && !later(ours) && theirs != ours
        });
        all
    }
}

/// The newest snapshot in the log that the fold knows of.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SnapshotMark {
    /// The state's offset.
    pub(crate) at: Offset,
    /// The record's own offset; none if the fold has seen no snapshot yet.
    pub(crate) record: Option<Offset>,
    /// When the record was appended, or when the fold began to wait for one.
    pub(crate) time: SystemTime,
}

/// When a snapshot is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SnapshotRule {
    /// After this many records.
    pub every: u64,
    /// After this long, so that a quiet log keeps a snapshot too. Take far less than the log
    /// keeps records.
    pub max_age: Duration,
}

impl Default for SnapshotRule {
    fn default() -> Self {
        Self {
            every: 500,
            max_age: Duration::from_secs(3600),
        }
    }
}

/// The two ends of a stream, as the log service gives them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogHead {
    /// Oldest offset kept.
    pub first: Offset,
    /// Offset that the next append gets.
    pub next: Offset,
}

/// Returns how long the entry `me` waits before it appends the snapshot that is due at `at`.
///
/// Rendezvous hashing ranks the `entries` the same at each of them, and another first each time.
/// Each rank waits `step` longer; an entry that has read another's snapshot by then finds none
/// due. Two snapshots are harmless, so nothing depends on the wait. An entry that is not among
/// `entries` goes last.
pub fn snapshot_wait<'a, I>(entries: I, me: &str, at: Offset, step: Duration) -> Duration
where
    I: IntoIterator<Item = &'a str>,
{
    let key = format!("snapshot {at}");
    let ranked = rank(key.as_bytes(), entries);
    let place = ranked.iter().position(|name| *name == me);
    let place = place.unwrap_or(ranked.len());
    step.saturating_mul(u32::try_from(place).unwrap_or(u32::MAX))
}
