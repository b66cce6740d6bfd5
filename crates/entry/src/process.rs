//! Starting and stopping an entry.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use prometheus::Registry;
use snafu::ResultExt as _;
use tokio::net::TcpListener;
use tokio::time::timeout_at;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use wagtailreel_adapters::{BaseUrl, HttpClient, HttpLog, HttpVmList, bind};
use wagtailreel_control::{EntryControl, EntryControlConfig};
use wagtailreel_core::Incarnation;
use wagtailreel_fold::SnapshotRule;
use wagtailreel_route::{Shares, SharesConfig};
use wagtailreel_serve::{ConnectionCounters, MAX_IDLE, Phase, Routes, Server};
use wagtailreel_settings::{EntrySettings, Keyring};

use crate::admin::{self, Admin};
use crate::claims::{Claims, OrderSink, append_claims};
use crate::config::ConfigBook;
use crate::error::{ControlSnafu, EntryError, ListenSnafu, MetricsSnafu, UrlSnafu};
use crate::follower::follow;
use crate::live::GoLiveTimer;
use crate::metrics::Metrics;
use crate::services::Services;
use crate::shared::Shared;
use crate::vms::{KnownVms, VmConsumers, follow_vms};
use crate::{events, front, peers, snapshots};

/// How long the entry still answers new requests, with `leaving`, before the listener may close.
/// Callers that send on a kept connection during the shutdown learn that their request was not run.
const MIN_LEAVING_TIME: Duration = Duration::from_millis(300);

/// How much longer the listener stays open at most while callers still open connections. Unused connections
/// of callers are closed by then.
const MAX_DRAIN_WAIT: Duration = MAX_IDLE;

/// Time-out of each clean-up step at shutdown, such as appending the last claims and releases to the log.
const CLEANUP_TIMEOUT: Duration = Duration::from_secs(2);

/// Where an entry listens, with the ports that the system chose for port 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryAddrs {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address of the administration API.
    pub admin: SocketAddr,
    /// Address for the system's other processes.
    pub control: SocketAddr,
}

/// A running entry.
#[derive(Debug)]
pub struct EntryProcess {
    cx: Arc<Shared>,
    addrs: EntryAddrs,
    callers: Server,
    /// Closes last, so that operators can observe a shutdown.
    admin: Server,
    tasks: TaskTracker,
}

impl EntryProcess {
    /// Starts an entry on the current runtime.
    ///
    /// The entry answers callers at once, with `not-run` until it knows a configuration.
    ///
    /// # Errors
    ///
    /// Returns an [`EntryError`] if an address can't be used.
    pub async fn start(settings: EntrySettings) -> Result<Self, EntryError> {
        let log = HttpLog::new(url(&settings.platform.log, "platform.log")?);
        let list = HttpVmList::new(url(&settings.platform.vms, "platform.vms")?);
        let (callers, callers_addr) = listen(settings.listen.callers, "listen.callers").await?;
        let (admin, admin_addr) = listen(settings.listen.admin, "listen.admin").await?;
        let registry = Registry::new();
        let cx = Arc::new(new_shared(settings, registry)?);
        let addrs = EntryAddrs {
            callers: callers_addr,
            admin: admin_addr,
            control: cx.control.addr(),
        };
        let tasks = TaskTracker::new();
        spawn_tasks(&cx, &log, &list, &tasks);
        let admin_router = admin::router(Admin {
            cx: Arc::clone(&cx),
            log,
        });
        let counters = ConnectionCounters::register(&cx.registry).context(MetricsSnafu)?;
        let front = Routes::new(front::router(Arc::clone(&cx)));
        let callers = Server::start("callers", callers, front, counters.clone());
        let admin = Server::start("admin", admin, Routes::new(admin_router), counters);
        let at = addrs.callers.to_string();
        events::STARTED.emit(&[("vm", &cx.settings.vm), ("callers", &at)]);
        Ok(Self {
            cx,
            addrs,
            callers,
            admin,
            tasks,
        })
    }

    /// Returns where the entry listens.
    pub fn addrs(&self) -> EntryAddrs {
        self.addrs
    }

    /// Shuts down: refuses new requests with `leaving`, finishes those in flight, and ends.
    pub async fn shutdown(mut self) {
        self.cx.leaving.store(true, Ordering::Relaxed);
        events::LEAVING.emit(&[("vm", &self.cx.settings.vm)]);
        self.callers.enter(Phase::Leaving);
        tokio::time::sleep(MIN_LEAVING_TIME).await;
        let drain_deadline = Instant::now() + MAX_DRAIN_WAIT;
        // New requests are still answered with `leaving`, and callers that keep a connection are told to close it.
        let _ = timeout_at(drain_deadline.into(), self.callers.quiet()).await;
        self.callers.enter(Phase::Closing);
        self.cx.requests.close();
        self.cx.requests.wait().await;
        let _ = timeout_at(drain_deadline.into(), self.callers.ended()).await;
        self.callers.enter(Phase::Ending);
        let _ = tokio::time::timeout(CLEANUP_TIMEOUT, self.callers.ended()).await;
        self.cx.cleanups.close();
        let _ = tokio::time::timeout(CLEANUP_TIMEOUT, self.flush_claims()).await;
        self.cx.cancel.cancel();
        self.tasks.close();
        self.tasks.wait().await;
        self.admin.enter(Phase::Closing);
        let _ = tokio::time::timeout(CLEANUP_TIMEOUT, self.admin.ended()).await;
        self.cx.control.stop();
        events::STOPPED.emit(&[("vm", &self.cx.settings.vm)]);
    }

