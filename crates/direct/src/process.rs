//! Starting and stopping an entry.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;
use std::time::{Duration, Instant};

use prometheus::Registry as Prometheus;
use snafu::{ResultExt as _, Snafu};
use tokio::net::{TcpListener, UdpSocket};
use tokio::task::JoinSet;
use tokio::time::timeout_at;
use tokio_util::sync::CancellationToken;
use wagtailreel_adapters::bind;
use wagtailreel_fleet::{Registry, follow};
use wagtailreel_nearby::{
    CallCounters, Mirror, Neighbours, Seeds, SharedRegistry, SharedRegistryConfig,
};
use wagtailreel_route::direct::{NamingBounds, PromptCacheConfig};
use wagtailreel_serve::{ConnectionCounters, MAX_IDLE, Phase, Routes, Server};
use wagtailreel_settings::DirectEntrySettings;
use wagtailreel_telemetry::Event;

use crate::agents::Agents;
use crate::dialect::Dialect;
use crate::following::{follow_settings, follow_upstreams};
use crate::front::CallerHandler;
use crate::held::Held;
use crate::metrics::Metrics;
use crate::quarantine_sync::QuarantineSync;
use crate::remote::{self, RemoteLoad};
use crate::shared::Shared;
use crate::view::{Bounds, RestorationMetrics, View};
use crate::{events, load, status_page};

/// How long the entry accepts all callers after a signal to shut down. The balancer needs two readiness
/// checks, a second apart, to notice.
const LAME_DUCK_TIME: Duration = Duration::from_millis(2600);

/// Time before the end of the grace period at which the listener is closed, so that requests on the last
/// accepted connections are still answered or refused.
const LISTENER_CLOSE_MARGIN: Duration = Duration::from_millis(500);

/// Time before the end of the grace period at which idle connections are closed, also those that were
/// promised a longer keep-alive time.
const IDLE_CLOSE_MARGIN: Duration = Duration::from_millis(300);

/// Number of turns of the runtime after all else is done, before the process ends. An entry that was
/// suspended as its grace period ended uses them to read and refuse the requests that arrived meanwhile.
const FINAL_TURNS: u32 = 8;

/// Minimum length of one such turn.
const FINAL_TURN_TIME: Duration = Duration::from_millis(20);

/// Maximum time after the grace period that these turns may take; the process is killed well after it.
const MAX_GRACE_OVERRUN: Duration = Duration::from_millis(300);

/// Interval at which idle connections and crash reports are pruned.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of ports chosen by the system that are tried.
const MAX_PORT_TRIES: u32 = 8;

/// Reasons why an entry can't start.
#[derive(Debug, Snafu)]
pub enum DirectError {
    /// An address can't be used.
    #[snafu(display("{setting}: can't listen on {addr} ({source}): choose a free address"))]
    Listen {
        /// The address that can't be used.
        addr: SocketAddr,
        /// The setting that names it.
        setting: &'static str,
        /// The error of the system.
        source: std::io::Error,
    },
    /// The metrics can't be registered.
    #[snafu(display("the metrics can't be registered ({source}): report this as a bug"))]
    Metrics {
        /// The error of the library.
        source: prometheus::Error,
    },
}

/// A running entry that sends requests directly to upstreams.
#[derive(Debug)]
pub struct DirectEntry<D> {
    cx: Arc<Shared<D>>,
    callers: SocketAddr,
    status: SocketAddr,
    neighbours_addr: SocketAddr,
    tasks: JoinSet<()>,
    caller_server: Server,
    /// The servers for neighbours, and for readiness and metrics.
    other_servers: [Server; 2],
}

