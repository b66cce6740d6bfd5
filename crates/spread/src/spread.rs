//! Fetches from peers: rarest chunk first, balanced over the sources, hedged when only slow fetches are left.

use std::time::{Duration, Instant};

use rand::RngExt as _;
use wagtailreel_core::{ChunkIndex, SpreadGoal, VmId};

use crate::peers::Peer;
use crate::planner::Planner;
use crate::{Action, FetchId, Reason, Source};

/// Rank of a peer as a source, lowest first: whether it is remote (if origin bytes are weighed), fetches in
/// flight from it, chunks it has sent, and a random number.
type SourceRank = (bool, usize, u32, u32);

/// Maximum fetches in flight from one peer if there are few neighbours.
const MAX_PER_PEER_FEW_PEERS: usize = 2;

impl Planner {
    /// Starts fetches from peers up to the limit of fetches in flight.
    pub(crate) fn spread(&mut self, now: Instant, out: &mut Vec<Action>) {
        while self.peer_fetches() < self.tuning.parallel {
            let Some((chunk, vm)) = self.next_spread(now) else {
                return;
            };
            let action = self.start_fetch(chunk, Source::Peer(vm), Reason::Spread, now);
            out.push(action);
        }
    }

    /// Starts second fetches of slow chunks from other peers, once every missing chunk is in flight.
    pub(crate) fn hedge(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.unfetched().next().is_some() {
            return;
        }
        while self.peer_fetches() < self.tuning.parallel {
            let Some((chunk, vm)) = self.next_hedge(now) else {
                return;
            };
            let action = self.start_fetch(chunk, Source::Peer(vm), Reason::Hedge, now);
            out.push(action);
        }
    }

    /// Cancels fetches that have timed out, and backs off from the peers that they came from.
    pub(crate) fn cancel_overdue(&mut self, now: Instant, out: &mut Vec<Action>) {
        let factor = self.tuning.timeout_factor;
        let peer_limit = self.at_least_min_timeout(self.peer_fetch_time.timeout_base() * factor);
        let origin_limit =
            self.at_least_min_timeout(self.origin_fetch_time.timeout_base() * factor);
        let old: Vec<FetchId> = self
            .active
            .iter()
            .filter(|(_, active)| {
                let age = now.saturating_duration_since(active.since);
                match active.from {
                    Source::Origin => age > origin_limit,
                    Source::Peer(_) => age > peer_limit,
                }
            })
            .map(|(id, _)| *id)
            .collect();
        for id in old {
            self.cancel_overdue_fetch(id, now);
            out.push(Action::Cancel { id });
        }
    }

    /// Cancels one fetch that has timed out, and backs off from its peer.
    fn cancel_overdue_fetch(&mut self, id: FetchId, now: Instant) {
        let Some(active) = self.end_fetch(id) else {
            return;
        };
        let age = now.saturating_duration_since(active.since);
        let jitter = self.rng.random();
        match &active.from {
            Source::Origin => self.origin_fetch_time.record_timeout(),
            Source::Peer(vm) => {
                self.peer_fetch_time.record_timeout();
                if let Some(peer) = self.peers.get_mut(vm) {
                    // The backoff is as long as the fetch lasted: a peer that held a fetch for long is not
                    // tried again soon.
                    peer.backoff.record_failure(now, age, age, jitter);
                }
                self.peers.set_failing(vm, true, now);
            }
        }
    }

    /// Returns the number of fetches in flight from peers.
    fn peer_fetches(&self) -> usize {
        self.active
            .values()
            .filter(|active| active.from != Source::Origin)
            .count()
    }

    /// Chooses the rarest chunk that a usable neighbour has, and the neighbour to fetch it from.
    fn next_spread(&mut self, now: Instant) -> Option<(ChunkIndex, VmId)> {
        let usable = self.usable(now);
        let chunk = self
            .unfetched()
            .filter(|chunk| {
                let mut sources = usable.iter();
                sources.any(|(_, peer)| self.may_fetch_from(peer, *chunk, now))
            })
            .min_by_key(|chunk| (self.rarity(*chunk), self.order[*chunk as usize]))?;
        let sources: Vec<(VmId, SourceRank)> = usable
            .into_iter()
            .filter(|(_, peer)| self.may_fetch_from(peer, chunk, now))
            .map(|(vm, peer)| (vm.clone(), self.rank_source(peer)))
            .collect();
        self.choose_source(sources).map(|vm| (chunk, vm))
    }

