//! Starts and stops a staging agent.

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

use crate::chunk_store::ChunkStore;
use crate::known_settings::KnownSettings;
use crate::loading::WeightsLoader;
use crate::metrics::Metrics;
use crate::origin::ChunkOrigin;
use crate::serve::{ChunkServer, router};
use crate::status::{PeerChunks, StatusBoard};
use crate::{StagedEngine, events};

/// Time between two reads of the settings. Entries report a naming within 100 ms after they read it, so
/// agents need not follow the settings closely. An agent that was notified of each configuration would
/// transfer 100 KB for each over its region's link.
const SETTINGS_READ_INTERVAL: Duration = Duration::from_millis(8000);

/// How long a read may take. Agents that start at the same time share a link.
const READ_TIMEOUT: Duration = Duration::from_millis(2500);

/// Maximum age of a list of upstreams or a configuration read from an entry. Added and removed agents are
/// detected by polling them.
const MAX_LIST_AGE: Duration = Duration::from_secs(4);

/// Longest backoff after failed reads.
const MAX_READ_BACKOFF: Duration = Duration::from_millis(400);

/// How long a shutdown waits for chunks that are being served. A chunk of 49 KB takes 42 ms on a link of
/// 9.4 Mbit/s.
const CHUNK_DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// An error that prevents an agent from starting.
#[derive(Debug, Snafu)]
pub enum StageError {
    /// The metrics cannot be registered.
    #[snafu(display("the metrics cannot be registered ({source}): report this as a bug"))]
    Metrics {
        /// Error of the metrics library.
        source: prometheus::Error,
    },
    /// The address cannot be bound.
    #[snafu(display("listen: cannot bind {addr} ({source}): choose a free address"))]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// State that all tasks of an agent share.
#[derive(Debug)]
pub(crate) struct AgentContext<R, E, O> {
    pub(crate) settings: StagingAgentSettings,
    pub(crate) registry: SharedRegistry<R>,
    pub(crate) engine: E,
    pub(crate) origin: O,
    pub(crate) client: HttpClient,
    pub(crate) metrics: Metrics,
    pub(crate) known_settings: Arc<KnownSettings>,
    pub(crate) chunk_store: Arc<ChunkStore>,
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
    /// Returns a [`StageError`] if the address cannot be bound or the metrics cannot be registered.
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
        let chunk_store = Arc::new(ChunkStore::default());
        let neighbours = Arc::new(Neighbours::for_non_reader());
        let registry = SharedRegistry::new(
            registry,
            SharedRegistryConfig::for_non_reader(MAX_LIST_AGE),
            Arc::clone(&neighbours),
        )
        .with_seeds(Seeds::new(addr, &settings.seeds))
        .with_counters(calls);
        let board = Arc::new(StatusBoard::new(
            Arc::clone(&chunk_store),
            socket,
            neighbours,
            settings.weights,
        ));
        let known_settings = Arc::new(KnownSettings::new(settings.service.clone()));
        let chunk_server =
            ChunkServer::new(Arc::clone(&chunk_store), engine.clone(), settings.link);
        let cx = Arc::new(AgentContext {
            settings,
            registry: registry.clone(),
            engine,
            origin,
            client: HttpClient::new(),
            metrics: metrics.clone(),
            known_settings: Arc::clone(&known_settings),
            chunk_store,
            board: Arc::clone(&board),
            peer_chunks: Mutex::new(rx),
            peers: watch::Sender::new(Vec::new()),
        });
        let mut tasks = JoinSet::new();
        tasks.spawn(board.run(tx, Arc::clone(&known_settings)));
        tasks.spawn(follow(registry, known_settings, settings_follow()));
        tasks.spawn(WeightsLoader::new(cx).run());
        let routes = router(Arc::new(chunk_server)).merge(metrics_route(prometheus, metrics));
        let server = Server::start("listen", listener, Routes::new(routes), counters);
        events::STARTED.emit(&[("vm", &vm), ("listen", &addr.to_string())]);
        Ok(Self { vm, tasks, server })
    }

    /// Stops the agent after the chunks that other agents have requested are sent.
    pub async fn shutdown(mut self) {
        self.tasks.abort_all();
        self.server.enter(Phase::Ending);
        // An agent that has not received its chunk by then requests it elsewhere.
        let _ = tokio::time::timeout(CHUNK_DRAIN_TIMEOUT, self.server.ended()).await;
        events::STOPPED.emit(&[("vm", &self.vm)]);
    }
}

/// Returns the route that serves the metrics on the listener for other agents.
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
        read_interval: SETTINGS_READ_INTERVAL,
        relayed_read_interval: SETTINGS_READ_INTERVAL,
        timeout: READ_TIMEOUT,
        max_backoff: MAX_READ_BACKOFF,
        lapse_hold: Duration::ZERO,
        lapse_after: Duration::ZERO,
    }
}
