//! Brings the chunks of one version into the shelf.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::MissedTickBehavior;
use wagtailreel_adapters::HttpClient;
use wagtailreel_core::{SpreadSettings, VmEntry, VmId, Weigh, rank_score};
use wagtailreel_fleet::Registry;
use wagtailreel_spread::{
    Action, ChunkSet, Event, Failure, Fetch, FetchId, Planner, PlannerConfig, Site, Source, Tuning,
};

use crate::listing::list_peers;
use crate::manifest::ChunkManifest;
use crate::origin::ChunkOrigin;
use crate::process::Surroundings;
use crate::status::{ALL_CHUNKS, PeerChunks};
use crate::{StagedEngine, draws, events, peers};

/// Time between two questions to neighbours about their chunks. A chunk takes 42 ms over a link of
/// 9.4 Mbit/s.
const ASK_EVERY: Duration = Duration::from_millis(50);

/// How many questions to neighbours of the own data centre there are for each one beyond, whose
/// links are narrow.
const FAR_EVERY: u32 = 3;

/// Time between two looks at what takes long.
const TICK: Duration = Duration::from_millis(25);

/// A neighbour that was silent for so long counts as lost, until it answers.
const SILENT: Duration = Duration::from_millis(500);

/// Time between two reads of the registry for agents that came or went.
const PEERS_EVERY: Duration = Duration::from_millis(1500);

/// Where chunks are drawn from, and how fast.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FromOrigin {
    /// The origin; none if none is known.
    pub(crate) origin: Option<SocketAddr>,
    /// How long its link takes for one chunk, if that is known.
    pub(crate) draw_time: Option<Duration>,
}

/// Numbers of the planner for chunks that take tens of milliseconds.
fn tuning(draw_time: Option<Duration>) -> Tuning {
    let tuning = Tuning {
        learn_timeout: Duration::from_millis(120),
        window: 24,
        takeover_delay: Duration::from_millis(500),
        lost_after: Duration::from_millis(500),
        initial_fetch_time: Duration::from_millis(150),
        min_timeout: Duration::from_millis(250),
        peer_backoff: Duration::from_millis(100),
        cross_delay: Some(Duration::from_millis(900)),
        origin_backoff: Duration::from_millis(100),
        max_origin_backoff: Duration::from_millis(800),
        ..Tuning::default()
    };
    tuning.with_draw_time(draw_time)
}

/// One fetch's end.
struct Ended {
    fetch: Fetch,
    result: Result<Bytes, Failure>,
    took: Duration,
}

/// Brings all chunks of `manifest` into the shelf; ends only once they are there.
pub(crate) async fn bring<R, E, O>(
    cx: Arc<Surroundings<R, E, O>>,
    manifest: Arc<ChunkManifest>,
    from: FromOrigin,
    read_stage: bool,
) where
    R: Registry,
    E: StagedEngine,
    O: ChunkOrigin,
{
    cx.shelf.open(&manifest);
    if read_stage {
        read_own_stage(&cx, &manifest).await;
    }
    let have = cx.shelf.have(&manifest.model, manifest.version);
    let have = have.unwrap_or_else(|| ChunkSet::new(manifest.count()));
    events::FETCH_BEGUN.emit(&[
        ("model", &manifest.model),
        ("version", &manifest.version.to_string()),
        ("have", &have.count().to_string()),
        ("chunks", &manifest.count().to_string()),
    ]);
    let mut bringing = Bringing::new(cx, manifest, from, have);
    bringing.run().await;
}

/// Takes the chunks that the engine has staged and that are what they should be.
async fn read_own_stage<R, E, O>(cx: &Surroundings<R, E, O>, manifest: &ChunkManifest)
where
    E: StagedEngine,
{
    // An engine that can't say what it has staged has nothing that is of use.
    let Ok(staged) = cx.engine.staged(&manifest.model).await else {
        return;
    };
    for chunk in staged {
        if let Ok(Some(data)) = cx.engine.read_staged(&manifest.model, chunk).await {
            cx.shelf.put(manifest, chunk, data);
        }
    }
}

/// The shell round a planner.
struct Bringing<R, E, O> {
    cx: Arc<Surroundings<R, E, O>>,
    manifest: Arc<ChunkManifest>,
    origin: Option<SocketAddr>,
    planner: Planner,
    peers: BTreeMap<VmId, SocketAddr>,
    heard: BTreeMap<VmId, Instant>,
    fetches: JoinSet<Ended>,
    /// The read of the registry that is under way.
    lists: JoinSet<Option<Vec<VmEntry>>>,
    running: BTreeMap<FetchId, AbortHandle>,
    client: HttpClient,
    started: Instant,
    from_origin: u32,
    from_far: u32,
    asks: u32,
}

