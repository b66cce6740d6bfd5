//! What this process last read of the registry, kept for its neighbours.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::watch;
use wagtailreel_core::Offset;
use wagtailreel_fleet::{BootTime, Change, Keyed, ModelName, Page, Snapshot, Topic, UpstreamId};

use crate::calls::CallState;
use crate::packing::Packed;
use crate::wire::KnownRecords;

/// What a record is about; a later record of the same key replaces it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Key {
    Config,
    Weights(ModelName),
    Upstream(UpstreamId),
    /// Kept apart, so that the last good record of the same key is still handed on.
    Unreadable(String),
}

impl Key {
    fn of(change: &Change) -> Self {
        match change {
            Change::Config(_) => Self::Config,
            Change::Weights(weights) => Self::Weights(weights.model.clone()),
            Change::Upstream(upstream) => Self::Upstream(upstream.id.clone()),
            Change::Gone(id) => Self::Upstream(id.clone()),
            Change::Unreadable { key, .. } => Self::Unreadable(key.clone()),
        }
    }
}

/// Returns the version that a record of settings names.
fn version_of(change: &Change) -> Option<u64> {
    match change {
        Change::Config(directory) => Some(directory.version()),
        Change::Weights(weights) => Some(weights.version),
        Change::Upstream(_) | Change::Gone(_) | Change::Unreadable { .. } => None,
    }
}

/// One topic.
///
/// Invariant: `newest` holds, of each key, the newest record with a place below `end`, or of settings
/// the one with the highest version: a write whose answer was lost may be done after a later one, and
/// a process that starts then would take the older version for the newest. Who has read all before
/// `expired_before` misses only records that stand here.
#[derive(Debug, Default)]
struct TopicRecords {
    expired_before: Offset,
    end: Offset,
    as_of: Option<BootTime>,
    newest: BTreeMap<Key, Keyed>,
    /// What was given since the last read that brought anything, for neighbours that ask for the same.
    copies: BTreeMap<RecordRange, Packed>,
}

/// Which records a neighbour asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum RecordRange {
    /// All that still hold.
    Newest,
    /// Those that stand at this place and after it.
    Since(Offset),
}

/// A copy of what is known, as it is sent to a neighbour.
#[derive(Clone, Debug)]
pub(crate) struct RecordsCopy {
    pub(crate) records: Packed,
    /// How old the knowledge was when it was given.
    pub(crate) age: Duration,
}

impl TopicRecords {
    fn insert(&mut self, items: &[Keyed]) {
        for item in items {
            let known = self.newest.entry(Key::of(&item.change));
            let known = known.or_insert_with(|| item.clone());
            let is_older = version_of(&item.change) < version_of(&known.change);
            if known.offset < item.offset && !is_older {
                *known = item.clone();
            }
        }
    }

    fn confirm(&mut self, as_of: BootTime) {
        self.as_of = Some(self.as_of.map_or(as_of, |known| known.max(as_of)));
    }

    /// Takes that all before `end` was read.
    fn advance(&mut self, end: Offset) {
        self.end = end;
        self.copies.clear();
    }

    /// Returns what a neighbour asks for, in the order of the log.
    fn records(&self, range: RecordRange) -> KnownRecords {
        let is_wanted = |item: &&Keyed| match range {
            RecordRange::Newest => !matches!(item.change, Change::Gone(_)),
            RecordRange::Since(from) => item.offset >= from,
        };
        let mut items: Vec<Keyed> = self.newest.values().filter(is_wanted).cloned().collect();
        items.sort_by_key(|item| item.offset);
        let next = match range {
            RecordRange::Newest => self.end,
            RecordRange::Since(from) => self.end.max(from),
        };
        KnownRecords { items, next }
    }

    /// Returns a copy of what a neighbour asks for.
    ///
    /// Neighbours that ask for the same get the same bytes, packed to a tenth.
    ///
    /// Load pattern: a configuration of 1,500 routes that changes several times a second, or all processes
    /// that start together, and 14 entries and 30 agents that take each over the link of the one that
    /// reads it.
    ///
    /// # Errors
    ///
    /// Returns [`CopyError::NothingRead`] if nothing was read yet.
    fn copy(&mut self, range: RecordRange) -> Result<RecordsCopy, CopyError> {
        let as_of = self.as_of.ok_or(CopyError::NothingRead)?;
        let records = match self.copies.get(&range) {
            Some(cached) => cached.clone(),
            None => {
                let packed = Packed::new(&self.records(range));
                self.copies.insert(range, packed.clone());
                packed
            }
        };
        let age = BootTime::now().since(as_of);
        Ok(RecordsCopy { records, age })
    }
}