impl<D> DirectEntry<D>
where
    D: Dialect,
{
    /// Starts an entry on the current runtime. It is ready once it has a configuration.
    ///
    /// # Errors
    ///
    /// Returns a [`DirectError`] if an address can't be used.
    pub async fn start<R>(
        settings: DirectEntrySettings,
        registry: R,
        dialect: D,
    ) -> Result<Self, DirectError>
    where
        R: Registry,
    {
        let (callers, callers_addr) = listen(settings.listen.callers, "listen.callers").await?;
        let (status, status_addr) = listen(settings.listen.status, "listen.status").await?;
        let agents = settings.listen.agents;
        let (socket, neighbours_listener, own_addr) = listen_for_agents(agents).await?;
        let prometheus = Prometheus::new();
        let metrics = Metrics::register(&prometheus).context(MetricsSnafu)?;
        let calls = CallCounters::register(&prometheus).context(MetricsSnafu)?;
        let counters = ConnectionCounters::register(&prometheus).context(MetricsSnafu)?;
        let restorations = RestorationMetrics::register(&prometheus).context(MetricsSnafu)?;
        let bounds = Bounds {
            weights: NamingBounds {
                begin: settings.bounds.weights,
                last_begin: settings.bounds.weights_last,
                unknown: settings.bounds.weights_at_start,
            },
            retry_ratio: settings.bounds.retry_ratio,
        };
        let regions = settings.regions.clone();
        let home = settings.data_centre.clone();
        let prompt_cache = settings.prompt_cache.map(|it| PromptCacheConfig {
            retention: it.retention,
            max_prefixes: it.prefixes,
        });
        let view = View::new(home.clone(), regions, bounds)
            .with_seeds(settings.seeds.clone())
            .with_prompt_cache(prompt_cache)
            .with_restoration_metrics(restorations);
        let view = Arc::new(view);
        let agent_port = settings.agent_port;
        let read_interval = settings.bounds.upstreams_pace;
        let lapse_after = settings.bounds.lapse_after;
        let agents = Agents::new(socket, own_addr, agent_port, &settings.seeds);
        let quarantine = Arc::new(QuarantineSync::new(Arc::clone(&view), agents.clone()));
        let cx = Arc::new(Shared {
            dialect,
            agents: agents.clone(),
            quarantine: Arc::clone(&quarantine),
            held: Held::new(Held::limit_of_vm(), metrics.held_bytes.clone()),
            view: Arc::clone(&view),
            metrics,
            registry: prometheus,
            shutdown: OnceLock::new(),
            ending: CancellationToken::new(),
            settings,
        });
        let mut tasks = JoinSet::new();
        let mirror = Arc::new(Mirror::default());
        let neighbours = Arc::new(Neighbours::new(own_addr));
        let remote_load = RemoteLoad::new(Arc::clone(&view), Arc::clone(&neighbours), home.clone());
        let remote_load = Arc::new(remote_load);
        let registry = SharedRegistry::new(
            registry,
            SharedRegistryConfig::new(cx.settings.bounds.denial, read_interval),
            Arc::clone(&neighbours),
        )
        .with_mirror(Arc::clone(&mirror))
        .with_seeds(Seeds::new(own_addr, &cx.settings.seeds))
        .with_is_seed(cx.settings.seeds.contains(&own_addr.ip()))
        .with_counters(calls);
        let neighbour_routes =
            wagtailreel_nearby::router(mirror).merge(remote::router(Arc::clone(&remote_load)));
        let neighbour_routes = Routes::new(neighbour_routes);
        let neighbours_server = Server::start(
            "agents",
            neighbours_listener,
            neighbour_routes,
            counters.clone(),
        );
        tasks.spawn(follow(
            registry.clone(),
            Arc::clone(&view),
            follow_settings(),
        ));
        let upstreams = follow_upstreams(read_interval, lapse_after);
        tasks.spawn(follow(registry, Arc::clone(&view), upstreams));
        tasks.spawn(load::query_agents(
            Arc::clone(&view),
            neighbours,
            Arc::clone(&remote_load),
            agents,
            Arc::clone(&quarantine),
            home,
        ));
        tasks.spawn(remote_load.follow());
        let caller_server = Server::start(
            "callers",
            callers,
            CallerHandler::new(Arc::clone(&cx)),
            counters.clone(),
        );
        tasks.spawn(prune(Arc::clone(&view), quarantine));
        let page = Routes::new(status_page::router(Arc::clone(&cx)));
        let status_server = Server::start("status", status, page, counters);
        let at = callers_addr.to_string();
        events::STARTED.emit(&[
            ("vm", &cx.settings.vm),
            ("data_centre", &cx.settings.data_centre),
            ("callers", &at),
        ]);
        Ok(Self {
            cx,
            callers: callers_addr,
            status: status_addr,
            neighbours_addr: own_addr,
            tasks,
            caller_server,
            other_servers: [neighbours_server, status_server],
        })
    }

    /// Returns the address of the listener for callers.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Returns the address at which neighbours read the registry state and load reports of this entry.
    pub fn neighbours_addr(&self) -> SocketAddr {
        self.neighbours_addr
    }

    /// Returns the address of readiness and metrics.
    pub fn status(&self) -> SocketAddr {
        self.status
    }

    /// Reports to the balancer that the entry is not ready, finishes the open requests, and shuts down.
    ///
    /// The listener stays open as long as callers connect: if most entries of a data centre shut down at
    /// once, the balancer goes on sending callers to all of them. A connection whose handshake is in progress
    /// as the listener closes is reset, so that the entry first waits for a time without new connections.
    /// This wait starts only after the idle connections from before the signal are closed: if the listener
    /// closed much earlier than the process ends, callers from the balancer would meet a closed port until
    /// then.
    pub async fn shutdown(mut self) {
        let grace = self.cx.settings.bounds.grace;
        let now = Instant::now();
        let until = now + grace;
        let lame_duck = now + LAME_DUCK_TIME.min(grace / 2);
        let unused_closed = now + MAX_IDLE.min(grace / 2);
        let closing = until - LISTENER_CLOSE_MARGIN.min(grace / 4);
        let ending = until - IDLE_CLOSE_MARGIN.min(grace / 8);
        self.cx.begin_shutdown(lame_duck, ending);
        self.enter(Phase::Leaving);
        self.log_open(events::LEAVING);
        tokio::time::sleep_until(lame_duck.max(unused_closed).into()).await;
        let _ = timeout_at(closing.into(), self.caller_server.quiet()).await;
        self.caller_server.enter(Phase::Closing);
        let _ = timeout_at(ending.into(), self.caller_server.ended()).await;
        self.cx.ending.cancel();
        self.enter(Phase::Ending);
        let all_closed = async {
            self.caller_server.ended().await;
            for other in &mut self.other_servers {
                other.ended().await;
            }
        };
        let turns = timeout_at((until + MAX_GRACE_OVERRUN).into(), final_turns());
        let grace_over = async { tokio::join!(tokio::time::sleep_until(until.into()), turns) };
        // Requests that are still open then are cut off; the event has their number.
        tokio::select! {
            () = all_closed => {}
            _ = grace_over => {}
        }
        self.tasks.abort_all();
        self.log_open(events::STOPPED);
    }

    /// Advances all listeners to `phase`.
    fn enter(&self, phase: Phase) {
        self.caller_server.enter(phase);
        self.other_servers
            .iter()
            .for_each(|other| other.enter(phase));
    }

    /// Logs `event` with the number of open requests.
    fn log_open(&self, event: Event) {
        let open = self.cx.metrics.open.get().to_string();
        event.emit(&[("vm", &self.cx.settings.vm), ("open", &open)]);
    }
}