impl<R, E, O> Bringing<R, E, O>
where
    R: Registry,
    E: StagedEngine,
    O: ChunkOrigin,
{
    fn new(
        cx: Arc<Surroundings<R, E, O>>,
        manifest: Arc<ChunkManifest>,
        from: FromOrigin,
        have: ChunkSet,
    ) -> Self {
        let now = Instant::now();
        let own = cx.settings.listen.ip().to_string();
        let data_centre = cx.settings.data_centre.clone();
        let region = cx.settings.regions.get(&data_centre).cloned();
        let planner = Planner::new(
            PlannerConfig {
                own: Site {
                    vm: own.clone(),
                    data_centre,
                    region: region.unwrap_or_default(),
                },
                chunks: manifest.digests.clone(),
                have,
                settings: SpreadSettings {
                    weigh: Weigh::OriginBytes,
                    ..SpreadSettings::default()
                },
                seed: rank_score(&manifest.version.to_be_bytes(), &own),
            },
            now,
        )
        .with_tuning(tuning(from.draw_time));
        Self {
            cx,
            manifest,
            origin: from.origin,
            planner,
            peers: BTreeMap::new(),
            heard: BTreeMap::new(),
            fetches: JoinSet::new(),
            lists: JoinSet::new(),
            running: BTreeMap::new(),
            client: HttpClient::new(),
            started: now,
            from_origin: 0,
            from_far: 0,
            asks: 0,
        }
    }

    async fn run(&mut self) {
        let cx = Arc::clone(&self.cx);
        let mut chunks = cx.peer_chunks.lock().await;
        // What was said before this fetch began is of another version or old.
        while chunks.try_recv().is_ok() {}
        let mut asks = tokio::time::interval(ASK_EVERY);
        let mut ticks = tokio::time::interval(TICK);
        let mut lists = tokio::time::interval(PEERS_EVERY);
        for interval in [&mut asks, &mut ticks, &mut lists] {
            interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        }
        while !self.planner.is_done() {
            tokio::select! {
                _ = lists.tick() => self.read_peers(),
                Some(read) = self.lists.join_next() => {
                    // A read that was dropped has nothing to tell.
                    if let Ok(Some(peers)) = read {
                        self.take_peers(peers);
                    }
                }
                _ = asks.tick() => self.ask(),
                _ = ticks.tick() => self.apply(Event::Tick),
                Some(said) = recv(&mut chunks) => self.take_chunks(&said),
                Some(ended) = self.fetches.join_next() => {
                    // A fetch that was dropped has nothing to tell.
                    if let Ok(ended) = ended {
                        self.take_end(ended);
                    }
                }
            }
        }
        events::FETCH_DONE.emit(&[
            ("model", &self.manifest.model),
            ("version", &self.manifest.version.to_string()),
            ("from_origin", &self.from_origin.to_string()),
            ("from_far", &self.from_far.to_string()),
            ("peers", &self.peers.len().to_string()),
            ("ms", &self.started.elapsed().as_millis().to_string()),
        ]);
    }

    /// Begins to read the other agents anew, unless that is under way.
    ///
    /// Chunks come and go meanwhile: while a registry was slow to answer, a fetch that waited for each
    /// read stood still for 0.6 s of each 1.5 s.
    fn read_peers(&mut self) {
        if self.lists.is_empty() {
            let cx = Arc::clone(&self.cx);
            self.lists.spawn(async move { list_peers(&cx).await });
        }
    }

    /// Takes the other agents; without an answer those of before stay.
    fn take_peers(&mut self, peers: Vec<VmEntry>) {
        self.peers = peers.iter().map(|it| (it.vm.clone(), it.data)).collect();
        self.apply(Event::Peers(peers));
        self.ask();
    }

    /// Asks the neighbours what they have, and takes note of the silent ones.
    fn ask(&mut self) {
        let now = Instant::now();
        self.asks = self.asks.wrapping_add(1);
        let is_far_turn = self.asks.is_multiple_of(FAR_EVERY);
        let watched: Vec<VmId> = self.planner.watched().iter().cloned().collect();
        for vm in watched {
            if !is_far_turn && self.is_far(&Source::Peer(vm.clone())) {
                continue;
            }
            let Some(addr) = self.peers.get(&vm) else {
                continue;
            };
            let (model, version) = (&self.manifest.model, self.manifest.version);
            self.cx.board.ask(*addr, model, version);
            let heard = *self.heard.entry(vm.clone()).or_insert(now);
            if now.saturating_duration_since(heard) > SILENT {
                self.apply(Event::Lost { vm });
            }
        }
    }

    fn take_chunks(&mut self, said: &PeerChunks) {
        let vm = said.ip.to_string();
        self.heard.insert(vm.clone(), Instant::now());
        let is_ours =
            said.held.model == self.manifest.model && said.held.version == self.manifest.version;
        if !is_ours {
            return;
        }
        let count = self.manifest.count();
        let have = if said.held.chunks == ALL_CHUNKS {
            let mut all = ChunkSet::new(count);
            for chunk in 0..count {
                all.insert(chunk);
            }
            Some(all)
        } else {
            ChunkSet::from_hex(&said.held.chunks, count)
        };
        if let Some(have) = have {
            self.apply(Event::Have { vm, have });
        }
    }

    fn take_end(&mut self, ended: Ended) {
        let Ended {
            fetch,
            result,
            took,
        } = ended;
        draws::note(&self.manifest, &fetch, &result, took);
        self.running.remove(&fetch.id);
        let event = match result {
            Ok(data) => self.take_bytes(&fetch, data),
            Err(failure) => Event::Failed {
                id: fetch.id,
                failure,
            },
        };
        self.apply(event);
    }

    /// Says whether a giver stands in another data centre.
    fn is_far(&self, from: &Source) -> bool {
        let Source::Peer(vm) = from else {
            return false;
        };
        let peers = self.cx.peers.borrow();
        let peer = peers.iter().find(|peer| peer.vm == *vm);
        peer.is_some_and(|peer| peer.data_centre != self.cx.settings.data_centre)
    }

    /// Keeps a chunk that is the right one.
    fn take_bytes(&mut self, fetch: &Fetch, data: Bytes) -> Event {
        if self.cx.shelf.put(&self.manifest, fetch.chunk, data) {
            let is_far = self.is_far(&fetch.from);
            let from = match fetch.from {
                Source::Origin => "origin",
                Source::Peer(_) if is_far => "far",
                Source::Peer(_) => "near",
            };
            self.cx.metrics.chunks.with_label_values(&[from]).inc();
            self.from_origin += u32::from(fetch.from == Source::Origin);
            self.from_far += u32::from(is_far);
            return Event::Fetched {
                id: fetch.id,
                chunk: fetch.chunk,
            };
        }
        events::CHUNK_CORRUPT.emit(&[
            ("giver", &fetch.from.to_string()),
            ("chunk", &fetch.chunk.to_string()),
        ]);
        Event::Failed {
            id: fetch.id,
            failure: Failure::Corrupt,
        }
    }

    fn apply(&mut self, event: Event) {
        for action in self.planner.apply(event, Instant::now()) {
            match action {
                Action::Fetch(fetch) => self.start(fetch),
                Action::Cancel { id } => {
                    if let Some(running) = self.running.remove(&id) {
                        running.abort();
                    }
                }
            }
        }
    }

    fn start(&mut self, fetch: Fetch) {
        let id = fetch.id;
        let model = self.manifest.model.clone();
        let version = self.manifest.version;
        let client = self.client.clone();
        let source = self.cx.origin.clone();
        let peer = match &fetch.from {
            Source::Origin => self.origin,
            Source::Peer(vm) => self.peers.get(vm).copied(),
        };
        let started = Instant::now();
        let running = self.fetches.spawn(async move {
            let result = match (&fetch.from, peer) {
                (_, None) => Err(Failure::Absent),
                (Source::Peer(_), Some(peer)) => {
                    peers::chunk(&client, peer, &model, version, fetch.chunk).await
                }
                (Source::Origin, Some(origin)) => {
                    let chunk = source.chunk(origin, &model, version, fetch.chunk).await;
                    chunk.map_err(|trouble| draws::failure(&trouble))
                }
            };
            let took = started.elapsed();
            Ended {
                fetch,
                result,
                took,
            }
        });
        self.running.insert(id, running);
    }
}

async fn recv(chunks: &mut UnboundedReceiver<PeerChunks>) -> Option<PeerChunks> {
    chunks.recv().await
}