#[derive(Debug, Default)]
struct TopicState {
    records: Mutex<TopicRecords>,
    calls: Mutex<CallState>,
    end: watch::Sender<Offset>,
}

impl TopicState {
    fn lock(&self) -> MutexGuard<'_, TopicRecords> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Why a mirror can't answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CopyError {
    /// Nothing was read yet.
    NothingRead,
    /// Records before this place are not known one by one.
    Expired(Offset),
}

/// What this process last read of the registry, kept for its neighbours.
#[derive(Debug, Default)]
pub struct Mirror {
    settings: TopicState,
    upstreams: TopicState,
    last_query: Mutex<Option<BootTime>>,
}

impl Mirror {
    /// Takes the newest record of each key.
    pub fn store_snapshot(&self, topic: Topic, snapshot: &Snapshot) {
        let state = self.state(topic);
        {
            let mut records = state.lock();
            records
                .newest
                .retain(|_, it| version_of(&it.change).is_some());
            records.insert(&snapshot.items);
            records.expired_before = snapshot.end;
            records.advance(snapshot.end);
            records.confirm(snapshot.as_of);
        }
        state.end.send_replace(snapshot.end);
    }

    /// Takes the records that stand at `from` and after it.
    pub fn store_page(&self, topic: Topic, from: Offset, page: &Page) {
        let state = self.state(topic);
        {
            let mut records = state.lock();
            if from > records.end || page.next < records.end {
                // There would be a gap, or the page says nothing new.
                return;
            }
            if !page.items.is_empty() || page.next > records.end {
                records.insert(&page.items);
                records.advance(page.next);
            }
            if page.end <= page.next {
                records.confirm(page.as_of);
            }
        }
        state.end.send_replace(page.next);
    }

    /// Says whether a neighbour asked within `span`.
    pub fn was_queried_within(&self, span: Duration) -> bool {
        let last_query = self
            .last_query
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        last_query.is_some_and(|at| BootTime::now().since(at) <= span)
    }

    /// Returns the newest record of each key; waits up to `wait` for the first read to end.
    pub(crate) async fn newest(
        &self,
        topic: Topic,
        wait: Duration,
    ) -> Result<RecordsCopy, CopyError> {
        self.note_query();
        self.wait_for_first_read(topic, wait).await;
        self.state(topic).lock().copy(RecordRange::Newest)
    }

    /// Returns what stands at `from` and after it; waits up to `wait` for the first of it, unless what
    /// is known is older than `age_limit`.
    pub(crate) async fn read(
        &self,
        topic: Topic,
        from: Offset,
        wait: Duration,
        age_limit: Duration,
    ) -> Result<RecordsCopy, CopyError> {
        self.note_query();
        let state = self.state(topic);
        let now = BootTime::now();
        let known_as_of = state.lock().as_of;
        let is_behind = known_as_of.is_some_and(|as_of| now.since(as_of) > age_limit);
        let wait = if is_behind { Duration::ZERO } else { wait };
        let mut end = state.end.subscribe();
        // The sender lives as long as the mirror; without news the answer is empty.
        let _ = tokio::time::timeout(wait, end.wait_for(|end| *end > from)).await;
        let mut records = state.lock();
        if records.as_of.is_some() && from < records.expired_before {
            return Err(CopyError::Expired(records.expired_before));
        }
        records.copy(RecordRange::Since(from))
    }

    /// Processes that start together ask before there is anything to give.
    async fn wait_for_first_read(&self, topic: Topic, wait: Duration) {
        let state = self.state(topic);
        let mut end = state.end.subscribe();
        let read = async { while state.lock().as_of.is_none() && end.changed().await.is_ok() {} };
        // Without a read in time the answer says so.
        let _ = tokio::time::timeout(wait, read).await;
    }

    /// Says whether a read that will make what is known younger is under way.
    pub(crate) fn is_reading(&self, topic: Topic) -> bool {
        self.call_state(topic).is_reading()
    }

    /// Takes that a call to the registry begins.
    pub(crate) fn call_started(&self, topic: Topic) {
        self.call_state(topic).started();
    }

    /// Takes that a call to the registry is over.
    pub(crate) fn call_ended(&self, topic: Topic, has_failed: bool) {
        self.call_state(topic).ended(has_failed);
    }

    fn call_state(&self, topic: Topic) -> MutexGuard<'_, CallState> {
        let calls = self.state(topic).calls.lock();
        calls.unwrap_or_else(PoisonError::into_inner)
    }

    fn note_query(&self) {
        let mut last_query = self
            .last_query
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *last_query = Some(BootTime::now());
    }

    fn state(&self, topic: Topic) -> &TopicState {
        match topic {
            Topic::Settings => &self.settings,
            Topic::Upstreams => &self.upstreams,
        }
    }
}
