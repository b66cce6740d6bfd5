//! Choice of the neighbours that a VM fetches from.

use std::collections::{BTreeMap, BTreeSet};

use wagtailreel_core::{DataCentre, SpreadPolicy, VmId, rank, rank_score};

use crate::Site;

/// Key by which the baseline policies, chain and tree, rank the VMs.
const BASELINE_RANK_KEY: &[u8] = b"wagtailreel line";

/// Number of VMs that fetch from each VM in the tree.
const TREE_FAN_OUT: usize = 2;

/// Chooses up to `local` neighbours in the own data centre and `global` over all data centres.
///
/// Each ring orders the VMs by a rendezvous score of its own, and a VM chooses its successor. A VM is
/// therefore the neighbour of about as many VMs as it has neighbours, which balances the load of
/// sending chunks. A VM that is added or removed changes only the choices next to it.
pub(crate) fn choose(
    own: &Site,
    others: &BTreeMap<VmId, DataCentre>,
    local: usize,
    global: usize,
) -> BTreeSet<VmId> {
    if others.len() <= local + global {
        return others.keys().cloned().collect();
    }
    let local_vms: Vec<&str> = others
        .iter()
        .filter(|(_, data_centre)| **data_centre == own.data_centre)
        .map(|(vm, _)| vm.as_str())
        .collect();
    let all: Vec<&str> = others.keys().map(String::as_str).collect();
    let mut chosen = BTreeSet::new();
    for ring in 0..local {
        add_successor(&own.vm, &local_vms, &format!("near {ring}"), &mut chosen);
    }
    let missing = local + global - chosen.len();
    for ring in 0..missing {
        add_successor(&own.vm, &all, &format!("far {ring}"), &mut chosen);
    }
    chosen
}

/// Adds to `chosen` the first VM after `own` on `ring` that is not chosen yet.
fn add_successor(own: &str, others: &[&str], ring: &str, chosen: &mut BTreeSet<VmId>) {
    let own = (rank_score(ring.as_bytes(), own), own);
    let successor = others
        .iter()
        .filter(|vm| !chosen.contains(**vm))
        .map(|vm| (rank_score(ring.as_bytes(), vm), *vm))
        // VMs after the own one come before those that wrap around the end of the ring.
        .min_by_key(|place| (*place < own, *place));
    if let Some((_, vm)) = successor {
        chosen.insert(vm.to_owned());
    }
}

/// Returns the VM that the own one fetches from under a baseline policy, or `None` for the first VM.
pub(crate) fn parent(
    policy: SpreadPolicy,
    own: &Site,
    others: &BTreeMap<VmId, DataCentre>,
) -> Option<VmId> {
    let names = others.keys().chain([&own.vm]).map(String::as_str);
    let ranked = rank(BASELINE_RANK_KEY, names);
    let place = ranked.iter().position(|vm| *vm == own.vm)?;
    let previous = place.checked_sub(1)?;
    let parent = match policy {
        SpreadPolicy::Tree => previous / TREE_FAN_OUT,
        SpreadPolicy::Chain => previous,
        SpreadPolicy::Balanced | SpreadPolicy::Origin => return None,
    };
    Some(ranked[parent].to_owned())
}
