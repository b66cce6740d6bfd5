//! The records that this process last read from the registry, stored for its neighbours.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::watch;
use wagtailreel_core::{DataCentre, Offset};
use wagtailreel_fleet::{
    BootTime, Change, Era, Keyed, ModelName, Page, Position, Snapshot, Topic, UpstreamId,
};

use crate::calls::CallState;
use crate::era::KnownEra;
use crate::packing::Packed;
use crate::wire::KnownRecords;

/// Key of a record; a later record of the same key replaces the earlier one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Key {
    Config,
    Weights(ModelName),
    Upstream(UpstreamId),
    Evacuation(DataCentre),
    /// A key of its own for the same reason as [`Key::Unreadable`].
    UnreadableEvacuation(DataCentre),
    /// A key of its own, so that the last valid record of the same key is still relayed.
    Unreadable(String),
}

impl Key {
    fn of(change: &Change) -> Self {
        match change {
            Change::Config(_) => Self::Config,
            Change::Weights(weights) => Self::Weights(weights.model.clone()),
            Change::Upstream(upstream) => Self::Upstream(upstream.id.clone()),
            Change::Gone(id) => Self::Upstream(id.clone()),
            Change::Evacuation { data_centre, .. } => Self::Evacuation(data_centre.clone()),
            Change::UnreadableEvacuation { data_centre, .. } => {
                Self::UnreadableEvacuation(data_centre.clone())
            }
            Change::Unreadable { key, .. } => Self::Unreadable(key.clone()),
        }
    }
}

/// Returns the version in a record of the settings.
fn version_of(change: &Change) -> Option<u64> {
    match change {
        Change::Config(directory) => Some(directory.version()),
        Change::Weights(weights) => Some(weights.version),
        Change::Upstream(_)
        | Change::Gone(_)
        | Change::Evacuation { .. }
        | Change::UnreadableEvacuation { .. }
        | Change::Unreadable { .. } => None,
    }
}

/// Returns whether the snapshot lists an evacuation record of `data_centre` that can't be parsed, so that the
/// record before it stays in force.
fn has_unreadable_evacuation(snapshot: &Snapshot, data_centre: &DataCentre) -> bool {
    snapshot.items.iter().any(|item| {
        matches!(&item.change, Change::UnreadableEvacuation { data_centre: it, .. } if it == data_centre)
    })
}

/// Records of one topic.
///
/// Invariant: `newest` holds the newest record of each key with a position before `end`; for settings it holds
/// the record with the highest version. A write whose answer was lost may be applied after a later write, and
/// a process that starts then would take the older version for the newest. A process that has read all
/// records before `expired_before` lacks only records that are in `newest`.
#[derive(Debug, Default)]
struct TopicRecords {
    expired_before: Position,
    end: Position,
    as_of: Option<BootTime>,
    newest: BTreeMap<Key, Keyed>,
    /// Encoded copies since the last new record, for neighbours that query the same range.
    copies: BTreeMap<RecordRange, Packed>,
}

/// The records that a neighbour queries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum RecordRange {
    /// The newest record of each key, without removed keys.
    Newest,
    /// The records from this position on.
    Since(Position),
}

/// A copy of records, as sent to a neighbour.
#[derive(Clone, Debug)]
pub(crate) struct RecordsCopy {
    pub(crate) records: Packed,
    /// Age of the records when the copy was made.
    pub(crate) age: Duration,
}

impl TopicRecords {
    fn insert(&mut self, items: &[Keyed]) {
        for item in items {
            let known = self.newest.entry(Key::of(&item.change));
            let known = known.or_insert_with(|| item.clone());
            let is_older = version_of(&item.change) < version_of(&known.change);
            if known.position < item.position && !is_older {
                *known = item.clone();
            }
        }
    }

    /// Checks that the records are not of an earlier era than `era`, which a reader knows.
    fn check_era(&self, era: Era) -> Result<(), CopyError> {
        if self.as_of.is_some() && self.end.era < era {
            return Err(CopyError::EarlierEra);
        }
        Ok(())
    }

    fn confirm(&mut self, as_of: BootTime) {
        self.as_of = Some(self.as_of.map_or(as_of, |known| known.max(as_of)));
    }

    /// Records that all records before `end` were read.
    fn advance(&mut self, end: Position) {
        self.end = end;
        self.copies.clear();
    }

    /// Returns the records of `range` in the order of the log.
    fn records(&self, range: RecordRange) -> KnownRecords {
        let is_wanted = |item: &&Keyed| match range {
            RecordRange::Newest => !matches!(item.change, Change::Gone(_)),
            RecordRange::Since(from) => item.position >= from,
        };
        let mut items: Vec<Keyed> = self.newest.values().filter(is_wanted).cloned().collect();
        items.sort_by_key(|item| item.position);
        let next = match range {
            RecordRange::Newest => self.end,
            RecordRange::Since(from) => self.end.max(from),
        };
        KnownRecords { items, next }
    }

