//! Starting and stopping an agent that stages weights.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::routing::get;
use http::StatusCode;
use prometheus::Registry as Prometheus;
use snafu::{ResultExt as _, Snafu};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::sync::{Mutex, watch};
use tokio::task::JoinSet;
use wagtailreel_adapters::HttpClient;
use wagtailreel_core::VmEntry;
use wagtailreel_fleet::{FollowConfig, Registry, Topic, follow};
use wagtailreel_nearby::{CallCounters, Neighbours, Seeds, SharedRegistry, SharedRegistryConfig};
use wagtailreel_serve::{ConnectionCounters, Phase, Routes, Server};
use wagtailreel_settings::StagingAgentSettings;
use wagtailreel_telemetry::{encode_metrics, lines_dropped};

use crate::beliefs::Beliefs;
use crate::loading::Keeper;
use crate::metrics::Metrics;
use crate::origin::ChunkOrigin;
use crate::serve::{Giving, router};
use crate::shelf::Shelf;
use crate::status::{PeerChunks, StatusBoard};
use crate::{StagedEngine, events};

/// Time between two reads of the settings. Entries tell of weights within a tenth of a second after
/// they read of them; an agent that is woken for each configuration takes 100 KB of each over its
/// region's link.
const SETTINGS_PACE: Duration = Duration::from_millis(8000);

/// How long a read may take. Agents that all start at once share a link.
const READ_TIMEOUT: Duration = Duration::from_millis(2500);

/// How old a list of upstreams or a configuration may be that an entry gives. Agents that come or go
/// are noticed by asking them.
const OLDEST_LIST: Duration = Duration::from_secs(4);

/// Longest pause after failed reads.
const LONGEST_PAUSE: Duration = Duration::from_millis(400);

/// How long chunks that are being given may take at the end. One of 49 KB takes 42 ms on a link of
/// 9.4 Mbit/s.
const LAST_CHUNKS: Duration = Duration::from_secs(1);

/// An agent can't start.
#[derive(Debug, Snafu)]
pub enum StageError {
    /// The metrics can't be registered.
    #[snafu(display("the metrics can't be registered ({source}): report this as a bug"))]
    Metrics {
        /// What the library says.
        source: prometheus::Error,
    },
    /// The address can't be used.
    #[snafu(display("listen: can't use {addr} ({source}): choose a free address"))]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// What the system says.
        source: std::io::Error,
    },
}

/// What all tasks of an agent share.
#[derive(Debug)]
pub(crate) struct Surroundings<R, E, O> {
    pub(crate) settings: StagingAgentSettings,
    pub(crate) registry: SharedRegistry<R>,
    pub(crate) engine: E,
    pub(crate) origin: O,
    pub(crate) client: HttpClient,
    pub(crate) metrics: Metrics,
    pub(crate) beliefs: Arc<Beliefs>,
    pub(crate) shelf: Arc<Shelf>,
    pub(crate) board: Arc<StatusBoard>,
    pub(crate) peer_chunks: Mutex<UnboundedReceiver<PeerChunks>>,
    /// The other agents of the service, as of the last read of the registry.
    pub(crate) peers: watch::Sender<Vec<VmEntry>>,
}

/// A running agent.
#[derive(Debug)]
pub struct StagingAgent {
    vm: String,
    tasks: JoinSet<()>,
    server: Server,
}

impl StagingAgent {
    /// Starts an agent on the current runtime.
    ///
    /// # Errors
    ///
    /// Returns a [`StageError`] if its address can't be used.
    pub async fn start<R, E, O>(
        settings: StagingAgentSettings,
        registry: R,
        engine: E,
        origin: O,
    ) -> Result<Self, StageError>
    where
        R: Registry,
        E: StagedEngine,
        O: ChunkOrigin,
    {
        let addr = settings.listen;
        let listener = TcpListener::bind(addr)
            .await
            .context(ListenSnafu { addr })?;
        let socket = UdpSocket::bind(addr).await.context(ListenSnafu { addr })?;
        let vm = settings.vm.clone();
        let prometheus = Prometheus::new();
        let metrics = Metrics::register(&prometheus).context(MetricsSnafu)?;
        let calls = CallCounters::register(&prometheus).context(MetricsSnafu)?;
        let counters = ConnectionCounters::register(&prometheus).context(MetricsSnafu)?;
        let (tx, rx) = unbounded_channel();
        let shelf = Arc::new(Shelf::default());
        let neighbours = Arc::new(Neighbours::for_non_reader());
        let registry = SharedRegistry::new(
            registry,
            SharedRegistryConfig::for_non_reader(OLDEST_LIST),
            Arc::clone(&neighbours),
        )
        .with_seeds(Seeds::new(addr, &settings.seeds))
        .with_counters(calls);
        let board = Arc::new(StatusBoard::new(
            Arc::clone(&shelf),
            socket,
            neighbours,
            settings.weights,
        ));
        let beliefs = Arc::new(Beliefs::new(settings.service.clone()));
        let giving = Giving::new(Arc::clone(&shelf), engine.clone(), settings.link);
        let cx = Arc::new(Surroundings {
            settings,
            registry: registry.clone(),
            engine,
            origin,
            client: HttpClient::new(),
            metrics: metrics.clone(),
            beliefs: Arc::clone(&beliefs),
            shelf,
            board: Arc::clone(&board),
            peer_chunks: Mutex::new(rx),
            peers: watch::Sender::new(Vec::new()),
        });
        let mut tasks = JoinSet::new();
        tasks.spawn(board.run(tx, Arc::clone(&beliefs)));
        tasks.spawn(follow(registry, beliefs, settings_follow()));
        tasks.spawn(Keeper::new(cx).run());
        let routes = router(Arc::new(giving)).merge(metrics_route(prometheus, metrics));
        let server = Server::start("listen", listener, Routes::new(routes), counters);
        events::STARTED.emit(&[("vm", &vm), ("listen", &addr.to_string())]);
        Ok(Self { vm, tasks, server })
    }

    /// Ends the agent once the chunks are given that other agents have asked for.
    pub async fn shutdown(mut self) {
        self.tasks.abort_all();
        self.server.enter(Phase::Ending);
        // Whoever has not got a chunk by then asks another agent.
        let _ = tokio::time::timeout(LAST_CHUNKS, self.server.ended()).await;
        events::STOPPED.emit(&[("vm", &self.vm)]);
    }
}

/// Returns the route of the metrics, on the listener for other agents.
fn metrics_route(registry: Prometheus, metrics: Metrics) -> Router {
    let handler = move || async move {
        let dropped = i64::try_from(lines_dropped()).unwrap_or(i64::MAX);
        metrics.lines_dropped.set(dropped);
        match encode_metrics(&registry) {
            Ok(text) => (StatusCode::OK, text),
            Err(e) => (
                StatusCode::INTERNAL_SERVER_ERROR,
                e.to_string().into_bytes(),
            ),
        }
    };
    Router::new().route("/metrics", get(handler))
}

fn settings_follow() -> FollowConfig {
    FollowConfig {
        topic: Topic::Settings,
        wait: Duration::ZERO,
        read_interval: SETTINGS_PACE,
        relayed_read_interval: SETTINGS_PACE,
        timeout: READ_TIMEOUT,
        max_backoff: LONGEST_PAUSE,
        lapse_hold: Duration::ZERO,
        lapse_after: Duration::ZERO,
    }
}
