//! Evacuated data centres, by the offsets of their records.

use std::collections::{BTreeMap, BTreeSet};

use wagtailreel_core::{DataCentre, Offset};

use crate::{Change, Keyed};

/// Whether a data centre is evacuated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Known {
    is_evacuated: bool,
    /// Records of the data centre below this offset are older than what is known.
    since: Offset,
}

/// Evacuations that the records of the settings topic name.
///
/// Withdrawals are kept, so that an answer that is older than a withdrawal does not undo it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Evacuations {
    known: BTreeMap<DataCentre, Known>,
}

impl Evacuations {
    /// Records the evacuation record at `offset`. Returns whether it is as new as what is known.
    pub(crate) fn record(
        &mut self,
        data_centre: &DataCentre,
        is_evacuated: bool,
        offset: Offset,
    ) -> bool {
        let known = self.known.get(data_centre);
        if known.is_some_and(|known| known.since > offset) {
            return false;
        }
        let since = offset;
        let known = Known {
            is_evacuated,
            since,
        };
        self.known.insert(data_centre.clone(), known);
        true
    }

    /// Withdraws the evacuations that a snapshot with the end `end` should list and does not.
    ///
    /// The snapshot says nothing about records at or after its end.
    pub(crate) fn withdraw_unlisted(
        &mut self,
        listed: &BTreeSet<DataCentre>,
        end: Offset,
    ) -> Vec<Change> {
        let mut withdrawn = Vec::new();
        for (data_centre, known) in &mut self.known {
            if known.is_evacuated && known.since < end && !listed.contains(data_centre) {
                *known = Known {
                    is_evacuated: false,
                    since: end,
                };
                withdrawn.push(Change::Evacuation {
                    data_centre: data_centre.clone(),
                    is_evacuated: false,
                });
            }
        }
        withdrawn
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
