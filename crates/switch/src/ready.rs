//! How many VMs must have loaded an epoch before a switch, and which of them load it first.

use std::collections::BTreeSet;

use wagtailreel_core::{Epoch, Place, VmId, VmSelection, WeightsPhase, rank};

use crate::table::AgentRow;

/// Returns how many agents must have loaded new weights before the data centre switches.
///
/// The number is the document's `ready`, limited to the count of eligible VMs: the VMs that the
/// document names, or the `listed` VMs of the service if it names none. If engines have space for
/// one bundle only, the limit is one less, because one of them has to go on serving the old weights
/// while the others load the new ones.
pub(crate) fn required(place: &Place, listed: Option<usize>, one_bundle: bool) -> usize {
    let eligible = match &place.vms {
        VmSelection::Named(vms) => Some(vms.len()),
        VmSelection::All => listed,
    };
    let wanted = usize::try_from(place.ready).unwrap_or(usize::MAX);
    let max = match eligible {
        Some(eligible) if one_bundle && eligible > 1 => eligible - 1,
        Some(eligible) => eligible,
        None => usize::MAX,
    };
    wanted.min(max).max(1)
}

/// Returns the agents whose engines, with space for one bundle, now drop the open one to load
/// `target`.
///
/// The set is empty until `required` agents have the weights verified, so that the time with fewer
/// replicas is only as long as a load. Agents that already load or have loaded count towards
/// `required`; the rest is chosen by rendezvous rank, so that every entry chooses the same agents.
pub(crate) fn choose_swaps(target: Epoch, required: usize, agents: &[&AgentRow]) -> BTreeSet<VmId> {
    let phase = |row: &AgentRow| row.report.weights.get(&target).copied();
    let started = |row: &AgentRow| {
        matches!(
            phase(row),
            Some(WeightsPhase::Loading | WeightsPhase::Loaded)
        )
    };
    let staged = |row: &AgentRow| phase(row) == Some(WeightsPhase::Staged);
    let started_count = agents.iter().filter(|row| started(row)).count();
    let waiting: Vec<&str> = agents
        .iter()
        .filter(|row| staged(row))
        .map(|row| row.report.vm.as_str())
        .collect();
    if started_count + waiting.len() < required {
        return BTreeSet::new();
    }
    rank(&target.to_be_bytes(), waiting)
        .into_iter()
        .take(required.saturating_sub(started_count))
        .map(str::to_owned)
        .collect()
}
