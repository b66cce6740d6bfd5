//! What to read of a topic next, and what the answers change.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use wagtailreel_core::Offset;

use crate::{BootTime, Change, Keyed, Page, RegistryError, Snapshot, UpstreamId};

/// What a follower wants to read next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The newest record of each key.
    Newest,
    /// The records from here on.
    Read(Offset),
}

/// What an answer of the registry changes.
#[derive(Clone, Debug, PartialEq)]
pub struct Applied {
    /// Changes to be believed, in order.
    pub changes: Vec<Change>,
    /// The registry's state at this moment is known; none while there is more to read.
    pub as_of: Option<BootTime>,
    /// The registry answers again after it was away.
    pub is_back: bool,
    /// The answer came from another process, which waits for news without a call of its own.
    pub is_relayed: bool,
}

/// Follows one topic.
///
/// Invariants: a record is applied once and in order; and an upstream that vanished while the
/// registry was away counts as gone only once it had the time to register again.
#[derive(Clone, Debug)]
pub struct Follower {
    lapse_hold: Duration,
    lapse_after: Duration,
    next: Option<Offset>,
    /// More came at once than a page holds; where the log ended then.
    burst_end: Option<Offset>,
    /// Upstreams believed to be registered, with the place of their last record.
    known: BTreeMap<UpstreamId, Offset>,
    /// Upstreams whose removal is not believed before this moment.
    doubted: BTreeMap<UpstreamId, BootTime>,
    is_unreachable: bool,
    known_as_of: Option<BootTime>,
    hold_until: Option<BootTime>,
}

impl Follower {
    /// Makes a follower that has read nothing; removals that are read within `lapse_hold` of the
    /// registry's return are doubted until that time is over, if it was away for `lapse_after`.
    pub fn new(lapse_hold: Duration, lapse_after: Duration) -> Self {
        Self {
            lapse_hold,
            lapse_after,
            next: None,
            burst_end: None,
            known: BTreeMap::new(),
            doubted: BTreeMap::new(),
            is_unreachable: false,
            known_as_of: None,
            hold_until: None,
        }
    }

    /// Returns what to read next.
    pub fn step(&self) -> Step {
        self.next.map_or(Step::Newest, Step::Read)
    }

    /// Says whether the registry did not answer the last call.
    pub const fn is_unreachable(&self) -> bool {
        self.is_unreachable
    }

    /// Takes the newest record of each key.
    pub fn newest(&mut self, snapshot: Snapshot, now: BootTime) -> Applied {
        let is_back = self.answered(snapshot.as_of, now);
        // While a burst goes on, reading one by one would only be behind again.
        let goes_on = self.burst_end.is_some_and(|end| snapshot.end > end);
        self.burst_end = goes_on.then_some(snapshot.end);
        self.next = (!goes_on).then_some(snapshot.end);
        let listed: BTreeSet<UpstreamId> = snapshot
            .items
            .iter()
            .filter_map(|item| match &item.change {
                Change::Upstream(upstream) => Some(upstream.id.clone()),
                _ => None,
            })
            .collect();
        let missing: Vec<UpstreamId> = self
            .known
            .keys()
            .filter(|id| !listed.contains(*id))
            .cloned()
            .collect();
        let mut changes = self.take(snapshot.items, now);
        for id in missing {
            self.remove(id, now, &mut changes);
        }
        Applied {
            changes,
            as_of: Some(snapshot.as_of),
            is_back,
            is_relayed: snapshot.is_relayed,
        }
    }

    /// Takes records in order.
    pub fn page(&mut self, page: Page, now: BootTime) -> Applied {
        let is_back = self.answered(page.as_of, now);
        // Of a burst of records only the newest of each key still matters: 70 configurations of
        // 100 KB that every reader took one by one filled a link of 30 Mbit/s for 12 s.
        let is_behind = page.end > page.next;
        self.next = (!is_behind).then_some(page.next);
        self.burst_end = is_behind.then_some(page.end);
        let changes = self.take(page.items, now);
        Applied {
            changes,
            as_of: (!is_behind).then_some(page.as_of),
            is_back,
            is_relayed: page.is_relayed,
        }
    }

    /// Takes that a call failed; returns whether the registry was there before.
    pub fn failed(&mut self, err: &RegistryError) -> bool {
        if matches!(err, RegistryError::Expired { .. }) {
            self.next = None;
            return false;
        }
        let was_there = !self.is_unreachable;
        self.is_unreachable = true;
        was_there
    }

    /// Returns the removals whose time to be doubted is over.
    pub fn due(&mut self, now: BootTime) -> Vec<Change> {
        if self.is_unreachable {
            return Vec::new();
        }
        let due: Vec<UpstreamId> = self
            .doubted
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &due {
            self.doubted.remove(id);
            self.known.remove(id);
        }
        due.into_iter().map(Change::Gone).collect()
    }

    /// Returns how long it is until a doubted removal has to be looked at again.
    pub fn next_due(&self, now: BootTime) -> Option<Duration> {
        let soonest = self.doubted.values().min()?;
        Some(soonest.since(now))
    }

    fn answered(&mut self, as_of: BootTime, now: BootTime) -> bool {
        let is_back = self.is_unreachable;
        let before = self.known_as_of.replace(as_of);
        let may_have_lapsed = before.is_none_or(|at| now.since(at) >= self.lapse_after);
        if is_back && may_have_lapsed {
            let until = now.plus(self.lapse_hold);
            self.hold_until = Some(until);
            for doubted in self.doubted.values_mut() {
                *doubted = until;
            }
        }
        self.is_unreachable = false;
        is_back
    }

    fn take(&mut self, items: Vec<Keyed>, now: BootTime) -> Vec<Change> {
        let mut changes = Vec::new();
        for item in items {
            match item.change {
                Change::Upstream(upstream) => {
                    let last = self.known.get(&upstream.id).copied();
                    if last.is_some_and(|last| last > item.offset) {
                        continue;
                    }
                    self.doubted.remove(&upstream.id);
                    self.known.insert(upstream.id.clone(), item.offset);
                    changes.push(Change::Upstream(upstream));
                }
                Change::Gone(id) => self.remove(id, now, &mut changes),
                other => changes.push(other),
            }
        }
        changes
    }

    fn remove(&mut self, id: UpstreamId, now: BootTime, changes: &mut Vec<Change>) {
        match self.hold_until {
            Some(until) if now < until && self.known.contains_key(&id) => {
                self.doubted.insert(id, until);
            }
            _ => {
                self.known.remove(&id);
                self.doubted.remove(&id);
                changes.push(Change::Gone(id));
            }
        }
    }
}
