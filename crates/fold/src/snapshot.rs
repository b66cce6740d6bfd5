//! Snapshots: the state as one record, so that older records may lapse.

use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};
use wagtailreel_core::{Offset, ServiceName, ServiceState, StateView, rank};

use crate::edits::EditHistory;

/// What a snapshot record carries in `state`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct SnapshotState {
    /// The state.
    pub(crate) view: StateView,
    /// The latest edits of each service.
    pub(crate) edits: EditHistory,
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

/// The newest snapshot in the log.
#[derive(Clone, Copy, Debug)]
struct SnapshotMark {
    /// The state's offset.
    at: Offset,
    /// When the record was appended, or when the fold began to wait for one.
    time: SystemTime,
    /// Whether the fold has read it.
    is_read: bool,
}

/// What a fold knows of the snapshots in the log.
#[derive(Clone, Debug, Default)]
pub(crate) struct KnownSnapshots {
    newest: Option<SnapshotMark>,
    /// Offset of the last one that this process appended.
    last_appended: Option<Offset>,
}

impl KnownSnapshots {
    /// Takes that this process appended one at `offset`.
    pub(crate) fn record_appended(&mut self, offset: Offset) {
        self.last_appended = Some(offset);
    }

    /// Takes that the log has one as of `at` since `time`.
    pub(crate) fn record_read(&mut self, at: Offset, time: SystemTime) {
        if self.newest.is_none_or(|newest| newest.at <= at) {
            let is_read = true;
            self.newest = Some(SnapshotMark { at, time, is_read });
        }
    }

    /// Says whether one is due at `now`, at a fold that has read up to `at` of a log that keeps the records from
    /// `first` on.
    ///
    /// A snapshot is of use while the log keeps the record after its state. The record of the snapshot itself may
    /// come later: other records, or another snapshot of the same state, were appended in between.
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
        // A fold that has seen no snapshot counts from now: one may be in the log already.
        let newest = *self.newest.get_or_insert(SnapshotMark {
            at,
            time: now,
            is_read: false,
        });
        let age = now.duration_since(newest.time).unwrap_or_default();
        let lapsed = newest.is_read && newest.at + 1 < first;
        at.saturating_sub(newest.at) >= rule.every || age >= rule.max_age || lapsed
    }
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
/// Each rank waits `delay_per_rank` longer; an entry that has read another's snapshot by then finds none
/// due. Two snapshots are harmless, so nothing depends on the wait. An entry that is not among
/// `entries` goes last.
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
