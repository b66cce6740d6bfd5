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
use wagtailreel_fleet::{FollowConfig, Registry, Topic, follow};
use wagtailreel_nearby::{
    CallCounters, Mirror, Neighbours, Seeds, SharedRegistry, SharedRegistryConfig,
};
use wagtailreel_route::direct::NamingBounds;
use wagtailreel_serve::{ConnectionCounters, LONGEST_UNUSED, Phase, Routes, Server};
use wagtailreel_settings::DirectEntrySettings;
use wagtailreel_telemetry::Event;

use crate::agents::Agents;
use crate::dialect::Dialect;
use crate::far::{self, FarWords};
use crate::front::Callers;
use crate::metrics::Metrics;
use crate::shared::Shared;
use crate::suspects::Suspects;
use crate::view::{Bounds, View};
use crate::{events, load, status_page};

/// How long the registry may hold a read of the settings. Each read is priced; a read that returns
/// empty confirms the configuration, which has to be done well within the bound on keys.
const SETTINGS_WAIT: Duration = Duration::from_millis(1800);

/// Shortest time between two reads of the settings. In a burst of configurations each read brings the
/// newest of several.
const SETTINGS_PACE: Duration = Duration::from_millis(400);

/// How much longer than its wait a read may take.
const READ_TIMEOUT: Duration = Duration::from_millis(700);

/// Longest pause after failed reads of the settings.
const SETTINGS_PAUSE: Duration = Duration::from_millis(400);

/// How long a read of the upstreams may take; a slow registry takes a quarter of a second.
const UPSTREAMS_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest pause after failed reads of the upstreams. With the time-out and the time to register
/// again it stays below the 3 s after which a removal has to be in force again.
const UPSTREAMS_PAUSE: Duration = Duration::from_millis(200);

/// How long an upstream that vanished while the registry was away has to register again.
const LAPSE_HOLD: Duration = Duration::from_millis(2100);

/// How long callers are still taken after a signal to end: the balancer needs two questions, a
/// second apart, to notice.
const LAME_DUCK: Duration = Duration::from_millis(2600);

/// Time before the end of the grace at which the listener is closed: what was accepted last is still
/// answered, or refused.
const LAST_ANSWERS: Duration = Duration::from_millis(500);

/// Time before the end of the grace at which idle connections are closed, whatever callers were told.
const LAST_CLOSES: Duration = Duration::from_millis(300);

/// Turns of the last moment that every entry gets, and how long each lasts at least. An entry that stood still as
/// its grace ended reads and refuses in them what has come meanwhile.
const LAST_TURNS: u32 = 8;
const LAST_TURN: Duration = Duration::from_millis(20);

/// Longest time after the grace for which these turns are waited for, well before the process is killed.
const MOST_LATE: Duration = Duration::from_millis(300);

/// How often unused connections and remembered requests are looked through.
const PRUNE_EVERY: Duration = Duration::from_secs(1);

/// Ports of the system's choice that are tried.
const PORT_TRIES: u32 = 8;

/// An entry can't start.
#[derive(Debug, Snafu)]
pub enum DirectError {
    /// An address can't be used.
    #[snafu(display("{setting}: can't listen on {addr} ({source}): choose a free address"))]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// The setting that names it.
        setting: &'static str,
        /// What the system says.
        source: std::io::Error,
    },
    /// The metrics can't be registered.
    #[snafu(display("the metrics can't be registered ({source}): report this as a bug"))]
    Metrics {
        /// What the library says.
        source: prometheus::Error,
    },
}

