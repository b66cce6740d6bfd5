//! Tracks the position in a topic and turns answers of the registry into changes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use wagtailreel_core::Offset;

use crate::evacuations::{self, Evacuations};
use crate::removed::RemovedUpstreams;
use crate::versions::SettingVersions;
use crate::{
    BootTime, Change, Era, KeptSetting, Keyed, Page, Position, RegistryError, Snapshot, Upstream,
    UpstreamId, UpstreamStart, UpstreamState,
};

/// The next read of a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The newest record of each key.
    Newest,
    /// The records from this position on.
    Read(Position),
}

/// The registry came back from an older copy of its log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Restoration {
    /// End of what was read before.
    pub before: Position,
    /// End of the first snapshot of the new era.
    pub after: Position,
    /// Settings of which newer versions stay in force than the registry holds.
    pub kept: Vec<KeptSetting>,
}

/// The last record of a registered upstream.
#[derive(Clone, Copy, Debug)]
struct KnownUpstream {
    position: Position,
    started: UpstreamStart,
    is_draining: bool,
}

impl KnownUpstream {
    /// Returns whether `upstream`, from a restored copy, is an earlier state of the known upstream. An upstream that
    /// drains doesn't become ready again without a restart.
    fn is_after(&self, upstream: &Upstream) -> bool {
        let revives = self.is_draining && upstream.state == UpstreamState::Ready;
        self.started > upstream.started || (self.started == upstream.started && revives)
    }
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
    /// Set if the registry came back from an older copy.
    pub restored: Option<Restoration>,
    /// Number of settings of which newer versions are known than the registry holds.
    pub kept_settings: usize,
}

/// Follows one topic.
///
/// Invariants: a record is applied once and in order. An upstream whose registration lapsed while the
/// registry was unreachable is removed only after it has had time to register again. An evacuation is in force
/// until a newer record, or a newer snapshot that lacks its record, withdraws it.
///
/// In a new era all offsets that are known are void. An upstream that was removed or drains in an earlier era is not
/// revived by a restored copy, and one that the copy lacks has time to register again.
#[derive(Clone, Debug)]
pub struct Follower {
    lapse_hold: Duration,
    lapse_after: Duration,
    next: Option<Position>,
    /// End of what was read.
    read_to: Option<Position>,
    /// Offsets from this one on were read in no era.
    unread_from: Offset,
    /// Records of the current era before this position may be from before the restoration.
    copied_before: Option<Position>,
    /// End of the log when more records came at once than a page holds.
    burst_end: Option<Position>,
    /// Registered upstreams with their last record.
    known: BTreeMap<UpstreamId, KnownUpstream>,
    removed: RemovedUpstreams,
    versions: SettingVersions,
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
            read_to: None,
            unread_from: 0,
            copied_before: None,
            burst_end: None,
            known: BTreeMap::new(),
            removed: RemovedUpstreams::default(),
            versions: SettingVersions::default(),
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

    /// Returns the newest era that was read.
    pub fn era(&self) -> Era {
        self.read_to.unwrap_or_default().era
    }

    /// Checks the era of the answer to [`Self::step`].
    ///
    /// # Errors
    ///
    /// Returns [`RegistryError::Stale`] for an answer of an earlier era than what was read, and
    /// [`RegistryError::Restored`] for a page of a later one.
    pub fn check_era(&self, era: Era) -> Result<(), RegistryError> {
        let known = self.era();
        if era < known {
            return Err(RegistryError::Stale { era, known });
        }
        if era > known && self.next.is_some() {
            return Err(RegistryError::Restored { era });
        }
        Ok(())
    }

    /// Returns whether the registry did not answer the last call.
    pub const fn is_unreachable(&self) -> bool {
        self.is_unreachable
    }

    /// Applies the newest record of each key.
    pub fn apply_snapshot(&mut self, snapshot: Snapshot, now: BootTime) -> Applied {
        let has_recovered = self.note_answer(snapshot.as_of, now);
        let before = self.note_era(snapshot.end, now);
        self.note_read(snapshot.end, &snapshot.items);
        // While a burst continues, a read of single records would fall behind again.
        let burst_end = self.burst_end;
        let burst_continues =
            burst_end.is_some_and(|end| end.era == snapshot.end.era && snapshot.end > end);
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
            .withdraw_unlisted(&evacuations, snapshot.end, now);
        changes.extend(withdrawn);
        // A process that starts is ready once it has a configuration, and must know of evacuations before.
        changes.sort_by_key(|change| !matches!(change, Change::Evacuation { .. }));
        let kept = self.versions.kept();
        Applied {
            changes,
            as_of: Some(snapshot.as_of),
            has_recovered,
            is_relayed: snapshot.is_relayed,
            kept_settings: kept.len(),
            restored: before.map(|before| Restoration {
                before,
                after: snapshot.end,
                kept,
            }),
        }
    }

