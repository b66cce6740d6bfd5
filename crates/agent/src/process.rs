//! The agent process: starts its components and shuts them down in order.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use axum::Router;
use prometheus::Registry;
use snafu::{OptionExt as _, ResultExt as _};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use wagtailreel_adapters::{BaseUrl, HttpEngine, HttpOrigin, HttpPlainService, HttpVmList, bind};
use wagtailreel_control::{AgentControl, AgentControlConfig};
use wagtailreel_core::{Incarnation, ServiceKind, VmEntry};
use wagtailreel_serve::{ConnectionCounters, Phase, Routes, Server};
use wagtailreel_settings::AgentSettings;
use wagtailreel_transfer::{Transfer, TransferConfig};

use crate::AgentError;
use crate::answers;
use crate::chunks::Chunks;
use crate::engine_app::{self, EngineApp};
use crate::engine_watch::EngineWatch;
use crate::error::{
    AddressSnafu, ControlSnafu, ListenSnafu, MetricsSnafu, NoOriginSnafu, TransferSnafu,
};
use crate::events;
use crate::follow::{Follower, ListFollower, send_reports};
use crate::hub::{Facts, Hub};
use crate::metrics::Metrics;
use crate::ops::{self, Ops};
use crate::plain_app::{self, PlainApp};
use crate::plain_watch::PlainWatch;

/// Time-out for an entry to answer the report that the agent is leaving.
const LEAVING_REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// How long connections stay open for peers after the last request has ended.
const CLOSING_TIMEOUT: Duration = Duration::from_secs(3);

/// How long clients may take to read answers that are already written, at the end of a shutdown.
const ENDING_TIMEOUT: Duration = Duration::from_secs(30);

/// A running agent.
#[derive(Debug)]
pub struct AgentProcess {
    hub: Arc<Hub>,
    control: AgentControl,
    /// When the last report that an entry has answered was sent.
    acked: watch::Receiver<Option<Instant>>,
    server: Server,
    tasks: Vec<JoinHandle<()>>,
}

/// The routes and tasks that one kind of upstream adds.
struct Upstream {
    router: Router,
    tasks: Vec<JoinHandle<()>>,
}

impl AgentProcess {
    /// Starts an agent on the current runtime.
    ///
    /// # Errors
    ///
    /// Returns an [`AgentError`] if a listener can't be opened or a setting can't be used.
    pub async fn start(settings: AgentSettings) -> Result<Self, AgentError> {
        let registry = Registry::new();
        let metrics = Metrics::new(&registry).context(MetricsSnafu)?;
        let counters = ConnectionCounters::register(&registry).context(MetricsSnafu)?;
        let (listener, data) = bind(settings.listen.data).await.context(ListenSnafu {
            addr: settings.listen.data,
        })?;
        let control = start_control(&settings, &registry)?;
        let facts = vm_facts(&settings, data, control.addr());
        let hub = Arc::new(Hub::new(facts, settings.upstream.capacity, metrics));
        let (peers_tx, peers_rx) = watch::channel(Vec::new());
        let (acked_tx, acked) = watch::channel(None);
        let upstream = start_upstream(&settings, &hub, peers_rx, &registry)?;
        let mut tasks = upstream.tasks;
        let follower = Follower {
            hub: Arc::clone(&hub),
            control: control.clone(),
            peers: peers_tx,
            last_answered: acked_tx,
        };
        tasks.push(tokio::spawn(follower.run()));
        tasks.push(follow_list(&settings, &hub, &control)?);
        let reports = send_reports(Arc::clone(&hub), control.clone(), settings.report);
        tasks.push(tokio::spawn(reports));
        let ops = Ops {
            hub: Arc::clone(&hub),
            registry,
        };
        let router = upstream
            .router
            .merge(ops::router(ops))
            .fallback(answers::no_such_route);
        let server = Server::start("data", listener, Routes::new(router), counters);
        events::AGENT_STARTED.emit(&[("vm", &settings.vm), ("data", &data.to_string())]);
        Ok(Self {
            hub,
            control,
            acked,
            server,
            tasks,
        })
    }

    /// Returns the address of the HTTP listener.
    pub fn data_addr(&self) -> SocketAddr {
        self.hub.facts.data
    }

    /// Returns the address of the control listener.
    pub fn control_addr(&self) -> SocketAddr {
        self.hub.facts.control
    }

    /// Shuts the agent down gracefully.
    ///
    /// The agent reports at once that it is leaving, accepts no new requests and finishes the running
    /// ones. Until then it serves chunks to its peers.
    pub async fn shutdown(mut self) {
        events::AGENT_LEAVING.emit(&[]);
        self.hub.leave();
        self.server.enter(Phase::Leaving);
        self.control.set_report(self.hub.report());
        let left_at = Instant::now();
        self.wait_leaving_acked(left_at).await;
        self.hub.admitter.drained().await;
        self.server.enter(Phase::Closing);
        // Every request has ended. What is left are answers that clients have yet to read and
        // connections that a peer may still use.
        let _ = tokio::time::timeout(CLOSING_TIMEOUT, self.server.ended()).await;
        self.server.enter(Phase::Ending);
        let _ = tokio::time::timeout(ENDING_TIMEOUT, self.server.ended()).await;
        events::AGENT_STOPPED.emit(&[]);
    }

