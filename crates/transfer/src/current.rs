//! The transfer under way: carries out what the planner asks for.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio_util::task::AbortOnDropHandle;
use wagtailreel_adapters::{HttpClient, Origin};
use wagtailreel_core::{ChunkIndex, SpreadSettings, VmEntry, VmId};
use wagtailreel_spread::{
    Action, ChunkSet, Event, Failure, Fetch, FetchId, Planner, PlannerConfig, Source,
};

use crate::fetch::{self, Trouble};
use crate::layout::Layout;
use crate::metrics::Giver;
use crate::shared::Shared;
use crate::verify;
use crate::watch::Watch;

/// Counts the transfers of one process; what belongs to an earlier one is passed over.
pub(crate) type Generation = u64;

/// What the tasks of a transfer tell the driver.
#[derive(Debug)]
pub(crate) enum Note {
    /// A manifest can't be had for now.
    NoManifest {
        generation: Generation,
        text: String,
    },
    /// All manifests are there, or contradict themselves.
    Layout {
        generation: Generation,
        layout: Result<Layout, String>,
    },
    /// A fetch has ended.
    Fetched {
        generation: Generation,
        fetch: Fetch,
        giver: Giver,
        result: Result<Bytes, Trouble>,
    },
    /// What a neighbour has, or why it doesn't say.
    Have {
        generation: Generation,
        vm: VmId,
        have: Result<ChunkSet, String>,
    },
    /// All chunks are there and the parts' digests were checked.
    Verified {
        generation: Generation,
        result: Result<(), String>,
    },
}

/// What a transfer under way needs of its surroundings.
#[derive(Clone, Debug)]
pub(crate) struct Surroundings<O> {
    pub(crate) shared: Arc<Shared>,
    pub(crate) origin: O,
    pub(crate) client: HttpClient,
    pub(crate) notes: mpsc::Sender<Note>,
}

/// A fetch under way; dropping it ends it.
#[derive(Debug)]
struct Flight {
    chunk: ChunkIndex,
    _task: AbortOnDropHandle<()>,
}

/// A neighbour that is followed; dropping it ends that.
#[derive(Debug)]
struct Followed {
    addr: SocketAddr,
    _task: AbortOnDropHandle<()>,
}

/// The transfer of one bundle. All its tasks end when it is dropped.
#[derive(Debug)]
pub(crate) struct Current<O> {
    around: Surroundings<O>,
    pub(crate) layout: Arc<Layout>,
    generation: Generation,
    planner: Planner,
    peers: BTreeMap<VmId, VmEntry>,
    flights: BTreeMap<FetchId, Flight>,
    followed: BTreeMap<VmId, Followed>,
    /// Bytes of memory that the bundle leaves free, for second copies on their way.
    spare: u64,
    _verify: AbortOnDropHandle<()>,
}