    /// Returns a copy of the records of `range`.
    ///
    /// Neighbours that query the same range get the same bytes, compressed to a tenth.
    ///
    /// Load pattern: a configuration of 1,500 routes changes several times per second, or all processes start
    /// together. 14 entries and 30 agents then load each version over the link of the entry that reads it.
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

/// A topic with its calls to the registry; waiting readers watch `end`.
#[derive(Debug, Default)]
struct TopicState {
    records: Mutex<TopicRecords>,
    calls: Mutex<CallState>,
    end: watch::Sender<Position>,
}

impl TopicState {
    fn lock(&self) -> MutexGuard<'_, TopicRecords> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Error for records that the mirror can't copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CopyError {
    /// Nothing was read yet.
    NothingRead,
    /// Of the records before this offset the mirror holds only the newest of each key.
    Expired(Offset),
    /// The mirror's records are of an earlier era than the reader's.
    EarlierEra,
}

/// The records that this process last read from the registry, stored for its neighbours.
#[derive(Debug, Default)]
pub struct Mirror {
    settings: TopicState,
    upstreams: TopicState,
    /// The newest era of which this process has heard.
    era: KnownEra,
    last_query: Mutex<Option<BootTime>>,
}

impl Mirror {
    /// Stores the newest record of each key.
    pub fn store_snapshot(&self, topic: Topic, snapshot: &Snapshot) {
        let state = self.state(topic);
        {
            let mut records = state.lock();
            if snapshot.end.era < records.end.era {
                return;
            }
            if snapshot.end.era > records.end.era {
                // The time confirmed before is that of another log.
                records.as_of = None;
            }
            records.newest.retain(|_, it| match &it.change {
                Change::Evacuation { data_centre, .. } => {
                    it.position >= snapshot.end || has_unreadable_evacuation(snapshot, data_centre)
                }
                change => version_of(change).is_some(),
            });
            records.insert(&snapshot.items);
            records.expired_before = snapshot.end;
            records.advance(snapshot.end);
            records.confirm(snapshot.as_of);
        }
        state.end.send_replace(snapshot.end);
    }

    /// Stores the records from position `from` on.
    pub fn store_page(&self, topic: Topic, from: Position, page: &Page) {
        let state = self.state(topic);
        {
            let mut records = state.lock();
            if from > records.end || page.next < records.end {
                // The page would leave a gap, contains nothing new, or is of an earlier era.
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

    /// Returns whether a neighbour sent a query within the last `span`.
    pub fn was_queried_within(&self, span: Duration) -> bool {
        let last_query = self
            .last_query
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        last_query.is_some_and(|at| BootTime::now().since(at) <= span)
    }

    /// Returns the newest record of each key for a reader that knows `era`; waits up to `wait` for the first read to
    /// end.
    ///
    /// # Errors
    ///
    /// Returns [`CopyError::EarlierEra`] if the mirror's records are of an earlier era.
    pub(crate) async fn newest(
        &self,
        topic: Topic,
        era: Era,
        wait: Duration,
    ) -> Result<RecordsCopy, CopyError> {
        self.note_query();
        self.era.note(era);
        self.wait_for_first_read(topic, wait).await;
        let mut records = self.state(topic).lock();
        records.check_era(era)?;
        records.copy(RecordRange::Newest)
    }

    /// Returns the records from offset `from` of `era` on; waits up to `wait` for the first, unless the records of the
    /// mirror are older than `age_limit`. A reader of an older build names no era and gets records of the mirror's.
    ///
    /// # Errors
    ///
    /// Returns a [`CopyError`] at once if the mirror's records are of another era. Offsets of two eras can't be
    /// compared: a reader that waited for the offset that it had read to would wait until the log has grown back.
    pub(crate) async fn read(
        &self,
        topic: Topic,
        from: Offset,
        era: Option<Era>,
        wait: Duration,
        age_limit: Duration,
    ) -> Result<RecordsCopy, CopyError> {
        self.note_query();
        let state = self.state(topic);
        let now = BootTime::now();
        let (known_as_of, from) = {
            let records = state.lock();
            let era = era.unwrap_or(records.end.era);
            self.era.note(era);
            records.check_era(era)?;
            (records.as_of, Position::new(era, from))
        };
        let is_behind = known_as_of.is_some_and(|as_of| now.since(as_of) > age_limit);
        let wait = if is_behind { Duration::ZERO } else { wait };
        let mut end = state.end.subscribe();
        // The sender lives as long as the mirror; on a time-out the answer is empty.
        let _ = tokio::time::timeout(wait, end.wait_for(|end| *end > from)).await;
        let mut records = state.lock();
        records.check_era(from.era)?;
        if records.as_of.is_some() && from < records.expired_before {
            return Err(CopyError::Expired(records.expired_before.offset));
        }
        records.copy(RecordRange::Since(from))
    }

    /// Waits for the first read of a topic: processes that start together send queries before it has ended.
    async fn wait_for_first_read(&self, topic: Topic, wait: Duration) {
        let state = self.state(topic);
        let mut end = state.end.subscribe();
        let read = async { while state.lock().as_of.is_none() && end.changed().await.is_ok() {} };
        // On a time-out the answer is `CopyError::NothingRead`.
        let _ = tokio::time::timeout(wait, read).await;
    }

    /// Returns the newest era of which this process has heard, also from neighbours that read here.
    pub(crate) const fn era(&self) -> &KnownEra {
        &self.era
    }

    /// Returns whether a read that is expected to bring newer records is in progress.
    pub(crate) fn is_reading(&self, topic: Topic) -> bool {
        self.call_state(topic).is_reading()
    }

    /// Records that a call to the registry has started.
    pub(crate) fn call_started(&self, topic: Topic) {
        self.call_state(topic).started();
    }

    /// Records that a call to the registry has ended.
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