    /// Waits until cancels are answered and all released claims are in the log.
    async fn flush_claims(&self) {
        self.cx.cleanups.wait().await;
        while !self.cx.claims.is_flushed() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

fn url(text: &str, setting: &'static str) -> Result<BaseUrl, EntryError> {
    BaseUrl::new(text).context(UrlSnafu { setting })
}

async fn listen(
    addr: SocketAddr,
    setting: &'static str,
) -> Result<(TcpListener, SocketAddr), EntryError> {
    bind(addr).await.context(ListenSnafu { addr, setting })
}

fn new_shared(settings: EntrySettings, registry: Registry) -> Result<Shared, EntryError> {
    let metrics = Metrics::register(&registry).context(MetricsSnafu)?;
    let incarnation = incarnation();
    let control_cfg = EntryControlConfig {
        vm: settings.vm.clone(),
        incarnation,
        data_centre: settings.data_centre.clone(),
        region: settings.region.clone(),
        listen: settings.listen.control,
        lease: settings.lease,
    };
    let control = EntryControl::start(control_cfg, &registry).context(ControlSnafu)?;
    let services = Arc::new(Services::new(
        settings.data_centre.clone(),
        settings.region.clone(),
        metrics.clone(),
    ));
    let live = Arc::new(GoLiveTimer::new(metrics.clone()));
    let book = ConfigBook::new(
        Arc::clone(&services),
        control.clone(),
        metrics.clone(),
        Arc::clone(&live),
    );
    let claims = Claims::new(
        settings.vm.clone(),
        incarnation,
        settings.orders.window,
        metrics.clone(),
    );
    let customers = settings
        .customers
        .iter()
        .map(|customer| (customer.name.clone(), customer.key_hash));
    let teams = settings
        .teams
        .iter()
        .map(|team| (team.name.clone(), team.token_hash));
    Ok(Shared {
        customers: Keyring::new(customers.collect()),
        teams: Keyring::new(teams.collect()),
        incarnation,
        control,
        client: HttpClient::new(),
        registry,
        metrics,
        book: Arc::new(book),
        services,
        live,
        claims: Arc::new(claims),
        requests: TaskTracker::new(),
        cleanups: TaskTracker::new(),
        leaving: AtomicBool::new(false),
        cancel: CancellationToken::new(),
        next_request: AtomicU64::new(1),
        settings,
    })
}

/// Returns the milliseconds since 1970, so that a later start of the same VM has a higher number.
fn incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}

fn spawn_tasks(cx: &Arc<Shared>, log: &HttpLog, list: &HttpVmList, tasks: &TaskTracker) {
    let known = Arc::new(KnownVms::default());
    let shares = Arc::new(Mutex::new(Shares::new(SharesConfig::default())));
    let cancel = || cx.cancel.clone();
    let consumers = VmConsumers {
        me: cx.settings.vm.clone(),
        known: Arc::clone(&known),
        control: cx.control.clone(),
        services: Arc::clone(&cx.services),
        shares: Arc::clone(&shares),
    };
    tasks.spawn(follow_vms(list.clone(), consumers, cancel()));
    tasks.spawn(follow_config(Arc::clone(cx), log.clone()));
    tasks.spawn(follow_orders(Arc::clone(cx), log.clone()));
    tasks.spawn(append_claims(log.clone(), Arc::clone(&cx.claims), cancel()));
    let rule = SnapshotRule {
        every: cx.settings.config.snapshot_every,
        max_age: cx.settings.config.snapshot_max_age,
    };
    tasks.spawn(snapshots::append_due_snapshots(
        log.clone(),
        Arc::clone(&cx.book),
        Arc::clone(&known),
        cx.settings.vm.clone(),
        rule,
        cancel(),
    ));
    tasks.spawn(peers::pull_without_log(
        Arc::clone(&cx.book),
        cx.settings.seeds.clone(),
        Arc::clone(&known),
        cx.control.clone(),
        cx.settings.data_centre.clone(),
        cancel(),
    ));
    tasks.spawn(peers::follow_peer_state(
        Arc::clone(&cx.book),
        cx.control.clone(),
        cancel(),
    ));
    tasks.spawn(peers::follow_agents(
        Arc::clone(&cx.services),
        Arc::clone(&cx.live),
        cx.control.clone(),
        cancel(),
    ));
    tasks.spawn(peers::update_shares(
        Arc::clone(&cx.services),
        cx.control.clone(),
        known,
        shares,
        cancel(),
    ));
}

async fn follow_config(cx: Arc<Shared>, log: HttpLog) {
    follow(log, cx.book.as_ref(), &cx.metrics, cx.cancel.clone()).await;
}

async fn follow_orders(cx: Arc<Shared>, log: HttpLog) {
    let sink = OrderSink(Arc::clone(&cx.claims));
    follow(log, &sink, &cx.metrics, cx.cancel.clone()).await;
}