/// A running entry that sends requests straight to upstreams.
#[derive(Debug)]
pub struct DirectEntry<D> {
    cx: Arc<Shared<D>>,
    callers: SocketAddr,
    status: SocketAddr,
    copies: SocketAddr,
    tasks: JoinSet<()>,
    server: Server,
    /// Those for neighbours, and for readiness and metrics.
    others: [Server; 2],
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
        let (socket, copies, own) = listen_for_agents(agents).await?;
        let prometheus = Prometheus::new();
        let metrics = Metrics::register(&prometheus).context(MetricsSnafu)?;
        let calls = CallCounters::register(&prometheus).context(MetricsSnafu)?;
        let counters = ConnectionCounters::register(&prometheus).context(MetricsSnafu)?;
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
        let view = View::new(home.clone(), regions, bounds).with_seeds(settings.seeds.clone());
        let view = Arc::new(view);
        let agent_port = settings.agent_port;
        let read_interval = settings.bounds.upstreams_pace;
        let lapse_after = settings.bounds.lapse_after;
        let agents = Agents::new(socket, own, agent_port, &settings.seeds);
        let suspects = Arc::new(Suspects::new(Arc::clone(&view), agents.clone()));
        let cx = Arc::new(Shared {
            dialect,
            agents: agents.clone(),
            suspects: Arc::clone(&suspects),
            view: Arc::clone(&view),
            metrics,
            registry: prometheus,
            leaving: OnceLock::new(),
            ending: CancellationToken::new(),
            settings,
        });
        let mut tasks = JoinSet::new();
        let mirror = Arc::new(Mirror::default());
        let neighbours = Arc::new(Neighbours::new(own));
        let far = FarWords::new(Arc::clone(&view), Arc::clone(&neighbours), home.clone());
        let far = Arc::new(far);
        let registry = SharedRegistry::new(
            registry,
            SharedRegistryConfig::new(cx.settings.bounds.denial, read_interval),
            Arc::clone(&neighbours),
        )
        .with_mirror(Arc::clone(&mirror))
        .with_seeds(Seeds::new(own, &cx.settings.seeds))
        .with_is_seed(cx.settings.seeds.contains(&own.ip()))
        .with_counters(calls);
        let copied = wagtailreel_nearby::router(mirror).merge(far::router(Arc::clone(&far)));
        let copied = Routes::new(copied);
        let neighbours_server = Server::start("agents", copies, copied, counters.clone());
        tasks.spawn(follow(
            registry.clone(),
            Arc::clone(&view),
            settings_follow(),
        ));
        let upstreams = upstreams_follow(read_interval, lapse_after);
        tasks.spawn(follow(registry, Arc::clone(&view), upstreams));
        tasks.spawn(load::ask_agents(
            Arc::clone(&view),
            neighbours,
            Arc::clone(&far),
            agents,
            Arc::clone(&suspects),
            home,
        ));
        tasks.spawn(far.follow());
        let server = Server::start(
            "callers",
            callers,
            Callers::new(Arc::clone(&cx)),
            counters.clone(),
        );
        tasks.spawn(prune(Arc::clone(&view), suspects));
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
            copies: own,
            tasks,
            server,
            others: [neighbours_server, status_server],
        })
    }

    /// Returns where callers are answered.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Returns where other entries read what this one knows.
    pub fn neighbours_read_at(&self) -> SocketAddr {
        self.copies
    }

    /// Returns where readiness and metrics are served.
    pub fn status(&self) -> SocketAddr {
        self.status
    }

    /// Tells the balancer to send no callers, finishes what is open, and ends.
    ///
    /// Callers are taken for as long as they come: where most entries of a data centre leave at once, the
    /// balancer goes on sending callers to all of them. A connection whose handshake is under way as the
    /// listener closes is reset, so that a time without new connections is waited for. It is looked for once
    /// idle connections from before the signal are closed: a listener that closes much before the process
    /// ends has the balancer's callers meet a closed port for as long.
    pub async fn shutdown(mut self) {
        let grace = self.cx.settings.bounds.grace;
        let now = Instant::now();
        let until = now + grace;
        let lame_duck = now + LAME_DUCK.min(grace / 2);
        let unused_closed = now + LONGEST_UNUSED.min(grace / 2);
        let closing = until - LAST_ANSWERS.min(grace / 4);
        let ending = until - LAST_CLOSES.min(grace / 8);
        self.cx.leave(lame_duck, ending);
        self.enter(Phase::Leaving);
        self.tell(events::LEAVING);
        tokio::time::sleep_until(lame_duck.max(unused_closed).into()).await;
        let _ = timeout_at(closing.into(), self.server.quiet()).await;
        self.server.enter(Phase::Closing);
        let _ = timeout_at(ending.into(), self.server.ended()).await;
        self.cx.ending.cancel();
        self.enter(Phase::Ending);
        let all_ended = async {
            self.server.ended().await;
            for other in &mut self.others {
                other.ended().await;
            }
        };
        let turns = timeout_at((until + MOST_LATE).into(), last_turns());
        let over = async { tokio::join!(tokio::time::sleep_until(until.into()), turns) };
        // What is still open then is cut off; the event says how much.
        tokio::select! {
            () = all_ended => {}
            _ = over => {}
        }
        self.tasks.abort_all();
        self.tell(events::STOPPED);
    }

    /// Advances all listeners to `phase`.
    fn enter(&self, phase: Phase) {
        self.server.enter(phase);
        self.others.iter().for_each(|other| other.enter(phase));
    }

    /// Writes a line with the number of open requests.
    fn tell(&self, event: Event) {
        let open = self.cx.metrics.open.get().to_string();
        event.emit(&[("vm", &self.cx.settings.vm), ("open", &open)]);
    }
}

