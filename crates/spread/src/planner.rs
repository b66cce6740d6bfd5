//! State of the planner, and how events change it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use rand::rngs::StdRng;
use rand::seq::SliceRandom as _;
use rand::{RngExt as _, SeedableRng as _};
use wagtailreel_core::{
    ChunkIndex, DataCentre, Digest, SpreadPolicy, SpreadSettings, VmEntry, VmId, VmRole, VmState,
};

use crate::peers::Peers;
use crate::ranking::{NEVER_DRAWS, Ranking};
use crate::timing::{Backoff, FetchTime};
use crate::{
    Action, ChunkSet, Event, Failure, Fetch, FetchId, Reason, Site, Source, Tuning, neighbours,
};

/// Upper limit of the backoff of a failing peer, as a multiple of its first backoff.
const MAX_BACKOFF_FACTOR: u32 = 32;

/// Configuration of a planner.
#[derive(Clone, Debug)]
pub struct PlannerConfig {
    /// The VM that the planner decides for.
    pub own: Site,
    /// Digests of the bundle's chunks, each once. [`ChunkIndex`] is a position in this list.
    pub chunks: Vec<Digest>,
    /// Chunks that the VM has at the start.
    pub have: ChunkSet,
    /// Settings of the distribution from the service's document.
    pub settings: SpreadSettings,
    /// Seed of all random choices.
    pub seed: u64,
}

/// A fetch in flight.
#[derive(Debug)]
pub(crate) struct ActiveFetch {
    pub(crate) chunk: ChunkIndex,
    pub(crate) from: Source,
    pub(crate) since: Instant,
}

/// Decides for one VM and one bundle which chunks to fetch from which source.
///
/// Invariants: a chunk counts as present only after [`Event::Fetched`], which the caller sends only
/// after it has verified the digest; and a chunk that a peer sent corrupted is never fetched from
/// that peer again.
#[derive(Debug)]
pub struct Planner {
    pub(crate) own: Site,
    pub(crate) settings: SpreadSettings,
    pub(crate) tuning: Tuning,
    pub(crate) rng: StdRng,
    pub(crate) have: ChunkSet,
    /// Rank of each chunk in a random order of this VM, which breaks ties between chunks.
    pub(crate) order: Vec<u32>,
    pub(crate) peers: Peers,
    pub(crate) ranking: Ranking,
    pub(crate) active: BTreeMap<FetchId, ActiveFetch>,
    /// Fetches in flight for each chunk.
    pub(crate) in_flight: Vec<u32>,
    pub(crate) origin_backoff: Backoff,
    /// When the origin last failed; the start of the planner if the origin has not failed.
    pub(crate) origin_failed_at: Instant,
    pub(crate) origin_fetch_time: FetchTime,
    pub(crate) peer_fetch_time: FetchTime,
    pub(crate) started_at: Instant,
    /// When the last chunk from the origin arrived.
    pub(crate) last_draw_at: Option<Instant>,
    /// When every chunk that the VM is first for was here or at a neighbour.
    pub(crate) own_draws_done_at: Option<Instant>,
    /// When the window had kept the VM from its own draws for as long as the takeover delay.
    pub(crate) draws_blocked_at: Option<Instant>,
    /// Highest chunk that this VM or a neighbour has had.
    pub(crate) highest_available: Option<ChunkIndex>,
    /// When `highest_available` last increased.
    pub(crate) frontier_moved_at: Instant,
    /// Since when the window lets the VM that is first for each chunk draw it.
    pub(crate) released_at: Vec<Option<Instant>>,
    /// Since when a neighbour is known to have each chunk.
    pub(crate) available_at: Vec<Option<Instant>>,
    /// When the last chunk arrived.
    pub(crate) last_arrival_at: Instant,
    lost: BTreeSet<VmId>,
    watched: BTreeSet<VmId>,
    next_id: FetchId,
}

impl Planner {
    /// Makes a planner at `now`, which starts fetches from the first event on.
    pub fn new(cfg: PlannerConfig, now: Instant) -> Self {
        let mut rng = StdRng::seed_from_u64(cfg.seed);
        let count = cfg.have.capacity();
        let mut order: Vec<u32> = (0..count).collect();
        if cfg.settings.policy == SpreadPolicy::Balanced {
            order.shuffle(&mut rng);
        }
        let tuning = Tuning::default();
        let ranking = Ranking::new(cfg.own.clone(), cfg.settings.weigh, cfg.chunks);
        Self {
            own: cfg.own,
            settings: cfg.settings,
            rng,
            have: cfg.have,
            order,
            peers: Peers::new(count, now),
            ranking,
            active: BTreeMap::new(),
            in_flight: vec![0; count as usize],
            origin_backoff: Backoff::default(),
            origin_failed_at: now,
            origin_fetch_time: FetchTime::new(tuning.initial_fetch_time),
            peer_fetch_time: FetchTime::new(tuning.initial_fetch_time),
            tuning,
            started_at: now,
            last_draw_at: None,
            own_draws_done_at: None,
            draws_blocked_at: None,
            highest_available: None,
            frontier_moved_at: now,
            released_at: vec![None; count as usize],
            available_at: vec![None; count as usize],
            last_arrival_at: now,
            lost: BTreeSet::new(),
            watched: BTreeSet::new(),
            next_id: 1,
        }
    }

