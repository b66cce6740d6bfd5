//! Fetches the chunks of one version into the chunk store.

mod holders;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::MissedTickBehavior;
use wagtailreel_adapters::HttpClient;
use wagtailreel_core::{ChunkIndex, SpreadGoal, SpreadSettings, VmEntry, VmId, rank_score};
use wagtailreel_fleet::Registry;
use wagtailreel_spread::{
    Action, ChunkSet, Event, Failure, Fetch, FetchId, Planner, PlannerConfig, Site, Source, Tuning,
};

use crate::correction::{RejectedChunks, correct};
use crate::manifest::ChunkManifest;
use crate::origin::ChunkOrigin;
use crate::process::AgentContext;
use crate::status::PeerChunks;
use crate::{StagedEngine, events, origin_fetch, peers};

/// Time between two polls of other agents for their chunks. A chunk takes 42 ms over a link of
/// 9.4 Mbit/s.
const PEER_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time between two checks by the planner for slow fetches.
const PLANNER_TICK: Duration = Duration::from_millis(25);

/// Time between two reads of the registry for added and removed agents.
const PEER_LIST_INTERVAL: Duration = Duration::from_millis(1500);

/// The origin to fetch chunks from, and its speed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OriginSource {
    /// Address of the origin; `None` if unknown.
    pub(crate) origin: Option<SocketAddr>,
    /// How long the origin's link takes to transfer one chunk, if known.
    pub(crate) draw_time: Option<Duration>,
}

/// Returns the planner's tuning for chunks that take tens of milliseconds to transfer.
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

/// A fetch of one chunk that has ended.
struct FinishedFetch {
    fetch: Fetch,
    result: Result<Bytes, Failure>,
    took: Duration,
}

/// Fetches all chunks of `manifest` into the chunk store; returns once all are stored.
pub(crate) async fn fetch_version<R, E, O>(
    cx: Arc<AgentContext<R, E, O>>,
    manifest: Arc<ChunkManifest>,
    from: OriginSource,
    restores_staged: bool,
) where
    R: Registry,
    E: StagedEngine,
    O: ChunkOrigin,
{
    cx.chunk_store.add_version(&manifest);
    if restores_staged {
        restore_staged(&cx, &manifest).await;
    }
    let mut manifest = manifest;
    while let Some(corrected) = fetch_chunks(&cx, &manifest, from).await {
        cx.chunk_store.replace_manifest(&corrected);
        manifest = corrected;
    }
}

/// Fetches the chunks of `manifest` that are not stored. Returns the corrected manifest if a digest in it is wrong.
async fn fetch_chunks<R, E, O>(
    cx: &Arc<AgentContext<R, E, O>>,
    manifest: &Arc<ChunkManifest>,
    from: OriginSource,
) -> Option<Arc<ChunkManifest>>
where
    R: Registry,
    E: StagedEngine,
    O: ChunkOrigin,
{
    let have = cx.chunk_store.have(&manifest.model, manifest.version);
    let have = have.unwrap_or_else(|| ChunkSet::new(manifest.count()));
    events::FETCH_BEGUN.emit(&[
        ("model", &manifest.model),
        ("version", &manifest.version.to_string()),
        ("have", &have.count().to_string()),
        ("chunks", &manifest.count().to_string()),
    ]);
    let mut fetcher = ChunkFetcher::new(Arc::clone(cx), Arc::clone(manifest), from, have);
    fetcher.run().await
}

/// Stores the chunks that the engine has staged and that match their digests.
async fn restore_staged<R, E, O>(cx: &AgentContext<R, E, O>, manifest: &ChunkManifest)
where
    E: StagedEngine,
{
    // Without a list of the staged chunks there is nothing to restore.
    let Ok(staged) = cx.engine.staged(&manifest.model).await else {
        return;
    };
    for chunk in staged {
        if let Ok(Some(data)) = cx.engine.read_staged(&manifest.model, chunk).await {
            cx.chunk_store.put(manifest, chunk, data);
        }
    }
}

/// Runs the fetches that a planner decides.
struct ChunkFetcher<R, E, O> {
    cx: Arc<AgentContext<R, E, O>>,
    manifest: Arc<ChunkManifest>,
    origin: Option<SocketAddr>,
    planner: Planner,
    peers: BTreeMap<VmId, SocketAddr>,
    last_answers: BTreeMap<VmId, Instant>,
    fetches: JoinSet<FinishedFetch>,
    /// The running read of the registry, if any.
    list_reads: JoinSet<Option<Vec<VmEntry>>>,
    running: BTreeMap<FetchId, AbortHandle>,
    rejected: RejectedChunks,
    /// The running correction of the manifest, if any.
    corrections: JoinSet<Option<Arc<ChunkManifest>>>,
    client: HttpClient,
    started: Instant,
    from_origin: u32,
    from_remote: u32,
    poll_count: u32,
}

