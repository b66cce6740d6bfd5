//! Snapshots: the state as one record, so that the log may drop older records.

use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};
use wagtailreel_core::{Offset, ServiceName, ServiceState, StateView, rank};

use crate::edits::EditHistory;

/// Content of the field `state` of a snapshot record.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct SnapshotState {
    /// The state.
    pub(crate) view: StateView,
    /// The latest edits of each service.
    pub(crate) edits: EditHistory,
}

impl SnapshotState {
    /// Returns the services whose states in the snapshot as of `at` and in `ours` contradict each other.
    ///
    /// A service that either side has at a revision after `at` is not compared. Any other service
    /// must be equal on both sides; otherwise the two states come from different logs.
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

/// The newest snapshot in the log.
#[derive(Clone, Copy, Debug)]
struct SnapshotMark {
    /// The state's offset.
    at: Offset,
    /// Time of the record, or the time at which the fold began to wait for a snapshot.
    time: SystemTime,
    /// Whether the fold has read the snapshot.
    is_read: bool,
}

/// Snapshots in the log, as far as a fold knows them.
#[derive(Clone, Debug, Default)]
pub(crate) struct KnownSnapshots {
    newest: Option<SnapshotMark>,
    /// Offset of the last snapshot that this process appended.
    last_appended: Option<Offset>,
}

impl KnownSnapshots {
    /// Records that this process appended a snapshot at `offset`.
    pub(crate) fn record_appended(&mut self, offset: Offset) {
        self.last_appended = Some(offset);
    }

    /// Records that the log has held a snapshot as of `at` since `time`.
    pub(crate) fn record_read(&mut self, at: Offset, time: SystemTime) {
        if self.newest.is_none_or(|newest| newest.at <= at) {
            let is_read = true;
            self.newest = Some(SnapshotMark { at, time, is_read });
        }
    }

    /// Returns whether a snapshot is due at `now`, for a fold that has read up to `at` of a log that
    /// keeps the records from `first` on.
    ///
    /// A snapshot is usable as long as the log keeps the record after the snapshot's state. The
    /// record of the snapshot may come later, if other records, or another snapshot of the same
    /// state, were appended in between.
    pub(crate) fn is_due(
        &mut self,
        at: Offset,
        first: Offset,
        now: SystemTime,
        rule: SnapshotRule,
    ) -> bool {
        if self
            .last_appended
            .is_some_and(|last_appended| at < last_appended)
        {
            return false;
        }
        // A fold that has read no snapshot counts from now, because the log may already hold one.
        let newest = *self.newest.get_or_insert(SnapshotMark {
            at,
            time: now,
            is_read: false,
        });
        let age = now.duration_since(newest.time).unwrap_or_default();
        let dropped = newest.is_read && newest.at + 1 < first;
        at.saturating_sub(newest.at) >= rule.every || age >= rule.max_age || dropped
    }
}

/// Conditions under which a snapshot is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SnapshotRule {
    /// Number of records after the last snapshot.
    pub every: u64,
    /// Maximum age of the last snapshot, so that a log with few records keeps a snapshot too. Must be
    /// far below the retention time of the log.
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

/// Bounds of a stream, as reported by the log service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogHead {
    /// Oldest offset that the log keeps.
    pub first: Offset,
    /// Offset that the next append gets.
    pub next: Offset,
}

/// Returns how long the entry `me` waits before it appends the snapshot that is due at `at`.
///
/// Rendezvous hashing gives the same ranking of `entries` at each entry, and varies it with `at`.
/// Each rank waits `delay_per_rank` longer, so that an entry normally reads the snapshot of a
/// higher-ranked entry first and finds none due. Correctness does not depend on the wait, because
/// two snapshots are harmless. An entry that is not among `entries` waits longest.
pub fn snapshot_wait<'a, I>(entries: I, me: &str, at: Offset, delay_per_rank: Duration) -> Duration
where
    I: IntoIterator<Item = &'a str>,
{
    let key = format!("snapshot {at}");
    let ranked = rank(key.as_bytes(), entries);
    let place = ranked.iter().position(|name| *name == me);
    let place = place.unwrap_or(ranked.len());
    delay_per_rank.saturating_mul(u32::try_from(place).unwrap_or(u32::MAX))
}