/// Waits for the turns of the last moment. Time for which the process stands still counts as one of them.
async fn last_turns() {
    for _ in 0..LAST_TURNS {
        tokio::time::sleep(LAST_TURN).await;
    }
}

fn settings_follow() -> FollowConfig {
    FollowConfig {
        topic: Topic::Settings,
        wait: SETTINGS_WAIT,
        read_interval: SETTINGS_PACE,
        relayed_read_interval: Duration::ZERO,
        timeout: READ_TIMEOUT,
        max_backoff: SETTINGS_PAUSE,
        lapse_hold: Duration::ZERO,
        lapse_after: Duration::ZERO,
    }
}

/// Returns how the upstreams are followed: they change several times a second, so that a read which
/// waits would be a call for every heartbeat.
fn upstreams_follow(read_interval: Duration, lapse_after: Duration) -> FollowConfig {
    FollowConfig {
        topic: Topic::Upstreams,
        wait: Duration::ZERO,
        read_interval,
        relayed_read_interval: Duration::ZERO,
        timeout: UPSTREAMS_TIMEOUT,
        max_backoff: UPSTREAMS_PAUSE,
        lapse_hold: LAPSE_HOLD,
        lapse_after,
    }
}

/// Closes connections that are no longer of use, and forgets requests that are.
async fn prune(view: Arc<View>, suspects: Arc<Suspects>) {
    loop {
        tokio::time::sleep(PRUNE_EVERY).await;
        suspects.forget();
        for service in view.services() {
            let known: Vec<SocketAddr> = {
                let upstreams = service.upstreams();
                upstreams.members().map(|it| it.upstream.addr).collect()
            };
            service.pool.prune(|addr| known.contains(addr));
        }
    }
}

/// Opens the address for agents over UDP, and for neighbours over TCP with the same port.
async fn listen_for_agents(
    addr: SocketAddr,
) -> Result<(UdpSocket, TcpListener, SocketAddr), DirectError> {
    let setting = "listen.agents";
    let mut tries_left = PORT_TRIES;
    loop {
        let socket = UdpSocket::bind(addr).await;
        let socket = socket.context(ListenSnafu { addr, setting })?;
        let own = socket.local_addr().context(ListenSnafu { addr, setting })?;
        match listen(own, setting).await {
            Ok((listener, _)) => return Ok((socket, listener, own)),
            // A port that the system chose for UDP may be taken for TCP.
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
