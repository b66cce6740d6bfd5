//! How many VMs must have loaded an epoch, and which of them load it first.

use std::collections::BTreeSet;

use wagtailreel_core::{Epoch, Place, VmId, VmSelection, WeightsPhase, rank};

use crate::table::AgentRow;

/// Returns how many agents must have loaded new weights before the data centre switches.
///
/// It is the document's number, but no more than the VMs it means: those that it names, or the
/// `listed` ones of the service if it names none. Engines that hold one bundle can't all load the
/// new weights while one of them serves the old, so that with them it is one less than all.
pub(crate) fn needed(place: &Place, listed: Option<usize>, one_bundle: bool) -> usize {
    let meant = match &place.vms {
        VmSelection::Named(vms) => Some(vms.len()),
        VmSelection::All => listed,
    };
    let wanted = usize::try_from(place.ready).unwrap_or(usize::MAX);
    let most = match meant {
        Some(meant) if one_bundle && meant > 1 => meant - 1,
        Some(meant) => meant,
        None => usize::MAX,
    };
    wanted.min(most).max(1)
}

/// Returns the agents whose engines, holding one bundle, give up the open one now to load `target`.
///
/// None before `needed` agents have the weights verified at hand, so that the time with fewer
/// replicas is as short as a load. Those that have begun count first, then the rest in order of
/// their rendezvous rank, so that every entry chooses the same.
pub(crate) fn choose_swaps(target: Epoch, needed: usize, agents: &[&AgentRow]) -> BTreeSet<VmId> {
    let at = |row: &AgentRow| row.report.weights.get(&target).copied();
    let begun =
        |row: &AgentRow| matches!(at(row), Some(WeightsPhase::Loading | WeightsPhase::Loaded));
    let staged = |row: &AgentRow| at(row) == Some(WeightsPhase::Staged);
    let under_way = agents.iter().filter(|row| begun(row)).count();
    let waiting: Vec<&str> = agents
        .iter()
        .filter(|row| staged(row))
        .map(|row| row.report.vm.as_str())
        .collect();
    if under_way + waiting.len() < needed {
        return BTreeSet::new();
    }
    rank(&target.to_be_bytes(), waiting)
        .into_iter()
        .take(needed.saturating_sub(under_way))
        .map(str::to_owned)
        .collect()
}
