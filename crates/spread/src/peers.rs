//! Known state of the other VMs.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use wagtailreel_core::{ChunkIndex, VmId};

use crate::timing::Backoff;
use crate::{ChunkSet, Site};

/// Corrupt chunks of a peer that are attributed to chance, before the share of corrupt chunks decides.
const MAX_CHANCE_CORRUPT: usize = 2;

/// A peer is trusted only if it sent more than this many good chunks per corrupt one.
const MIN_GOOD_PER_CORRUPT: usize = 8;

/// One other VM.
#[derive(Debug)]
pub(crate) struct Peer {
    pub(crate) site: Site,
    /// Chunks that the peer last reported; `None` before the first report and while the peer is lost or not
    /// trusted.
    pub(crate) have: Option<ChunkSet>,
    /// Chunks that the peer sent corrupted, which are never fetched from it again.
    pub(crate) corrupt: BTreeSet<ChunkIndex>,
    /// Fetches in flight from the peer.
    pub(crate) active: usize,
    /// Good chunks that the peer has sent.
    pub(crate) served: u32,
    pub(crate) backoff: Backoff,
    /// The last fetch from the peer broke, timed out or was corrupt, so its chunks don't count as available.
    failing: bool,
    pub(crate) lost_since: Option<Instant>,
}

impl Peer {
    /// Makes a peer that has not reported yet.
    fn new(site: Site) -> Self {
        Self {
            site,
            have: None,
            corrupt: BTreeSet::new(),
            active: 0,
            served: 0,
            backoff: Backoff::default(),
            failing: false,
            lost_since: None,
        }
    }

    /// Returns whether the peer's reports of its chunks are used.
    ///
    /// If reports of a peer that sends mostly corrupt chunks were used, no VM would draw the chunks
    /// that only this peer claims to have.
    pub(crate) fn is_trusted(&self) -> bool {
        let corrupt = self.corrupt.len();
        let good = usize::try_from(self.served).unwrap_or(usize::MAX);
        corrupt <= MAX_CHANCE_CORRUPT || corrupt.saturating_mul(MIN_GOOD_PER_CORRUPT) < good
    }

    /// Returns whether the peer has reported `chunk`.
    pub(crate) fn has(&self, chunk: ChunkIndex) -> bool {
        self.have.as_ref().is_some_and(|have| have.contains(chunk))
    }
}

/// The other VMs, and how many neighbours have each chunk, apart from those that fail.
#[derive(Debug)]
pub(crate) struct Peers {
    all: BTreeMap<VmId, Peer>,
    neighbours: BTreeSet<VmId>,
    holders: Vec<u32>,
    unavailable_since: Vec<Instant>,
}

impl Peers {
    /// Makes the state of a VM that knows no others, for a bundle of `chunks` chunks.
    pub(crate) fn new(chunks: u32, now: Instant) -> Self {
        Self {
            all: BTreeMap::new(),
            neighbours: BTreeSet::new(),
            holders: vec![0; chunks as usize],
            unavailable_since: vec![now; chunks as usize],
        }
    }

    /// Replaces the peers by those of `sites`. The state of a peer whose site is unchanged stays.
    pub(crate) fn set_sites(&mut self, sites: Vec<Site>) {
        let mut before = std::mem::take(&mut self.all);
        for site in sites {
            let known = before
                .remove(&site.vm)
                .filter(|peer| peer.site == site)
                .unwrap_or_else(|| Peer::new(site.clone()));
            self.all.insert(site.vm, known);
        }
    }

    /// Sets the neighbours, and recounts the holders of each chunk among them.
    pub(crate) fn set_neighbours(&mut self, neighbours: BTreeSet<VmId>, now: Instant) {
        self.neighbours = neighbours;
        let before = self.holders.clone();
        self.holders.fill(0);
        let neighbours = self.neighbours.iter().filter_map(|vm| self.all.get(vm));
        let views = neighbours.filter(|peer| !peer.failing);
        for have in views.filter_map(|peer| peer.have.as_ref()) {
            for chunk in have.iter() {
                self.holders[chunk as usize] += 1;
            }
        }
        for (at, before) in before.into_iter().enumerate() {
            if before > 0 && self.holders[at] == 0 {
                self.unavailable_since[at] = now;
            }
        }
    }