    /// Replaces the tuning parameters.
    pub fn with_tuning(mut self, tuning: Tuning) -> Self {
        self.tuning = tuning;
        self
    }

    /// Returns whether the VM has every chunk.
    pub fn is_done(&self) -> bool {
        self.have.is_full()
    }

    /// Returns the chunks that the VM has.
    pub const fn have(&self) -> &ChunkSet {
        &self.have
    }

    /// Returns the peers whose chunks the caller reports: the neighbours, and the peers that would
    /// be neighbours if they were reachable.
    pub const fn watched(&self) -> &BTreeSet<VmId> {
        &self.watched
    }

    /// Applies `event` at `now`, and returns the fetches to start and to cancel.
    pub fn apply(&mut self, event: Event, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Have { vm, have } => self.peers.set_have(&vm, have, now),
            Event::Fetched { id, chunk } => self.on_fetched(id, chunk, now, &mut actions),
            Event::Failed { id, failure } => self.on_failed(id, failure, now),
            Event::Peers(entries) => self.set_peers(&entries, now),
            Event::Lost { vm } => self.set_lost(&vm, now),
            Event::Tick => {}
        }
        self.update_lost(now);
        self.note_available(now);
        self.cancel_overdue(now, &mut actions);
        if !self.is_done() {
            self.draw(now, &mut actions);
            self.spread(now, &mut actions);
            self.hedge(now, &mut actions);
        }
        actions
    }

    /// Starts a fetch.
    pub(crate) fn start_fetch(
        &mut self,
        chunk: ChunkIndex,
        from: Source,
        reason: Reason,
        now: Instant,
    ) -> Action {
        let id = self.next_id;
        self.next_id += 1;
        self.in_flight[chunk as usize] += 1;
        if let Source::Peer(vm) = &from
            && let Some(peer) = self.peers.get_mut(vm)
        {
            peer.active += 1;
        }
        let active = ActiveFetch {
            chunk,
            from: from.clone(),
            since: now,
        };
        self.active.insert(id, active);
        Action::Fetch(Fetch {
            id,
            chunk,
            from,
            reason,
        })
    }

    /// Removes a fetch that has ended or is cancelled.
    pub(crate) fn end_fetch(&mut self, id: FetchId) -> Option<ActiveFetch> {
        let active = self.active.remove(&id)?;
        self.in_flight[active.chunk as usize] -= 1;
        if let Source::Peer(vm) = &active.from
            && let Some(peer) = self.peers.get_mut(vm)
        {
            peer.active = peer.active.saturating_sub(1);
        }
        Some(active)
    }

    /// Records a verified chunk, and cancels the other fetches of it.
    fn on_fetched(&mut self, id: FetchId, chunk: ChunkIndex, now: Instant, out: &mut Vec<Action>) {
        self.have.insert(chunk);
        self.last_arrival_at = now;
        if let Some(active) = self.end_fetch(id) {
            let duration = now.saturating_duration_since(active.since);
            match &active.from {
                Source::Origin => {
                    self.origin_fetch_time.observe(duration);
                    self.origin_backoff.reset();
                    self.last_draw_at = Some(now);
                }
                Source::Peer(vm) => {
                    self.peer_fetch_time.observe(duration);
                    if let Some(peer) = self.peers.get_mut(vm) {
                        peer.served += 1;
                        peer.backoff.reset();
                    }
                    self.peers.set_failing(vm, false, now);
                }
            }
        }
        let others: Vec<FetchId> = self
            .active
            .iter()
            .filter(|(_, active)| active.chunk == chunk)
            .map(|(id, _)| *id)
            .collect();
        for id in others {
            self.end_fetch(id);
            out.push(Action::Cancel { id });
        }
    }

    /// Records that a fetch failed.
    fn on_failed(&mut self, id: FetchId, failure: Failure, now: Instant) {
        let Some(active) = self.end_fetch(id) else {
            return;
        };
        let jitter_factor = self.rng.random();
        match &active.from {
            Source::Origin => self.back_off_origin(failure, jitter_factor, now),
            Source::Peer(vm) => self.back_off_peer(vm, active.chunk, failure, jitter_factor, now),
        }
    }

    /// Records a failure of the origin, and backs off from it.
    fn back_off_origin(&mut self, failure: Failure, jitter_factor: f64, now: Instant) {
        self.origin_failed_at = now;
        let first = self.tuning.origin_backoff;
        let max = self.tuning.max_origin_backoff;
        self.origin_backoff
            .record_failure(now, first, max, jitter_factor);
        if let Failure::Busy {
            retry_after: Some(requested),
        } = failure
        {
            // The jitter is added to the requested delay, so that no VM comes back early.
            let jitter = self.tuning.origin_backoff.mul_f64(jitter_factor);
            self.origin_backoff.extend(now, requested + jitter);
        }
    }

    /// Backs off from a peer, and records the chunks that it does not have or sent corrupted.
    fn back_off_peer(
        &mut self,
        vm: &str,
        chunk: ChunkIndex,
        failure: Failure,
        jitter_factor: f64,
        now: Instant,
    ) {
        let Some(peer) = self.peers.get_mut(vm) else {
            return;
        };
        let first = self.tuning.peer_backoff;
        match failure {
            Failure::Busy { retry_after } => {
                let requested = retry_after.unwrap_or(self.tuning.busy_backoff);
                // The delay is 0.5 to 1.5 times the requested one, so that VMs that were refused
                // together do not retry together.
                peer.backoff
                    .extend(now, requested.mul_f64(0.5 + jitter_factor));
            }
            Failure::Absent => self.peers.remove_chunk(vm, chunk, now),
            Failure::Corrupt => {
                peer.backoff
                    .record_failure(now, first, first * MAX_BACKOFF_FACTOR, jitter_factor);
                self.peers.note_corrupt(vm, chunk, now);
                self.peers.set_failing(vm, true, now);
            }
            Failure::Broken => {
                peer.backoff
                    .record_failure(now, first, first * MAX_BACKOFF_FACTOR, jitter_factor);
                self.peers.set_failing(vm, true, now);
            }
        }
    }

    /// Applies a list of VMs: peers are the other live upstreams.
    fn set_peers(&mut self, entries: &[VmEntry], now: Instant) {
        let sites = entries
            .iter()
            .filter(|entry| entry.role == VmRole::Upstream && entry.vm != self.own.vm)
            .filter(|entry| entry.state == VmState::Live)
            .map(Site::of)
            .collect();
        self.peers.set_sites(sites);
        self.update_neighbours(now);
    }

    /// Records that a peer is unreachable.
    fn set_lost(&mut self, vm: &str, now: Instant) {
        if let Some(peer) = self.peers.get_mut(vm) {
            peer.lost_since.get_or_insert(now);
            peer.have = None;
        }
        // Recounts the holders of chunks without those of the lost peer.
        let neighbours = self.peers.neighbour_names().clone();
        self.peers.set_neighbours(neighbours, now);
    }

    /// Updates neighbours and ranking if the set of lost peers has changed.
    fn update_lost(&mut self, now: Instant) {
        let lost = self.peers.lost(self.tuning.lost_after, now);
        if lost != self.lost {
            self.lost = lost;
            self.update_neighbours(now);
        }
    }

    /// Chooses the neighbours and ranks the VMs that are not lost.
    fn update_neighbours(&mut self, now: Instant) {
        let all: BTreeMap<VmId, DataCentre> = self
            .peers
            .iter()
            .map(|(vm, peer)| (vm.clone(), peer.site.data_centre.clone()))
            .collect();
        let mut alive = all.clone();
        alive.retain(|vm, _| !self.lost.contains(vm));
        let mut neighbours = self.choose_neighbours(&alive);
        self.update_ranking(&alive, neighbours.is_empty());
        if self.tuning.cross_delay.is_some() {
            neighbours.extend(self.ranking.remote_drawers());
        }
        self.watched = self.choose_neighbours(&all);
        self.watched.extend(neighbours.iter().cloned());
        self.peers.set_neighbours(neighbours, now);
    }

    /// Chooses the neighbours from `others` by the policy.
    fn choose_neighbours(&self, others: &BTreeMap<VmId, DataCentre>) -> BTreeSet<VmId> {
        let policy = self.settings.policy;
        match policy {
            SpreadPolicy::Balanced => neighbours::choose(
                &self.own,
                others,
                self.tuning.local_neighbours,
                self.tuning.global_neighbours,
            ),
            SpreadPolicy::Origin => BTreeSet::new(),
            SpreadPolicy::Chain | SpreadPolicy::Tree => {
                neighbours::parent(policy, &self.own, others)
                    .into_iter()
                    .collect()
            }
        }
    }

    /// Updates the ranking. With the policies chain and tree, a VM without a parent draws every chunk
    /// and other VMs draw none.
    fn update_ranking(&mut self, alive: &BTreeMap<VmId, DataCentre>, is_root: bool) {
        match self.settings.policy {
            SpreadPolicy::Balanced => self.ranking.set_members(alive.clone()),
            SpreadPolicy::Origin => self.ranking.set_all(0),
            SpreadPolicy::Chain | SpreadPolicy::Tree => {
                self.ranking.set_all(if is_root { 0 } else { NEVER_DRAWS });
            }
        }
    }
}
