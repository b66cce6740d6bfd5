//! Evacuated data centres, by the positions of their records.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use wagtailreel_core::{DataCentre, Offset};

use crate::{BootTime, Change, Keyed, Position};

/// How long the known state of an evacuation stays in force against a restored copy of the registry. Operators write
/// again within some seconds what the copy has lost; without the hold, requests would go to an evacuated data centre
/// until then.
const RESTORE_HOLD: Duration = Duration::from_secs(8);

/// Whether a data centre is evacuated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Known {
    is_evacuated: bool,
    /// Records of the data centre before this position are older than what is known.
    since: Position,
    /// Offset of the last record that evacuated the data centre.
    set_at: Offset,
}

/// A registry that came back from an older copy.
#[derive(Clone, Copy, Debug)]
struct Restored {
    /// End of the first snapshot of the new era. Records before it may be from before the restoration.
    end: Position,
    /// Until when a copy that differs from what is known is held back.
    held_until: BootTime,
}

/// Evacuations that the records of the settings topic name.
///
/// Withdrawals are kept, so that an answer that is older than a withdrawal does not undo it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Evacuations {
    known: BTreeMap<DataCentre, Known>,
    restored: Option<Restored>,
    /// States of a restored copy that differ from what is known.
    held: BTreeMap<DataCentre, Known>,
}

impl Evacuations {
    /// Records that the registry came back from an older copy, whose first snapshot has the end `end`.
    pub(crate) fn note_restored(&mut self, end: Position, now: BootTime) {
        let held_until = now.plus(RESTORE_HOLD);
        self.restored = Some(Restored { end, held_until });
        self.held.clear();
    }

    /// Records the evacuation record at `position`. Returns whether it is in force from now on.
    pub(crate) fn record(
        &mut self,
        data_centre: &DataCentre,
        is_evacuated: bool,
        position: Position,
        now: BootTime,
    ) -> bool {
        let known = self.known.get(data_centre).copied();
        if known.is_some_and(|known| known.since > position) {
            return false;
        }
        let set_at = match known {
            Some(known) if !is_evacuated => known.set_at,
            _ => position.offset,
        };
        let recorded = Known {
            is_evacuated,
            since: position,
            set_at,
        };
        // A record at a higher offset is a new evacuation, which must not be delayed.
        let may_be_withdrawn =
            known.is_some_and(|known| !known.is_evacuated && position.offset <= known.set_at);
        if is_evacuated && may_be_withdrawn && self.is_held(known, position, now) {
            self.held.insert(data_centre.clone(), recorded);
            return false;
        }
        self.held.remove(data_centre);
        self.known.insert(data_centre.clone(), recorded);
        true
    }

    /// Withdraws the evacuations that a snapshot with the end `end` should list and does not.
    ///
    /// The snapshot says nothing about records at or after its end.
    pub(crate) fn withdraw_unlisted(
        &mut self,
        listed: &BTreeSet<DataCentre>,
        end: Position,
        now: BootTime,
    ) -> Vec<Change> {
        self.held
            .retain(|data_centre, held| !held.is_evacuated || listed.contains(data_centre));
        let is_missing = |data_centre: &DataCentre, known: &Known| {
            known.is_evacuated && known.since < end && !listed.contains(data_centre)
        };
        let missing: Vec<(DataCentre, Known)> = self
            .known
            .iter()
            .filter(|(data_centre, known)| is_missing(data_centre, known))
            .map(|(data_centre, known)| (data_centre.clone(), *known))
            .collect();
        let mut withdrawn = Vec::new();
        for (data_centre, known) in missing {
            let state = Known {
                is_evacuated: false,
                since: end,
                ..known
            };
            let is_in_copy = self
                .restored
                .is_some_and(|it| now < it.held_until && known.since.era < it.end.era);
            if is_in_copy {
                self.held.insert(data_centre, state);
            } else {
                self.known.insert(data_centre.clone(), state);
                withdrawn.push(change(data_centre, false));
            }
        }
        withdrawn
    }

    /// Returns the states of a restored copy that were held back and are in force from `now` on.
    pub(crate) fn due(&mut self, now: BootTime) -> Vec<Change> {
        if self.restored.is_none_or(|it| now < it.held_until) {
            return Vec::new();
        }
        let held = std::mem::take(&mut self.held);
        let apply = |(data_centre, state): (DataCentre, Known)| {
            self.known.insert(data_centre.clone(), state);
            change(data_centre, state.is_evacuated)
        };
        held.into_iter().map(apply).collect()
    }

    /// Returns when states that are held back are due.
    pub(crate) fn next_due(&self) -> Option<BootTime> {
        let restored = self.restored.filter(|_| !self.held.is_empty())?;
        Some(restored.held_until)
    }

    /// Returns whether the record at `position` may be from before a restoration, and what is `known` stays in force
    /// for now.
    fn is_held(&self, known: Option<Known>, position: Position, now: BootTime) -> bool {
        let is_known_from_before = known.is_some_and(|known| known.since.era < position.era);
        let restored = self.restored;
        is_known_from_before && restored.is_some_and(|it| position < it.end && now < it.held_until)
    }
}

const fn change(data_centre: DataCentre, is_evacuated: bool) -> Change {
    Change::Evacuation {
        data_centre,
        is_evacuated,
    }
}

/// Returns the data centres for which a snapshot lists a record, readable or not.
pub(crate) fn listed(items: &[Keyed]) -> BTreeSet<DataCentre> {
    let data_centre = |item: &Keyed| match &item.change {
        Change::Evacuation { data_centre, .. }
        | Change::UnreadableEvacuation { data_centre, .. } => Some(data_centre.clone()),
        _ => None,
    };
    items.iter().filter_map(data_centre).collect()
}