    /// Records the chunks that `vm` reports, without those that it sent corrupted.
    pub(crate) fn set_have(&mut self, vm: &str, mut have: ChunkSet, now: Instant) {
        let Some(peer) = self.all.get_mut(vm) else {
            return;
        };
        if have.capacity() as usize != self.holders.len() {
            return;
        }
        for chunk in &peer.corrupt {
            have.remove(*chunk);
        }
        peer.lost_since = None;
        if !peer.is_trusted() {
            return;
        }
        let before = peer.have.replace(have.clone());
        let counts = !peer.failing && self.neighbours.contains(vm);
        if !counts {
            return;
        }
        for chunk in 0..have.capacity() {
            let had = before.as_ref().is_some_and(|set| set.contains(chunk));
            match (had, have.contains(chunk)) {
                (false, true) => self.holders[chunk as usize] += 1,
                (true, false) => self.drop_holder(chunk, now),
                _ => {}
            }
        }
    }

    /// Records that `vm` does not have `chunk`, contrary to its report.
    pub(crate) fn remove_chunk(&mut self, vm: &str, chunk: ChunkIndex, now: Instant) {
        let Some(peer) = self.all.get_mut(vm) else {
            return;
        };
        let counts = !peer.failing && self.neighbours.contains(vm);
        let removed = peer.have.as_mut().is_some_and(|have| have.remove(chunk));
        if removed && counts {
            self.drop_holder(chunk, now);
        }
    }

    /// Records that `vm` sent `chunk` corrupted. If `vm` is no longer trusted, its other chunks
    /// stop counting as well.
    pub(crate) fn note_corrupt(&mut self, vm: &str, chunk: ChunkIndex, now: Instant) {
        self.remove_chunk(vm, chunk, now);
        let Some(peer) = self.all.get_mut(vm) else {
            return;
        };
        peer.corrupt.insert(chunk);
        if peer.is_trusted() {
            return;
        }
        let claimed = peer.have.take();
        let counts = !peer.failing && self.neighbours.contains(vm);
        if counts {
            for chunk in claimed.iter().flat_map(ChunkSet::iter) {
                self.drop_holder(chunk, now);
            }
        }
    }

    /// Records whether a peer is failing; the chunks of a failing peer don't count as available.
    pub(crate) fn set_failing(&mut self, vm: &str, failing: bool, now: Instant) {
        let Some(peer) = self.all.get_mut(vm) else {
            return;
        };
        if peer.failing != failing {
            peer.failing = failing;
            let neighbours = self.neighbours.clone();
            self.set_neighbours(neighbours, now);
        }
    }

    /// Returns whether a peer is failing. An unknown peer counts as failing.
    pub(crate) fn is_failing(&self, vm: &str) -> bool {
        self.all.get(vm).is_none_or(|peer| peer.failing)
    }

    /// Decrements the holders of `chunk`.
    fn drop_holder(&mut self, chunk: ChunkIndex, now: Instant) {
        let holders = &mut self.holders[chunk as usize];
        *holders = holders.saturating_sub(1);
        if *holders == 0 {
            self.unavailable_since[chunk as usize] = now;
        }
    }

    pub(crate) fn get_mut(&mut self, vm: &str) -> Option<&mut Peer> {
        self.all.get_mut(vm)
    }

    /// Returns all peers.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&VmId, &Peer)> {
        self.all.iter()
    }

    /// Returns the neighbours that are known peers.
    pub(crate) fn neighbours(&self) -> impl Iterator<Item = (&VmId, &Peer)> {
        self.neighbours
            .iter()
            .filter_map(|vm| self.all.get_key_value(vm))
    }

    /// Returns the names of the neighbours.
    pub(crate) const fn neighbour_names(&self) -> &BTreeSet<VmId> {
        &self.neighbours
    }

    /// Returns the number of neighbours that have `chunk` and are not failing.
    pub(crate) fn holders(&self, chunk: ChunkIndex) -> u32 {
        self.holders[chunk as usize]
    }

    /// Returns since when no neighbour has `chunk`. The value is meaningless while a neighbour has it.
    pub(crate) fn unavailable_since(&self, chunk: ChunkIndex) -> Instant {
        self.unavailable_since[chunk as usize]
    }

    /// Returns the peers that have been unreachable for `after` or longer.
    pub(crate) fn lost(&self, after: Duration, now: Instant) -> BTreeSet<VmId> {
        let lost = self.all.iter().filter(|(_, peer)| {
            let since = peer.lost_since;
            since.is_some_and(|since| now.saturating_duration_since(since) >= after)
        });
        lost.map(|(vm, _)| vm.clone()).collect()
    }

    /// Returns whether there are neighbours and each has reported, is unreachable or is not trusted.
    pub(crate) fn all_answered(&self) -> bool {
        !self.neighbours.is_empty()
            && self.neighbours().all(|(_, peer)| {
                peer.have.is_some() || peer.lost_since.is_some() || !peer.is_trusted()
            })
    }
}
