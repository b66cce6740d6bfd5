//! Ranking of the VMs that draw each chunk from the origin. Every VM computes the same order without
//! communication.

use std::collections::{BTreeMap, BTreeSet};

use wagtailreel_core::{ChunkIndex, DataCentre, Digest, SpreadGoal, VmId, rank_score};

use crate::Site;

/// Position of a VM that never draws a chunk.
pub(crate) const NEVER_DRAWS: u32 = u32::MAX;

/// Position of the own VM in the ranking of each chunk, among the VMs that are not lost.
///
/// With [`SpreadGoal::OriginBytes`], all VMs are ranked by their rendezvous score for the chunk. With
/// [`SpreadGoal::Time`], the data centres are ranked and, within each, the VMs. The order then takes the
/// first VM of each data centre, then the second of each, so that the first two draws are in two
/// data centres.
#[derive(Debug)]
pub(crate) struct Ranking {
    own: Site,
    weigh: SpreadGoal,
    chunks: Vec<Digest>,
    own_scores: Vec<u64>,
    /// For each chunk, number of VMs of the own group (see `in_group`) that rank before the own VM.
    ahead: Vec<u32>,
    /// For each chunk, number of VMs of the own data centre that rank before the own VM.
    local_ahead: Vec<u32>,
    members: BTreeMap<VmId, DataCentre>,
    positions: Vec<u32>,
}

impl Ranking {
    /// Makes the ranking of a VM that knows no others.
    pub(crate) fn new(own: Site, weigh: SpreadGoal, chunks: Vec<Digest>) -> Self {
        let own_scores = chunks
            .iter()
            .map(|chunk| rank_score(chunk.as_bytes(), &own.vm))
            .collect();
        Self {
            own,
            weigh,
            own_scores,
            ahead: vec![0; chunks.len()],
            local_ahead: vec![0; chunks.len()],
            members: BTreeMap::new(),
            positions: vec![0; chunks.len()],
            chunks,
        }
    }

    /// Returns the number of VMs that rank before the own one for `chunk`.
    pub(crate) fn position(&self, chunk: ChunkIndex) -> u32 {
        self.positions[chunk as usize]
    }

    /// Returns the number of VMs of the own data centre that rank before the own one for `chunk`.
    pub(crate) fn local_position(&self, chunk: ChunkIndex) -> u32 {
        self.local_ahead[chunk as usize]
    }

    /// Returns the VMs of other data centres that draw the chunks that the own VM is the first to
    /// fetch into its data centre.
    ///
    /// Without these as neighbours, the own VM would learn of a chunk only after one of its few
    /// remote neighbours had it.
    pub(crate) fn remote_drawers(&self) -> BTreeSet<VmId> {
        let own_first = self.chunks.iter().zip(&self.local_ahead);
        let own_first = own_first.filter(|(_, ahead)| **ahead == 0);
        let firsts = own_first.filter_map(|(chunk, _)| {
            let score = |vm: &str| rank_score(chunk.as_bytes(), vm);
            let members = self.members.iter();
            members.max_by_key(|(vm, _)| (score(vm), std::cmp::Reverse(*vm)))
        });
        let remote = firsts.filter(|(_, data_centre)| **data_centre != self.own.data_centre);
        remote.map(|(vm, _)| vm.clone()).collect()
    }

    /// Sets the same position for every chunk, for policies that do not rank VMs per chunk.
    pub(crate) fn set_all(&mut self, position: u32) {
        self.positions.fill(position);
    }

    /// Replaces the other VMs that are not lost.
    ///
    /// The cost grows with the number of VMs that were added or removed, not with the total.
    pub(crate) fn set_members(&mut self, members: BTreeMap<VmId, DataCentre>) {
        let before = std::mem::take(&mut self.members);
        for (vm, data_centre) in &before {
            if members.get(vm) != Some(data_centre) {
                self.adjust_counts(vm, data_centre, |ahead| ahead.saturating_sub(1));
            }
        }
        for (vm, data_centre) in &members {
            if before.get(vm) != Some(data_centre) {
                self.adjust_counts(vm, data_centre, |ahead| ahead + 1);
            }
        }
        self.members = members;
        self.update_positions();
    }

    /// Returns whether VMs of `data_centre` are ranked together with the own VM.
    fn in_group(&self, data_centre: &str) -> bool {
        match self.weigh {
            SpreadGoal::OriginBytes => true,
            SpreadGoal::Time => data_centre == self.own.data_centre,
        }
    }

    /// Applies `change` to the counts of every chunk for which `vm` ranks before the own VM.
    fn adjust_counts<F>(&mut self, vm: &str, data_centre: &str, change: F)
    where
        F: Fn(u32) -> u32,
    {
        let in_group = self.in_group(data_centre);
        let is_local = data_centre == self.own.data_centre;
        if !in_group && !is_local {
            return;
        }
        for (index, (chunk, own)) in self.chunks.iter().zip(&self.own_scores).enumerate() {
            let other = rank_score(chunk.as_bytes(), vm);
            let before = other > *own || (other == *own && vm < self.own.vm.as_str());
            if before && in_group {
                self.ahead[index] = change(self.ahead[index]);
            }
            if before && is_local {
                self.local_ahead[index] = change(self.local_ahead[index]);
            }
        }
    }

    /// Computes the positions from the counts.
    fn update_positions(&mut self) {
        self.positions.clone_from(&self.ahead);
        if self.weigh == SpreadGoal::OriginBytes {
            return;
        }
        let mut sizes: BTreeMap<&str, u32> = BTreeMap::new();
        for data_centre in self.members.values() {
            if *data_centre != self.own.data_centre {
                *sizes.entry(data_centre).or_default() += 1;
            }
        }
        for (chunk, position) in self.chunks.iter().zip(&mut self.positions) {
            let within = *position;
            let own = rank_score(chunk.as_bytes(), &self.own.data_centre);
            for (data_centre, size) in &sizes {
                let first = rank_score(chunk.as_bytes(), data_centre) > own;
                *position += (within + u32::from(first)).min(*size);
            }
        }
    }
}