    /// Waits until an entry has answered a report that says that the agent is leaving.
    async fn wait_leaving_acked(&mut self, left_at: Instant) {
        let acked = self.acked.wait_for(|sent_at| *sent_at > Some(left_at));
        // The wait times out if no entry is connected; the shutdown goes on all the same.
        let _ = tokio::time::timeout(LEAVING_REPORT_TIMEOUT, acked).await;
    }
}

impl Drop for AgentProcess {
    fn drop(&mut self) {
        self.server.enter(Phase::Ending);
        for task in &self.tasks {
            task.abort();
        }
        self.control.stop();
    }
}

fn start_control(
    settings: &AgentSettings,
    registry: &Registry,
) -> Result<AgentControl, AgentError> {
    let cfg = AgentControlConfig {
        vm: settings.vm.clone(),
        listen: settings.listen.control,
        report_interval: settings.report,
    };
    AgentControl::start(cfg, registry).context(ControlSnafu)
}

fn vm_facts(settings: &AgentSettings, data: SocketAddr, control: SocketAddr) -> Facts {
    let bundles = match settings.upstream.kind {
        ServiceKind::Engine => settings.upstream.bundles,
        ServiceKind::Plain => 0,
    };
    Facts {
        vm: settings.vm.clone(),
        incarnation: incarnation(),
        data_centre: settings.data_centre.clone(),
        region: settings.region.clone(),
        service: settings.service.clone(),
        data,
        control,
        bundles,
    }
}

/// Returns the time of the start in microseconds since the Unix epoch, so that a later start has a
/// higher incarnation.
fn incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let micros = since.unwrap_or_default().as_micros();
    Incarnation::try_from(micros).unwrap_or(Incarnation::MAX)
}

fn start_upstream(
    settings: &AgentSettings,
    hub: &Arc<Hub>,
    peers: watch::Receiver<Vec<VmEntry>>,
    registry: &Registry,
) -> Result<Upstream, AgentError> {
    match settings.upstream.kind {
        ServiceKind::Engine => start_engine(settings, hub, peers, registry),
        ServiceKind::Plain => start_plain(settings, hub),
    }
}

fn start_engine(
    settings: &AgentSettings,
    hub: &Arc<Hub>,
    peers: watch::Receiver<Vec<VmEntry>>,
    registry: &Registry,
) -> Result<Upstream, AgentError> {
    let origin = settings.platform.origin.as_ref().context(NoOriginSnafu)?;
    let origin = HttpOrigin::new(parse_url("platform.origin", origin)?);
    let engine = HttpEngine::new(parse_url("upstream.url", &settings.upstream.url)?);
    let transfer =
        Transfer::start(transfer_config(settings), origin, registry).context(TransferSnafu)?;
    let chunk_routes = transfer.router();
    let watch = EngineWatch::new(
        Arc::clone(hub),
        engine.clone(),
        Chunks::new(transfer),
        peers,
        hub.facts.incarnation,
    );
    let app = EngineApp {
        hub: Arc::clone(hub),
        engine,
    };
    Ok(Upstream {
        router: engine_app::router(app).merge(chunk_routes),
        tasks: vec![tokio::spawn(watch.run())],
    })
}

fn transfer_config(settings: &AgentSettings) -> TransferConfig {
    TransferConfig {
        vm: settings.vm.clone(),
        data_centre: settings.data_centre.clone(),
        region: settings.region.clone(),
        memory: settings.weights.memory,
        ingress: settings.weights.ingress.unwrap_or(0),
        egress: settings.weights.egress.unwrap_or(0),
    }
}

fn start_plain(settings: &AgentSettings, hub: &Arc<Hub>) -> Result<Upstream, AgentError> {
    let service = HttpPlainService::new(parse_url("upstream.url", &settings.upstream.url)?);
    let watch = PlainWatch::new(Arc::clone(hub), service.clone());
    let app = PlainApp {
        hub: Arc::clone(hub),
        service,
    };
    Ok(Upstream {
        router: plain_app::router(app),
        tasks: vec![tokio::spawn(watch.run())],
    })
}

fn follow_list(
    settings: &AgentSettings,
    hub: &Arc<Hub>,
    control: &AgentControl,
) -> Result<JoinHandle<()>, AgentError> {
    let list = HttpVmList::new(parse_url("platform.vms", &settings.platform.vms)?);
    let follower = ListFollower {
        hub: Arc::clone(hub),
        control: control.clone(),
        list,
        seeds: settings.seeds.clone(),
    };
    Ok(tokio::spawn(follower.run()))
}

/// Parses the URL of an external system.
fn parse_url(setting: &'static str, text: &str) -> Result<BaseUrl, AgentError> {
    BaseUrl::new(text).context(AddressSnafu { setting })
}