/// Waits for the final turns. A time for which the process is suspended counts as one turn, however long it
/// is.
async fn final_turns() {
    for _ in 0..FINAL_TURNS {
        tokio::time::sleep(FINAL_TURN_TIME).await;
    }
}

/// Closes idle connections that expired or whose upstream is gone, and drops expired crash reports, at an
/// interval.
async fn prune(view: Arc<View>, quarantine: Arc<QuarantineSync>) {
    loop {
        tokio::time::sleep(PRUNE_INTERVAL).await;
        quarantine.prune();
        for service in view.services() {
            let known: Vec<SocketAddr> = {
                let upstreams = service.upstreams();
                upstreams.members().map(|it| it.upstream.addr).collect()
            };
            service.pool.prune(|addr| known.contains(addr));
        }
    }
}

/// Opens the UDP socket for agents, and the TCP listener for neighbours on the same port.
async fn listen_for_agents(
    addr: SocketAddr,
) -> Result<(UdpSocket, TcpListener, SocketAddr), DirectError> {
    let setting = "listen.agents";
    let mut tries_left = MAX_PORT_TRIES;
    loop {
        let socket = UdpSocket::bind(addr).await;
        let socket = socket.context(ListenSnafu { addr, setting })?;
        let own_addr = socket.local_addr().context(ListenSnafu { addr, setting })?;
        match listen(own_addr, setting).await {
            Ok((listener, _)) => return Ok((socket, listener, own_addr)),
            // A port that the system chose for UDP may be in use for TCP.
            Err(_) if addr.port() == 0 && tries_left > 0 => tries_left -= 1,
            Err(err) => return Err(err),
        }
    }
}

async fn listen(
    addr: SocketAddr,
    setting: &'static str,
) -> Result<(TcpListener, SocketAddr), DirectError> {
    bind(addr).await.context(ListenSnafu { addr, setting })
}