impl<R, E, O> ChunkFetcher<R, E, O>
where
    R: Registry,
    E: StagedEngine,
    O: ChunkOrigin,
{
    fn new(
        cx: Arc<AgentContext<R, E, O>>,
        manifest: Arc<ChunkManifest>,
        from: OriginSource,
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
                    weigh: SpreadGoal::OriginBytes,
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
            last_answers: BTreeMap::new(),
            fetches: JoinSet::new(),
            list_reads: JoinSet::new(),
            running: BTreeMap::new(),
            rejected: RejectedChunks::default(),
            corrections: JoinSet::new(),
            client: HttpClient::new(),
            started: now,
            from_origin: 0,
            from_remote: 0,
            poll_count: 0,
        }
    }

    /// Returns once all chunks are stored, or with the corrected manifest if a digest is wrong.
    async fn run(&mut self) -> Option<Arc<ChunkManifest>> {
        let cx = Arc::clone(&self.cx);
        let mut chunks = cx.peer_chunks.lock().await;
        // Reports from before this fetch are about another version or out of date.
        while chunks.try_recv().is_ok() {}
        let mut polls = tokio::time::interval(PEER_POLL_INTERVAL);
        let mut ticks = tokio::time::interval(PLANNER_TICK);
        let mut list_ticks = tokio::time::interval(PEER_LIST_INTERVAL);
        for interval in [&mut polls, &mut ticks, &mut list_ticks] {
            interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        }
        while !self.planner.is_done() {
            tokio::select! {
                _ = list_ticks.tick() => self.read_peers(),
                Some(read) = self.list_reads.join_next() => {
                    // An aborted read has no result.
                    if let Ok(Some(peers)) = read {
                        self.apply_peers(peers);
                    }
                }
                _ = polls.tick() => self.poll_peers(),
                _ = ticks.tick() => self.apply(Event::Tick),
                Some(report) = recv(&mut chunks) => self.apply_held_chunks(&report),
                Some(corrected) = self.corrections.join_next() => {
                    if let Ok(Some(corrected)) = corrected {
                        return Some(corrected);
                    }
                }
                Some(finished) = self.fetches.join_next() => {
                    // An aborted fetch has no result.
                    if let Ok(finished) = finished {
                        self.finish_fetch(finished);
                    }
                }
            }
        }
        events::FETCH_DONE.emit(&[
            ("model", &self.manifest.model),
            ("version", &self.manifest.version.to_string()),
            ("from_origin", &self.from_origin.to_string()),
            ("from_far", &self.from_remote.to_string()),
            ("peers", &self.peers.len().to_string()),
            ("ms", &self.started.elapsed().as_millis().to_string()),
        ]);
        None
    }

    fn finish_fetch(&mut self, finished: FinishedFetch) {
        let FinishedFetch {
            fetch,
            result,
            took,
        } = finished;
        origin_fetch::log(&self.manifest, &fetch, &result, took);
        self.running.remove(&fetch.id);
        let event = match result {
            Ok(data) => self.store_chunk(&fetch, data),
            Err(failure) => Event::Failed {
                id: fetch.id,
                failure,
            },
        };
        self.apply(event);
    }

    /// Stores a chunk if it matches its digest; returns the event for the planner.
    fn store_chunk(&mut self, fetch: &Fetch, data: Bytes) -> Event {
        if self
            .cx
            .chunk_store
            .put(&self.manifest, fetch.chunk, data.clone())
        {
            let is_remote = self.is_remote(&fetch.from);
            let from = match fetch.from {
                Source::Origin => "origin",
                Source::Peer(_) if is_remote => "far",
                Source::Peer(_) => "near",
            };
            self.cx.metrics.chunks.with_label_values(&[from]).inc();
            self.from_origin += u32::from(fetch.from == Source::Origin);
            self.from_remote += u32::from(is_remote);
            return Event::Fetched {
                id: fetch.id,
                chunk: fetch.chunk,
            };
        }
        events::CHUNK_CORRUPT.emit(&[
            ("giver", &fetch.from.to_string()),
            ("chunk", &fetch.chunk.to_string()),
        ]);
        self.reject(fetch.chunk, &data);
        Event::Failed {
            id: fetch.id,
            failure: Failure::Corrupt,
        }
    }

    /// Records bytes that do not match their digest, and has the digest checked if they have come before.
    fn reject(&mut self, chunk: ChunkIndex, data: &Bytes) {
        let digest = self.manifest.kind.of(data);
        if !self.rejected.record(chunk, digest) || !self.corrections.is_empty() {
            return;
        }
        let cx = Arc::clone(&self.cx);
        let manifest = Arc::clone(&self.manifest);
        let agents = self.peers.values().copied().collect();
        let correction = correct(cx, manifest, chunk, digest, agents, self.origin);
        self.corrections.spawn(correction);
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
                    chunk.map_err(|error| origin_fetch::failure(&error))
                }
            };
            let took = started.elapsed();
            FinishedFetch {
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
