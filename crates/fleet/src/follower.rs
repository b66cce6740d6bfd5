//! Tracks the position in a topic and turns answers of the registry into changes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use wagtailreel_core::Offset;

use crate::evacuations::{self, Evacuations};
use crate::{BootTime, Change, Keyed, Page, RegistryError, Snapshot, UpstreamId};

/// The next read of a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The newest record of each key.
    Newest,
    /// The records from this offset on.
    Read(Offset),
}

/// Result of applying an answer of the registry.
#[derive(Clone, Debug, PartialEq)]
pub struct Applied {
    /// Changes to be applied, in order.
    pub changes: Vec<Change>,
    /// Time as of which the state of the registry is known; `None` while there is more to read.
    pub as_of: Option<BootTime>,
    /// Whether this is the first answer after the registry was unreachable.
    pub has_recovered: bool,
    /// Whether the answer came from a neighbour, which waits for new records without a call to the registry.
    pub is_relayed: bool,
}

/// Follows one topic.
///
/// Invariants: a record is applied once and in order. An upstream whose registration lapsed while the
/// registry was unreachable is removed only after it has had time to register again. An evacuation is in force
/// until a newer record, or a newer snapshot that lacks its record, withdraws it.
#[derive(Clone, Debug)]
pub struct Follower {
    lapse_hold: Duration,
    lapse_after: Duration,
    next: Option<Offset>,
    /// End of the log when more records came at once than a page holds.
    burst_end: Option<Offset>,
    /// Registered upstreams with the offset of their last record.
    known: BTreeMap<UpstreamId, Offset>,
    /// Upstreams whose removal is held back, with the time at which it is applied.
    pending_removals: BTreeMap<UpstreamId, BootTime>,
    evacuations: Evacuations,
    is_unreachable: bool,
    known_as_of: Option<BootTime>,
    hold_until: Option<BootTime>,
}

impl Follower {
    /// Makes a follower that has read nothing. If the registry was unreachable for `lapse_after`, removals
    /// that are read within `lapse_hold` of its recovery are held back until that time has passed.
    pub fn new(lapse_hold: Duration, lapse_after: Duration) -> Self {
        Self {
            lapse_hold,
            lapse_after,
            next: None,
            burst_end: None,
            known: BTreeMap::new(),
            pending_removals: BTreeMap::new(),
            evacuations: Evacuations::default(),
            is_unreachable: false,
            known_as_of: None,
            hold_until: None,
        }
    }

    /// Returns what to read next.
    pub fn step(&self) -> Step {
        self.next.map_or(Step::Newest, Step::Read)
    }

    /// Returns whether the registry did not answer the last call.
    pub const fn is_unreachable(&self) -> bool {
        self.is_unreachable
    }

    /// Applies the newest record of each key.
    pub fn apply_snapshot(&mut self, snapshot: Snapshot, now: BootTime) -> Applied {
        let has_recovered = self.note_answer(snapshot.as_of, now);
        // While a burst continues, a read of single records would fall behind again.
        let burst_continues = self.burst_end.is_some_and(|end| snapshot.end > end);
        self.burst_end = burst_continues.then_some(snapshot.end);
        self.next = (!burst_continues).then_some(snapshot.end);
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
        let evacuations = evacuations::listed(&snapshot.items);
        let mut changes = self.apply_items(snapshot.items, now);
        for id in missing {
            self.remove(id, now, &mut changes);
        }
        let withdrawn = self
            .evacuations
            .withdraw_unlisted(&evacuations, snapshot.end);
        changes.extend(withdrawn);
        // A process that starts is ready once it has a configuration, and must know of evacuations before.
        changes.sort_by_key(|change| !matches!(change, Change::Evacuation { .. }));
        Applied {
            changes,
            as_of: Some(snapshot.as_of),
            has_recovered,
            is_relayed: snapshot.is_relayed,
        }
    }

    /// Applies a page of records in order.
    pub fn apply_page(&mut self, page: Page, now: BootTime) -> Applied {
        let has_recovered = self.note_answer(page.as_of, now);
        // In a burst only the newest record of each key matters, so the rest of the burst is skipped. 70
        // configurations of 100 KB, read one by one by every reader, saturate a link of 30 Mbit/s for 12 s.
        let is_behind = page.end > page.next;
        self.next = (!is_behind).then_some(page.next);
        self.burst_end = is_behind.then_some(page.end);
        let changes = self.apply_items(page.items, now);
        Applied {
            changes,
            as_of: (!is_behind).then_some(page.as_of),
            has_recovered,
            is_relayed: page.is_relayed,
        }
    }

    /// Records that a call failed; returns whether the registry has become unreachable by it.
    pub fn note_failure(&mut self, err: &RegistryError) -> bool {
        if matches!(err, RegistryError::Expired { .. }) {
            self.next = None;
            return false;
        }
        let was_reachable = !self.is_unreachable;
        self.is_unreachable = true;
        was_reachable
    }

    /// Returns the held-back removals that are due, and drops the upstreams.
    pub fn due_removals(&mut self, now: BootTime) -> Vec<Change> {
        if self.is_unreachable {
            return Vec::new();
        }
        let due: Vec<UpstreamId> = self
            .pending_removals
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &due {
            self.pending_removals.remove(id);
            self.known.remove(id);
        }
        due.into_iter().map(Change::Gone).collect()
    }

    /// Returns the time until the next held-back removal is due.
    pub fn next_removal_due(&self, now: BootTime) -> Option<Duration> {
        let soonest = self.pending_removals.values().min()?;
        Some(soonest.since(now))
    }

    fn note_answer(&mut self, as_of: BootTime, now: BootTime) -> bool {
        let has_recovered = self.is_unreachable;
        let before = self.known_as_of.replace(as_of);
        let may_have_lapsed = before.is_none_or(|at| now.since(at) >= self.lapse_after);
        if has_recovered && may_have_lapsed {
            let until = now.plus(self.lapse_hold);
            self.hold_until = Some(until);
            for due_at in self.pending_removals.values_mut() {
                *due_at = until;
            }
        }
        self.is_unreachable = false;
        has_recovered
    }

    fn apply_items(&mut self, items: Vec<Keyed>, now: BootTime) -> Vec<Change> {
        let mut changes = Vec::new();
        for item in items {
            match item.change {
                Change::Upstream(upstream) => {
                    let last = self.known.get(&upstream.id).copied();
                    if last.is_some_and(|last| last > item.offset) {
                        continue;
                    }
                    self.pending_removals.remove(&upstream.id);
                    self.known.insert(upstream.id.clone(), item.offset);
                    changes.push(Change::Upstream(upstream));
                }
                Change::Gone(id) => self.remove(id, now, &mut changes),
                Change::Evacuation {
                    data_centre,
                    is_evacuated,
                } => {
                    let evacuations = &mut self.evacuations;
                    if evacuations.record(&data_centre, is_evacuated, item.offset) {
                        changes.push(Change::Evacuation {
                            data_centre,
                            is_evacuated,
                        });
                    }
                }
                other => changes.push(other),
            }
        }
        changes
    }

    fn remove(&mut self, id: UpstreamId, now: BootTime, changes: &mut Vec<Change>) {
        match self.hold_until {
            Some(until) if now < until && self.known.contains_key(&id) => {
                self.pending_removals.insert(id, until);
            }
            _ => {
                self.known.remove(&id);
                self.pending_removals.remove(&id);
                changes.push(Change::Gone(id));
            }
        }
    }
}