impl<O> Current<O>
where
    O: Origin,
{
    /// Starts the transfer of a bundle that fits into memory with `spare` bytes left.
    pub(crate) fn start(
        around: Surroundings<O>,
        layout: Arc<Layout>,
        settings: SpreadSettings,
        generation: Generation,
        peers: &[VmEntry],
        spare: u64,
    ) -> Self {
        let now = Instant::now();
        let shared = &around.shared;
        let have = layout.set_of(|digest| shared.store.contains(digest));
        shared.haves.set(layout.digest, have.clone());
        let cfg = PlannerConfig {
            own: shared.cfg.site(),
            chunks: layout.digests(),
            have,
            settings,
            seed: rand::random(),
        };
        let mut current = Self {
            _verify: spawn_verify(&around, &layout, generation),
            planner: Planner::new(cfg, now),
            around,
            layout,
            generation,
            peers: BTreeMap::new(),
            flights: BTreeMap::new(),
            followed: BTreeMap::new(),
            spare,
        };
        current.set_peers(peers);
        current
    }

    /// Returns how many chunks are there.
    pub(crate) fn have(&self) -> u32 {
        self.planner.have().count()
    }

    /// Takes the list of VMs.
    pub(crate) fn set_peers(&mut self, peers: &[VmEntry]) {
        self.peers = peers
            .iter()
            .map(|entry| (entry.vm.clone(), entry.clone()))
            .collect();
        self.apply(Event::Peers(peers.to_vec()));
        self.follow();
    }

    /// Lets time pass.
    pub(crate) fn tick(&mut self) {
        self.apply(Event::Tick);
        self.follow();
    }

    /// Takes what a neighbour has; none if it can't be reached.
    pub(crate) fn set_have(&mut self, vm: VmId, have: Option<ChunkSet>) {
        self.apply(match have {
            Some(have) => Event::Have { vm, have },
            None => Event::Lost { vm },
        });
    }

    /// Takes a verified chunk.
    pub(crate) fn take(&mut self, fetch: &Fetch, bytes: Bytes) {
        self.flights.remove(&fetch.id);
        let shared = &self.around.shared;
        let digest = self.layout.chunk(fetch.chunk).digest;
        // Peers are told of a chunk only once it can be given.
        shared.store.insert(digest, bytes);
        shared.haves.add(&self.layout.digest, fetch.chunk);
        self.apply(Event::Fetched {
            id: fetch.id,
            chunk: fetch.chunk,
        });
        if self.planner.is_done() {
            self.followed.clear();
        }
    }

    /// Takes that a fetch brought nothing.
    pub(crate) fn fail(&mut self, id: FetchId, failure: Failure) {
        self.flights.remove(&id);
        self.apply(Event::Failed { id, failure });
    }

    /// Tells the planner, and does what it asks for.
    fn apply(&mut self, event: Event) {
        let now = Instant::now();
        let mut actions = VecDeque::from(self.planner.apply(event, now));
        while let Some(action) = actions.pop_front() {
            match action {
                Action::Fetch(fetch) => {
                    if let Some(failure) = self.fly(&fetch) {
                        let id = fetch.id;
                        let event = Event::Failed { id, failure };
                        actions.extend(self.planner.apply(event, now));
                    }
                }
                Action::Cancel { id } => {
                    self.flights.remove(&id);
                }
            }
        }
    }

    /// Starts a fetch, or says why that can't be.
    fn fly(&mut self, fetch: &Fetch) -> Option<Failure> {
        if !self.fits(fetch.chunk) {
            return Some(Failure::Busy { retry_after: None });
        }
        let task = match &fetch.from {
            Source::Origin => tokio::spawn(fly_from_origin(self.flight_of(fetch))),
            Source::Peer(vm) => {
                let Some(entry) = self.peers.get(vm) else {
                    return Some(Failure::Broken);
                };
                let is_same = entry.data_centre == self.around.shared.cfg.data_centre;
                let giver = if is_same { Giver::Same } else { Giver::Other };
                tokio::spawn(fly_from_peer(self.flight_of(fetch), entry.data, giver))
            }
        };
        let flight = Flight {
            chunk: fetch.chunk,
            _task: AbortOnDropHandle::new(task),
        };
        self.flights.insert(fetch.id, flight);
        None
    }

    /// Says whether another copy of `chunk` fits into memory. The first of each does, since the
    /// bundle does.
    fn fits(&self, chunk: ChunkIndex) -> bool {
        let mut copies: BTreeMap<ChunkIndex, u64> = BTreeMap::from([(chunk, 1)]);
        for flight in self.flights.values() {
            *copies.entry(flight.chunk).or_default() += 1;
        }
        let second: u64 = copies
            .iter()
            .map(|(chunk, copies)| (copies - 1) * self.layout.chunk(*chunk).length)
            .sum();
        second <= self.spare
    }

    /// Makes what a fetch works with.
    fn flight_of(&self, fetch: &Fetch) -> FlightPlan<O> {
        FlightPlan {
            around: self.around.clone(),
            layout: Arc::clone(&self.layout),
            generation: self.generation,
            fetch: fetch.clone(),
        }
    }

    /// Follows just the neighbours that the planner wants to hear of.
    fn follow(&mut self) {
        if self.planner.is_done() {
            self.followed.clear();
            return;
        }
        let watched = self.planner.watched();
        let peers = &self.peers;
        self.followed.retain(|vm, followed| {
            watched.contains(vm) && peers.get(vm).is_some_and(|peer| peer.data == followed.addr)
        });
        let new: Vec<(VmId, SocketAddr)> = watched
            .iter()
            .filter(|vm| !self.followed.contains_key(*vm))
            .filter_map(|vm| peers.get(vm).map(|peer| (vm.clone(), peer.data)))
            .collect();
        for (vm, addr) in new {
            let watch = Watch {
                client: self.around.client.clone(),
                vm: vm.clone(),
                addr,
                bundle: self.layout.digest,
                total: self.layout.count(),
                generation: self.generation,
                notes: self.around.notes.clone(),
            };
            let task = AbortOnDropHandle::new(tokio::spawn(watch.run()));
            self.followed.insert(vm, Followed { addr, _task: task });
        }
    }
}

/// What one fetch works with.
#[derive(Debug)]
struct FlightPlan<O> {
    around: Surroundings<O>,
    layout: Arc<Layout>,
    generation: Generation,
    fetch: Fetch,
}

impl<O> FlightPlan<O> {
    /// Tells the driver how the fetch ended.
    async fn end(self, giver: Giver, result: Result<Bytes, Trouble>) {
        let note = Note::Fetched {
            generation: self.generation,
            fetch: self.fetch,
            giver,
            result,
        };
        // The driver is gone if nobody listens; then nobody wants the chunk.
        let _ = self.around.notes.send(note).await;
    }
}

/// Fetches from the origin.
async fn fly_from_origin<O>(plan: FlightPlan<O>)
where
    O: Origin,
{
    let chunk = plan.layout.chunk(plan.fetch.chunk);
    let part = plan.layout.part(chunk);
    let around = &plan.around;
    let result = fetch::from_origin(&around.shared, &around.origin, part, chunk).await;
    plan.end(Giver::Origin, result).await;
}

/// Fetches from the peer at `addr`.
async fn fly_from_peer<O>(plan: FlightPlan<O>, addr: SocketAddr, giver: Giver)
where
    O: Origin,
{
    let chunk = plan.layout.chunk(plan.fetch.chunk);
    let around = &plan.around;
    let result = fetch::from_peer(&around.shared, &around.client, addr, giver, chunk).await;
    plan.end(giver, result).await;
}

/// Starts to check the parts' digests.
fn spawn_verify<O>(
    around: &Surroundings<O>,
    layout: &Arc<Layout>,
    generation: Generation,
) -> AbortOnDropHandle<()> {
    let shared = Arc::clone(&around.shared);
    let layout = Arc::clone(layout);
    let notes = around.notes.clone();
    let known: Vec<Arc<Layout>> = shared.staged().values().cloned().collect();
    AbortOnDropHandle::new(tokio::spawn(async move {
        let result = verify::parts(&shared, &layout, &known).await;
        let _ = notes.send(Note::Verified { generation, result }).await;
    }))
}
