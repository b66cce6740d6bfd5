//! What to read of a topic next, and what the answers change.

use std::collections::BTreeMap;
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
    /// The registry's state at this moment is known.
    pub as_of: BootTime,
    /// The registry answers again after it was away.
    pub is_back: bool,
}

/// Follows one topic.
///
/// Invariants: a record is applied once and in order; and an upstream that vanished while the
/// registry was away counts as gone only once it had the time to register again.
#[derive(Clone, Debug)]
pub struct Follower {
    lapse_hold: Duration,
    next: Option<Offset>,
    /// Upstreams believed to be registered, with the place of their last record.
    known: BTreeMap<UpstreamId, Offset>,
    /// Upstreams whose removal is not believed before this moment.
    doubted: BTreeMap<UpstreamId, BootTime>,
    is_away: bool,
    hold_until: Option<BootTime>,
}

impl Follower {
    /// Makes a follower that has read nothing; removals that are read within `lapse_hold` of the
    /// registry's return are doubted until that time is over.
    pub fn new(lapse_hold: Duration) -> Self {
        Self {
            lapse_hold,
            next: None,
            known: BTreeMap::new(),
            doubted: BTreeMap::new(),
            is_away: false,
            hold_until: None,
        }
    }

    /// Returns what to read next.
    pub fn step(&self) -> Step {
        self.next.map_or(Step::Newest, Step::Read)
    }

    /// Says whether the registry did not answer the last call.
    pub const fn is_away(&self) -> bool {
        self.is_away
    }

    /// Takes the newest record of each key, asked for at `sent`.
    pub fn newest(&mut self, snapshot: Snapshot, sent: BootTime, now: BootTime) -> Applied {
        let is_back = self.answered(now);
        self.next = Some(snapshot.end);
        let listed: Vec<UpstreamId> = snapshot
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
            .filter(|id| !listed.contains(id))
            .cloned()
            .collect();
        let mut changes = self.take(snapshot.items, now);
        for id in missing {
            self.remove(id, now, &mut changes);
        }
        Applied {
            changes,
            as_of: sent,
            is_back,
        }
    }

    /// Takes records asked for at `sent`, for whose first the registry was to wait up to `wait`.
    pub fn page(&mut self, page: Page, sent: BootTime, wait: Duration, now: BootTime) -> Applied {
        let is_back = self.answered(now);
        // An empty answer was given at the end of the wait, so it speaks of that moment.
        let as_of = if page.items.is_empty() {
            sent.plus(wait).min(now)
        } else {
            sent
        };
        self.next = Some(page.next);
        let changes = self.take(page.items, now);
        Applied {
            changes,
            as_of,
            is_back,
        }
    }

    /// Takes that a call failed; returns whether the registry was there before.
    pub fn failed(&mut self, err: &RegistryError) -> bool {
        if matches!(err, RegistryError::Expired { .. }) {
            self.next = None;
            return false;
        }
        let was_there = !self.is_away;
        self.is_away = true;
        was_there
    }

    /// Returns the removals whose time to be doubted is over.
    pub fn due(&mut self, now: BootTime) -> Vec<Change> {
        if self.is_away {
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

    fn answered(&mut self, now: BootTime) -> bool {
        let is_back = self.is_away;
        if is_back {
            let until = now.plus(self.lapse_hold);
            self.hold_until = Some(until);
            for doubted in self.doubted.values_mut() {
                *doubted = until;
            }
        }
        self.is_away = false;
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
