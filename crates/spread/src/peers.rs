//! What is known of the other VMs.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use wagtailreel_core::{ChunkIndex, VmId};

use crate::timing::Backoff;
use crate::{ChunkSet, Site};

/// Corrupt chunks that are put down to chance before a peer is judged by its share of them.
const MAX_CHANCE_CORRUPT: usize = 2;

/// A peer is not believed if it gave one corrupt chunk or more for so many good ones.
const MIN_GOOD_PER_CORRUPT: usize = 8;

/// One other VM.
#[derive(Debug)]
pub(crate) struct Peer {
    pub(crate) site: Site,
    /// What it can give, as far as it said; none until it has said anything.
    pub(crate) have: Option<ChunkSet>,
    /// Chunks that it gave corrupted; never asked of it again.
    pub(crate) corrupt: BTreeSet<ChunkIndex>,
    /// Fetches from it under way.
    pub(crate) active: usize,
    /// Chunks that it gave.
    pub(crate) served: u32,
    pub(crate) backoff: Backoff,
    /// The last fetch from it broke, was given up or was corrupt: what it has can't be counted on.
    failing: bool,
    pub(crate) lost_since: Option<Instant>,
}

impl Peer {
    /// Makes a peer that has said nothing.
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

    /// Says whether what the peer says of its chunks is believed.
    ///
    /// One that gives mostly corrupt chunks has none to give, whatever it says. Were it
    /// believed, nobody would draw the chunks that it alone claims to have.
    pub(crate) fn is_trusted(&self) -> bool {
        let corrupt = self.corrupt.len();
        let good = usize::try_from(self.served).unwrap_or(usize::MAX);
        corrupt <= MAX_CHANCE_CORRUPT || corrupt.saturating_mul(MIN_GOOD_PER_CORRUPT) < good
    }

    /// Says whether the peer is there to give `chunk`.
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
    /// Makes the view of a VM that knows no other, of a bundle with `chunks` chunks.
    pub(crate) fn new(chunks: u32, now: Instant) -> Self {
        Self {
            all: BTreeMap::new(),
            neighbours: BTreeSet::new(),
            holders: vec![0; chunks as usize],
            unavailable_since: vec![now; chunks as usize],
        }
    }

    /// Keeps just the peers of `sites`, and adds those that are new.
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

    /// Takes the neighbours; the others' chunks don't count.
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

    /// Takes what `vm` says that it has. A chunk that it gave corrupted stays out.
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

    /// Notes that `vm` does not have `chunk` after all.
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

    /// Notes that `vm` gave `chunk` corrupted. Its other chunks stop counting once it is not
    /// believed any more.
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

    /// Notes whether what a peer has can be counted on.
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

    /// Says whether what a peer has can't be counted on; so it is with one that isn't known.
    pub(crate) fn is_failing(&self, vm: &str) -> bool {
        self.all.get(vm).is_none_or(|peer| peer.failing)
    }

    /// Counts one neighbour less that has `chunk`.
    fn drop_holder(&mut self, chunk: ChunkIndex, now: Instant) {
        let holders = &mut self.holders[chunk as usize];
        *holders = holders.saturating_sub(1);
        if *holders == 0 {
            self.unavailable_since[chunk as usize] = now;
        }
    }

    /// Returns a peer.
    pub(crate) fn get_mut(&mut self, vm: &str) -> Option<&mut Peer> {
        self.all.get_mut(vm)
    }

    /// Goes through all peers.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&VmId, &Peer)> {
        self.all.iter()
    }

    /// Goes through the neighbours.
    pub(crate) fn neighbours(&self) -> impl Iterator<Item = (&VmId, &Peer)> {
        self.neighbours
            .iter()
            .filter_map(|vm| self.all.get_key_value(vm))
    }

    /// Returns the names of the neighbours.
    pub(crate) const fn neighbour_names(&self) -> &BTreeSet<VmId> {
        &self.neighbours
    }

    /// Returns how many neighbours have `chunk` and don't fail.
    pub(crate) fn holders(&self, chunk: ChunkIndex) -> u32 {
        self.holders[chunk as usize]
    }

    /// Returns since when no neighbour has `chunk`; meaningless while one has it.
    pub(crate) fn unavailable_since(&self, chunk: ChunkIndex) -> Instant {
        self.unavailable_since[chunk as usize]
    }

    /// Returns the peers that have been out of reach for `after` or longer.
    pub(crate) fn lost(&self, after: Duration, now: Instant) -> BTreeSet<VmId> {
        let lost = self.all.iter().filter(|(_, peer)| {
            let since = peer.lost_since;
            since.is_some_and(|since| now.saturating_duration_since(since) >= after)
        });
        lost.map(|(vm, _)| vm.clone()).collect()
    }

    /// Says whether every neighbour has said what it has, or can't be reached.
    pub(crate) fn all_answered(&self) -> bool {
        !self.neighbours.is_empty()
            && self.neighbours().all(|(_, peer)| {
                peer.have.is_some() || peer.lost_since.is_some() || !peer.is_trusted()
            })
    }
}