    /// Returns the rarity of a chunk, lowest for the rarest. Chunks that only failing peers have come last.
    fn rarity(&self, chunk: ChunkIndex) -> u32 {
        let holders = self.peers.holders(chunk);
        holders.checked_sub(1).unwrap_or(u32::MAX)
    }

    /// Chooses the chunk that has been in flight longest, and another neighbour that has it.
    fn next_hedge(&mut self, now: Instant) -> Option<(ChunkIndex, VmId)> {
        let limit = self
            .at_least_min_timeout(self.peer_fetch_time.timeout_base() * self.tuning.hedge_factor);
        let usable = self.usable(now);
        let mut slow: Vec<(Instant, ChunkIndex)> = self
            .active
            .values()
            .filter(|active| self.in_flight[active.chunk as usize] == 1)
            .filter(|active| now.saturating_duration_since(active.since) > limit)
            .map(|active| (active.since, active.chunk))
            .collect();
        slow.sort_unstable();
        let (chunk, sources) = slow.into_iter().find_map(|(_, chunk)| {
            let sources: Vec<(VmId, SourceRank)> = usable
                .iter()
                .filter(|(_, peer)| self.may_fetch_from(peer, chunk, now))
                .filter(|(vm, _)| !self.is_fetching_from(vm, chunk))
                .map(|(vm, peer)| ((*vm).clone(), self.rank_source(peer)))
                .collect();
            (!sources.is_empty()).then_some((chunk, sources))
        })?;
        self.choose_source(sources).map(|vm| (chunk, vm))
    }

    /// Returns whether `chunk` may be fetched from `peer`.
    ///
    /// From another data centre, a chunk may be fetched by the VM that ranks first for it in this data
    /// centre. Each VM further down may fetch it one [`crate::Tuning::cross_delay`] after the VM before.
    fn may_fetch_from(&self, peer: &Peer, chunk: ChunkIndex, now: Instant) -> bool {
        if !peer.has(chunk) {
            return false;
        }
        let Some(delay) = self.tuning.cross_delay else {
            return true;
        };
        if peer.site.data_centre == self.own.data_centre {
            return true;
        }
        let ranks = self.ranking.local_position(chunk);
        let ranks = ranks.min(self.tuning.max_takeover_delays);
        let available_for = self.available_at[chunk as usize]
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        available_for >= delay * ranks
    }

    /// Records since when neighbours are known to have each chunk.
    pub(crate) fn note_available(&mut self, now: Instant) {
        for chunk in 0..self.have.capacity() {
            if self.peers.holders(chunk) > 0 {
                self.available_at[chunk as usize].get_or_insert(now);
            }
        }
    }

    /// Returns whether `chunk` is being fetched from `vm`.
    fn is_fetching_from(&self, vm: &str, chunk: ChunkIndex) -> bool {
        self.active.values().any(|active| {
            active.chunk == chunk && matches!(&active.from, Source::Peer(from) if from == vm)
        })
    }

    /// Returns the neighbours from which a fetch may start now.
    fn usable(&self, now: Instant) -> Vec<(&VmId, &Peer)> {
        // With few neighbours, one fetch from each would leave the link idle between fetches.
        let neighbours = self.peers.neighbour_names().len().max(1);
        let per_few_peers = self
            .tuning
            .parallel
            .div_ceil(neighbours)
            .min(MAX_PER_PEER_FEW_PEERS);
        let per_peer = self.tuning.per_peer.max(per_few_peers);
        self.peers
            .neighbours()
            .filter(|(_, peer)| peer.active < per_peer)
            .filter(|(_, peer)| peer.lost_since.is_none() && peer.backoff.is_over(now))
            .collect()
    }

    /// Ranks a peer as a source. If origin bytes are weighed, local peers come first, because traffic between
    /// data centres is expensive as well.
    fn rank_source(&self, peer: &Peer) -> SourceRank {
        let is_remote = self.settings.weigh == SpreadGoal::OriginBytes
            && peer.site.data_centre != self.own.data_centre;
        (is_remote, peer.active, peer.served, 0)
    }

    /// Chooses the lowest-ranked source, at random among equals.
    fn choose_source(&mut self, mut sources: Vec<(VmId, SourceRank)>) -> Option<VmId> {
        for (_, rank) in &mut sources {
            rank.3 = self.rng.random();
        }
        sources
            .into_iter()
            .min_by_key(|(_, rank)| *rank)
            .map(|(vm, _)| vm)
    }

    /// Returns `duration`, or the minimum time-out if that is longer.
    fn at_least_min_timeout(&self, duration: Duration) -> Duration {
        duration.max(self.tuning.min_timeout)
    }
}
