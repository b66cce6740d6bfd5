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
/// `floor` misses only records that stand here.
#[derive(Debug, Default)]
struct Held {
    floor: Offset,
    end: Offset,
    as_of: Option<BootTime>,
    newest: BTreeMap<Key, Keyed>,
    /// What was given last, for the next neighbour that asks for the same.
    given: Option<Given>,
}

/// Records that were encoded for a neighbour.
#[derive(Debug)]
struct Given {
    from: Offset,
    next: Offset,
    records: Packed,
}

/// A copy of what is known, as it is sent to a neighbour.
#[derive(Clone, Debug)]
pub(crate) struct Copy {
    pub(crate) records: Packed,
    /// How old the knowledge was when it was given.
    pub(crate) age: Duration,
    /// A read that will make it younger is under way.
    pub(crate) is_reading: bool,
}

impl Held {
    fn insert(&mut self, items: &[Keyed]) {
        if !items.is_empty() {
            self.given = None;
        }
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

    /// Returns what stands at `from` and after it, in the order of the log.
    fn since(&self, from: Offset) -> KnownRecords {
        let items = self.newest.values().filter(|item| item.offset >= from);
        let mut items: Vec<Keyed> = items.cloned().collect();
        items.sort_by_key(|item| item.offset);
        KnownRecords {
            items,
            next: self.end.max(from),
        }
    }

    /// Returns a copy of what stands at `from` and after it; of all that still holds where `from` is none.
    ///
    /// Neighbours that wait for the same change get the same bytes, packed to a tenth.
    ///
    /// Load pattern: a configuration of 1,500 routes that changes several times a second, and 14 entries
    /// and 30 agents that take each over the link of the one that reads it.
    fn copy(&mut self, from: Option<Offset>, age: Duration, is_reading: bool) -> Copy {
        let place = from.unwrap_or_default();
        let next = self.end.max(place);
        let is_same = |given: &&Given| from.is_some() && given.from == place && given.next == next;
        if let Some(given) = self.given.as_ref().filter(is_same) {
            let records = given.records.clone();
            return Copy {
                records,
                age,
                is_reading,
            };
        }
        let mut known = self.since(place);
        if from.is_none() {
            known
                .items
                .retain(|item| !matches!(item.change, Change::Gone(_)));
        }
        let records = Packed::new(&known);
        if from.is_some() {
            self.given = Some(Given {
                from: place,
                next,
                records: records.clone(),
            });
        }
        Copy {
            records,
            age,
            is_reading,
        }
    }
}

#[derive(Debug, Default)]
struct Shelf {
    held: Mutex<Held>,
    calls: Mutex<CallState>,
    end: watch::Sender<Offset>,
}

impl Shelf {
    fn lock(&self) -> MutexGuard<'_, Held> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Why a mirror can't answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Lack {
    /// Nothing was read yet.
    Unread,
    /// Records before this place are not known one by one.
    Before(Offset),
}

/// What this process last read of the registry, kept for its neighbours.
#[derive(Debug, Default)]
pub struct Mirror {
    settings: Shelf,
    upstreams: Shelf,
    asked: Mutex<Option<BootTime>>,
}

impl Mirror {
    /// Takes the newest record of each key.
    pub fn take_snapshot(&self, topic: Topic, snapshot: &Snapshot) {
        let shelf = self.shelf(topic);
        {
            let mut held = shelf.lock();
            held.given = None;
            held.newest.retain(|_, it| version_of(&it.change).is_some());
            held.insert(&snapshot.items);
            held.floor = snapshot.end;
            held.end = snapshot.end;
            held.confirm(snapshot.as_of);
        }
        shelf.end.send_replace(snapshot.end);
    }

    /// Takes the records that stand at `from` and after it.
    pub fn take_page(&self, topic: Topic, from: Offset, page: &Page) {
        let shelf = self.shelf(topic);
        {
            let mut held = shelf.lock();
            if from > held.end || page.next < held.end {
                // There would be a gap, or the page says nothing new.
                return;
            }
            held.insert(&page.items);
            held.end = page.next;
            if page.end <= page.next {
                held.confirm(page.as_of);
            }
        }
        shelf.end.send_replace(page.next);
    }

    /// Says whether a neighbour asked within `span`.
    pub fn was_asked_within(&self, span: Duration) -> bool {
        let asked = self.asked.lock().unwrap_or_else(PoisonError::into_inner);
        asked.is_some_and(|at| BootTime::now().since(at) <= span)
    }

    /// Returns the newest record of each key; waits up to `wait` for the first read to end.
    pub(crate) async fn newest(&self, topic: Topic, wait: Duration) -> Result<Copy, Lack> {
        self.note_asked();
        self.until_read(topic, wait).await;
        let mut held = self.shelf(topic).lock();
        let as_of = held.as_of.ok_or(Lack::Unread)?;
        let is_reading = self.is_reading(topic);
        Ok(held.copy(None, BootTime::now().since(as_of), is_reading))
    }

    /// Returns what stands at `from` and after it; waits up to `wait` for the first of it, unless what
    /// is known is older than `oldest`.
    pub(crate) async fn read(
        &self,
        topic: Topic,
        from: Offset,
        wait: Duration,
        oldest: Duration,
    ) -> Result<Copy, Lack> {
        self.note_asked();
        let shelf = self.shelf(topic);
        let now = BootTime::now();
        let known_as_of = shelf.lock().as_of;
        let is_behind = known_as_of.is_some_and(|as_of| now.since(as_of) > oldest);
        let wait = if is_behind { Duration::ZERO } else { wait };
        let mut end = shelf.end.subscribe();
        // The sender lives as long as the mirror; without news the answer is empty.
        let _ = tokio::time::timeout(wait, end.wait_for(|end| *end > from)).await;
        let mut held = shelf.lock();
        let as_of = held.as_of.ok_or(Lack::Unread)?;
        if from < held.floor {
            return Err(Lack::Before(held.floor));
        }
        let is_reading = self.is_reading(topic);
        Ok(held.copy(Some(from), BootTime::now().since(as_of), is_reading))
    }

    /// Processes that start together ask before there is anything to give.
    async fn until_read(&self, topic: Topic, wait: Duration) {
        let shelf = self.shelf(topic);
        let mut end = shelf.end.subscribe();
        let read = async { while shelf.lock().as_of.is_none() && end.changed().await.is_ok() {} };
        // Without a read in time the answer says so.
        let _ = tokio::time::timeout(wait, read).await;
    }

    /// Says whether a read that will make what is known younger is under way.
    pub(crate) fn is_reading(&self, topic: Topic) -> bool {
        self.call_state(topic).is_reading()
    }

    /// Takes that a call to the registry begins.
    pub(crate) fn call_begins(&self, topic: Topic) {
        self.call_state(topic).begun();
    }

    /// Takes that a call to the registry is over.
    pub(crate) fn call_ends(&self, topic: Topic, has_failed: bool) {
        self.call_state(topic).ended(has_failed);
    }

    fn call_state(&self, topic: Topic) -> MutexGuard<'_, CallState> {
        let calls = self.shelf(topic).calls.lock();
        calls.unwrap_or_else(PoisonError::into_inner)
    }

    fn note_asked(&self) {
        let mut asked = self.asked.lock().unwrap_or_else(PoisonError::into_inner);
        *asked = Some(BootTime::now());
    }

    fn shelf(&self, topic: Topic) -> &Shelf {
        match topic {
            Topic::Settings => &self.settings,
            Topic::Upstreams => &self.upstreams,
        }
    }
}