    /// Applies a page of records in order.
    pub fn apply_page(&mut self, page: Page, now: BootTime) -> Applied {
        let has_recovered = self.note_answer(page.as_of, now);
        self.note_read(page.next, &[]);
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
            restored: None,
            kept_settings: self.versions.kept().len(),
        }
    }

    /// Records that a call failed; returns whether the registry has become unreachable by it.
    pub fn note_failure(&mut self, err: &RegistryError) -> bool {
        if err.needs_snapshot() {
            self.next = None;
            return false;
        }
        let was_reachable = !self.is_unreachable;
        self.is_unreachable = true;
        was_reachable
    }

    /// Returns the changes that were held back and are due, and drops removed upstreams.
    pub fn due_changes(&mut self, now: BootTime) -> Vec<Change> {
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
            self.drop_upstream(id, now);
        }
        let mut changes = self.evacuations.due(now);
        changes.extend(due.into_iter().map(Change::Gone));
        changes
    }

    /// Returns the time until the next change that is held back is due.
    pub fn next_due(&self, now: BootTime) -> Option<Duration> {
        let removal = self.pending_removals.values().min().copied();
        let soonest = removal
            .into_iter()
            .chain(self.evacuations.next_due())
            .min()?;
        Some(soonest.since(now))
    }

    /// Records the end of a snapshot. If it is of a later era than what was read, returns the end of that.
    fn note_era(&mut self, end: Position, now: BootTime) -> Option<Position> {
        let before = self.read_to.filter(|before| before.era < end.era)?;
        let copied = end.offset.min(self.unread_from);
        self.copied_before = Some(Position::new(end.era, copied));
        self.hold_removals(now);
        self.evacuations.note_restored(end, now);
        self.versions.forget_registry();
        Some(before)
    }

    fn note_read(&mut self, end: Position, items: &[Keyed]) {
        self.read_to = self.read_to.max(Some(end));
        let listed = items.iter().map(|item| item.position.following().offset);
        self.unread_from = listed.fold(self.unread_from.max(end.offset), Offset::max);
    }

    fn hold_removals(&mut self, now: BootTime) {
        let until = now.plus(self.lapse_hold);
        self.hold_until = Some(until);
        for due_at in self.pending_removals.values_mut() {
            *due_at = until;
        }
    }

    fn note_answer(&mut self, as_of: BootTime, now: BootTime) -> bool {
        let has_recovered = self.is_unreachable;
        let before = self.known_as_of.replace(as_of);
        let may_have_lapsed = before.is_none_or(|at| now.since(at) >= self.lapse_after);
        if has_recovered && may_have_lapsed {
            self.hold_removals(now);
        }
        self.is_unreachable = false;
        has_recovered
    }

    fn apply_items(&mut self, items: Vec<Keyed>, now: BootTime) -> Vec<Change> {
        let mut changes = Vec::new();
        for item in items {
            self.versions.note(&item.change);
            match item.change {
                Change::Upstream(upstream) => {
                    if self.is_outdated(&upstream, item.position, now) {
                        continue;
                    }
                    let known = KnownUpstream {
                        position: item.position,
                        started: upstream.started,
                        is_draining: upstream.state == UpstreamState::Draining,
                    };
                    self.pending_removals.remove(&upstream.id);
                    self.removed.forget(&upstream.id);
                    self.known.insert(upstream.id.clone(), known);
                    changes.push(Change::Upstream(upstream));
                }
                Change::Gone(id) => self.remove(id, now, &mut changes),
                Change::Evacuation {
                    data_centre,
                    is_evacuated,
                } => {
                    let evacuations = &mut self.evacuations;
                    if evacuations.record(&data_centre, is_evacuated, item.position, now) {
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
                self.drop_upstream(&id, now);
                changes.push(Change::Gone(id));
            }
        }
    }

    /// Returns whether the record is older than what is known of the upstream.
    fn is_outdated(&self, upstream: &Upstream, position: Position, now: BootTime) -> bool {
        let (id, started, era) = (&upstream.id, upstream.started, position.era);
        let may_be_copied = self.copied_before.is_some_and(|copied| position < copied);
        let Some(known) = self.known.get(id) else {
            return may_be_copied && self.removed.was_removed_before(id, started, era, now);
        };
        // The copy doesn't undo a removal that is held back.
        let is_undone = may_be_copied && self.pending_removals.contains_key(id);
        let is_earlier_era = known.position.era < era;
        known.position > position || (is_earlier_era && (is_undone || known.is_after(upstream)))
    }

    fn drop_upstream(&mut self, id: &UpstreamId, now: BootTime) {
        self.pending_removals.remove(id);
        let era = self.era();
        if let Some(known) = self.known.remove(id) {
            self.removed.note(id.clone(), known.started, era, now);
        }
    }
}
