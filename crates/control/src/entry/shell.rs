//! State of an entry's control thread: the opener, and the agents and demand that the entry knows.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::{Notify, watch};
use wagtailreel_core::{
    DataCentre, Epoch, Incarnation, PeerState, Report, ServiceName, StateView, VmEntry, VmId,
};
use wagtailreel_switch::{Opener, OpenerConfig, Timing};
use wagtailreel_wire::control_capnp::entry;
use wagtailreel_wire::{DirectiveMessage, EntryDemand, Seen};

use super::publish::Outputs;
use super::{AgentView, Demand, DemandView, EntryControlConfig};
use crate::events;
use crate::link::Link;
use crate::metrics::Metrics;
use crate::urgent::is_urgent;

/// How long an agent that sends no reports stays in the published map.
const AGENT_TTL: Duration = Duration::from_secs(60);

/// How long the demand of an entry that sends no more of it stays published. Code that divides shares
/// by demand keeps the last share of such an entry itself.
const DEMAND_TTL: Duration = Duration::from_secs(60);

/// Links to entries, by VM.
pub(crate) type EntryLinks = BTreeMap<VmId, Rc<Link<entry::Client>>>;

/// The VMs of a service, with a version that changes when they do.
#[derive(Debug, Default)]
struct PeerList {
    version: u64,
    vms: Vec<VmEntry>,
}

/// State of an entry's control thread. No borrow is held over an await.
pub(crate) struct Shell {
    cfg: EntryControlConfig,
    addr: SocketAddr,
    metrics: Metrics,
    outputs: Outputs,
    opener: RefCell<Opener>,
    /// Epochs last logged, per service.
    logged: RefCell<BTreeMap<ServiceName, (Option<Epoch>, Epoch)>>,
    settled: Cell<bool>,
    views: RefCell<BTreeMap<VmId, AgentView>>,
    views_changed: Cell<bool>,
    lists: RefCell<BTreeMap<ServiceName, PeerList>>,
    entries: RefCell<Vec<VmEntry>>,
    demand: RefCell<Demand>,
    /// Demand of the other entries.
    demands: RefCell<BTreeMap<VmId, DemandView>>,
    /// Those of the other entries that are in this data centre. Their demand is sent to other data centres.
    demands_here: RefCell<BTreeSet<VmId>>,
    /// Incremented to wake the agents' hanging calls.
    directive_changes: watch::Sender<u64>,
    round_due: Notify,
    publish_due: Notify,
}

impl Shell {
    pub(crate) fn new(
        cfg: EntryControlConfig,
        addr: SocketAddr,
        metrics: Metrics,
        outputs: Outputs,
    ) -> Self {
        let opener = OpenerConfig {
            vm: cfg.vm.clone(),
            incarnation: cfg.incarnation,
            data_centre: cfg.data_centre.clone(),
            control: addr,
            lease: cfg.lease,
        };
        Self {
            opener: RefCell::new(Opener::new(opener, Instant::now())),
            cfg,
            addr,
            metrics,
            outputs,
            logged: RefCell::default(),
            settled: Cell::new(false),
            views: RefCell::default(),
            views_changed: Cell::new(false),
            lists: RefCell::default(),
            entries: RefCell::default(),
            demand: RefCell::default(),
            demands: RefCell::default(),
            demands_here: RefCell::default(),
            directive_changes: watch::Sender::new(0),
            round_due: Notify::new(),
            publish_due: Notify::new(),
        }
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    pub(crate) fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    pub(crate) fn timing(&self) -> Timing {
        self.opener.borrow().timing()
    }

    /// Completes once a sync round is due before its time.
    pub(crate) async fn round_due(&self) {
        self.round_due.notified().await;
    }

    /// Completes once the agents' reports have to be published at once.
    pub(crate) async fn publish_due(&self) {
        self.publish_due.notified().await;
    }

    /// Returns the channel that changes when hanging calls must check their directive again.
    pub(crate) fn directive_changes(&self) -> watch::Receiver<u64> {
        self.directive_changes.subscribe()
    }

    pub(crate) fn set_state(&self, state: &StateView) {
        self.apply(|opener, now| opener.on_state(now, state));
    }

    /// Applies configuration from a peer and passes it to the entry's fold.
    pub(crate) fn merge_state(&self, from: &str, state: &StateView) {
        if !self.apply(|opener, now| opener.on_state(now, state)) {
            return;
        }
        let offset = state.offset.to_string();
        events::STATE_LEARNED.emit(&[("vm", from), ("offset", &offset)]);
        self.outputs.learned.send_modify(|known| known.merge(state));
    }

    pub(crate) fn state(&self) -> StateView {
        self.opener.borrow().state().clone()
    }

    pub(crate) fn set_entries(&self, entries: &[VmEntry]) {
        *self.entries.borrow_mut() = entries.to_vec();
        self.apply(|opener, now| opener.on_entries(now, entries));
        self.round_due.notify_one();
    }

    /// Returns the entries of other data centres, by data centre.
    pub(crate) fn remote_entries(&self) -> BTreeMap<DataCentre, Vec<VmEntry>> {
        let mut remote: BTreeMap<DataCentre, Vec<VmEntry>> = BTreeMap::new();
        for entry in self.entries.borrow().iter() {
            if entry.data_centre != self.cfg.data_centre {
                let list = remote.entry(entry.data_centre.clone()).or_default();
                list.push(entry.clone());
            }
        }
        remote
    }

    pub(crate) fn set_vms(&self, vms: &[VmEntry]) {
        self.apply(|opener, now| opener.on_vms(now, vms));
        let mut by_service: BTreeMap<ServiceName, Vec<VmEntry>> = BTreeMap::new();
        for vm in vms {
            if let Some(service) = &vm.service {
                let list = by_service.entry(service.clone()).or_default();
                list.push(vm.clone());
            }
        }
        let mut lists = self.lists.borrow_mut();
        for name in lists.keys() {
            by_service.entry(name.clone()).or_default();
        }
        for (name, vms) in by_service {
            let list = lists.entry(name).or_default();
            if list.vms != vms {
                list.vms = vms;
                list.version += 1;
            }
        }
        drop(lists);
        self.wake_watchers();
    }

    pub(crate) fn set_demand(&self, demand: &Demand) {
        *self.demand.borrow_mut() = demand.clone();
    }

    /// Applies an agent's report and returns the directive that answers it.
    pub(crate) fn on_report(&self, report: Report, seen: &Seen) -> DirectiveMessage {
        let vm = report.vm.clone();
        let service = report.service.clone();
        if !self.apply(|opener, now| opener.on_report(now, &report)) {
            return self.refusal();
        }
        self.store_report(report);
        self.count_grant(self.message(&vm, &service, seen))
    }

    /// Records that an agent has a hanging call. Returns the agent's service if the entry knows it.
    pub(crate) fn on_watch(&self, vm: &str, incarnation: Incarnation) -> Option<ServiceName> {
        if !self.apply(|opener, now| opener.on_watch(now, vm, incarnation)) {
            return None;
        }
        let views = self.views.borrow();
        views.get(vm).map(|view| view.report.service.clone())
    }

    /// Returns the directive for an agent as of now, and whether it differs from `seen`.
    pub(crate) fn directive(
        &self,
        vm: &str,
        service: &str,
        seen: &Seen,
    ) -> (DirectiveMessage, bool) {
        let message = self.message(vm, service, seen);
        let directive = &message.directive;
        let differs = directive.close_below > seen.close_below
            || directive.open != seen.open
            || directive.swap_to != seen.swap_to
            || directive.state.is_some()
            || message.has_peers;
        (message, differs)
    }

    /// Counts a directive that is sent.
    pub(crate) fn count_grant(&self, message: DirectiveMessage) -> DirectiveMessage {
        if message.directive.open.is_some() {
            self.metrics.lease_grants.inc();
        }
        message
    }

    /// Returns the directive that grants nothing.
    pub(crate) fn refusal(&self) -> DirectiveMessage {
        DirectiveMessage {
            directive: self.opener.borrow().refusal(),
            peers_version: 0,
            has_peers: false,
        }
    }

    /// Starts a sync round and returns the peers to call.
    pub(crate) fn start_round(&self, now: Instant) -> BTreeMap<VmId, SocketAddr> {
        self.metrics.sync_rounds.inc();
        self.apply(|opener, _| opener.on_round(now));
        let opener = self.opener.borrow();
        let peers = opener.peers();
        self.metrics
            .peers
            .set(i64::try_from(peers.len()).unwrap_or(i64::MAX));
        peers
    }

    pub(crate) fn on_peer_answer(&self, started: Instant, state: &PeerState) {
        self.apply(|opener, now| opener.on_peer_answer(now, started, state));
        self.on_peer_demand(state);
    }

    pub(crate) fn on_peer_call(&self, state: &PeerState) {
        self.apply(|opener, now| opener.on_peer_call(now, state));
        self.on_peer_demand(state);
    }

    pub(crate) fn on_peer_failure(&self, started: Instant, vm: &str) {
        self.metrics.sync_failures.inc();
        self.apply(|opener, now| opener.on_peer_failure(now, started, vm));
    }

    /// Returns whether a peer at `offset` has configuration that this entry lacks.
    pub(crate) fn lacks(&self, offset: u64) -> bool {
        offset > self.opener.borrow().state().offset
    }

    /// Returns the state that this entry sends to the others of its data centre.
    pub(crate) fn peer_state(&self) -> PeerState {
        let mut state = self.opener.borrow().peer_state(Instant::now());
        state.demand = self.demand.borrow().clone();
        state
    }

    /// Returns the latest reports of the agents of this data centre, with their ages.
    pub(crate) fn local_agents(&self) -> Vec<(Arc<Report>, Duration)> {
        let now = Instant::now();
        self.views
            .borrow()
            .values()
            .filter(|view| !view.remote)
            .map(|view| {
                let age = now.saturating_duration_since(view.received);
                (Arc::clone(&view.report), age)
            })
            .collect()
    }

    /// Applies the reports of another data centre's agents, with their ages.
    pub(crate) fn on_remote_agents(&self, agents: Vec<(Report, Duration)>) {
        let now = Instant::now();
        let mut views = self.views.borrow_mut();
        for (report, age) in agents {
            let vm = report.vm.clone();
            // The last poll may have gone to another entry, with newer reports.
            let known = views.get(&vm).is_some_and(|view| {
                let known = (view.report.incarnation, view.report.sequence);
                known > (report.incarnation, report.sequence)
            });
            if known || report.data_centre == self.cfg.data_centre {
                continue;
            }
            let view = AgentView {
                report: Arc::new(report),
                received: now.checked_sub(age).unwrap_or(now),
                remote: true,
            };
            views.insert(vm, view);
        }
        self.views_changed.set(true);
    }

    /// Returns the demand of the entries of this data centre, this one included.
    pub(crate) fn local_demands(&self) -> Vec<EntryDemand> {
        let now = Instant::now();
        let here = self.demands_here.borrow();
        let demands = self.demands.borrow();
        let others = demands.iter().filter(|(vm, _)| here.contains(*vm));
        let others = others.map(|(vm, view)| EntryDemand {
            vm: vm.clone(),
            demand: view.demand.clone(),
            age: now.saturating_duration_since(view.received),
        });
        let own = EntryDemand {
            vm: self.cfg.vm.clone(),
            demand: self.demand.borrow().clone(),
            age: Duration::ZERO,
        };
        std::iter::once(own).chain(others).collect()
    }

    /// Applies the demand of another data centre's entries.
    pub(crate) fn on_remote_demands(&self, demands: &[EntryDemand]) {
        let now = Instant::now();
        for EntryDemand { vm, demand, age } in demands {
            if !self.demands_here.borrow().contains(vm) {
                self.store_demand(vm, demand, now.checked_sub(*age).unwrap_or(now));
            }
        }
        self.publish_demands();
    }

    /// Publishes the agents' reports if any has changed.
    pub(crate) fn publish_agents(&self) {
        if !self.views_changed.replace(false) {
            return;
        }
        let now = Instant::now();
        let mut views = self.views.borrow_mut();
        views.retain(|_, view| now.saturating_duration_since(view.received) < AGENT_TTL);
        self.metrics
            .agents
            .set(i64::try_from(views.len()).unwrap_or(i64::MAX));
        self.outputs.agents.send_replace(Arc::new(views.clone()));
    }

    fn on_peer_demand(&self, state: &PeerState) {
        self.demands_here.borrow_mut().insert(state.vm.clone());
        self.store_demand(&state.vm, &state.demand, Instant::now());
        self.publish_demands();
    }

    fn store_demand(&self, vm: &VmId, demand: &Demand, received: Instant) {
        let mut demands = self.demands.borrow_mut();
        // Demand relayed by another entry may be older than the demand that is stored.
        let is_old = demands.get(vm).is_some_and(|it| it.received >= received);
        if *vm == self.cfg.vm || is_old {
            return;
        }
        let view = DemandView {
            demand: demand.clone(),
            received,
        };
        demands.insert(vm.clone(), view);
    }

    fn publish_demands(&self) {
        let now = Instant::now();
        let mut demands = self.demands.borrow_mut();
        demands.retain(|_, it| now.saturating_duration_since(it.received) < DEMAND_TTL);
        self.outputs.demands.send_replace(Arc::new(demands.clone()));
    }

    /// Applies an input to the opener and publishes the resulting changes.
    fn apply<T>(&self, input: impl FnOnce(&mut Opener, Instant) -> T) -> T {
        let mut opener = self.opener.borrow_mut();
        let now = Instant::now();
        let result = input(&mut opener, now);
        let changes = opener.take_changes();
        for service in &changes.services {
            self.log_epochs(service, opener.epochs(now, service));
        }
        self.log_settled(opener.may_grant(now));
        drop(opener);
        if !changes.services.is_empty() {
            self.wake_watchers();
        }
        if changes.peers {
            self.round_due.notify_one();
        }
        result
    }

    fn message(&self, vm: &str, service: &str, seen: &Seen) -> DirectiveMessage {
        let mut directive = self.opener.borrow().directive(Instant::now(), vm);
        directive.state = directive
            .state
            .filter(|state| state.revision > seen.revision);
        let lists = self.lists.borrow();
        let list = lists.get(service);
        let peers_version = list.map_or(0, |list| list.version);
        let unseen = list.filter(|list| list.version != seen.peers_version);
        directive.peers = unseen.map_or_else(Vec::new, |list| list.vms.clone());
        DirectiveMessage {
            directive,
            peers_version,
            has_peers: unseen.is_some(),
        }
    }

    fn store_report(&self, report: Report) {
        let mut views = self.views.borrow_mut();
        let urgent = views
            .get(&report.vm)
            .is_none_or(|view| is_urgent(&view.report, &report));
        let view = AgentView {
            report: Arc::new(report),
            received: Instant::now(),
            remote: false,
        };
        views.insert(view.report.vm.clone(), view);
        self.views_changed.set(true);
        if urgent {
            self.publish_due.notify_one();
        }
    }

    fn wake_watchers(&self) {
        self.directive_changes
            .send_modify(|directive_changes| *directive_changes += 1);
    }

    fn log_epochs(&self, service: &str, epochs: (Option<Epoch>, Epoch)) {
        let (granting, close_below) = epochs;
        let mut logged = self.logged.borrow_mut();
        let last = logged.insert(service.to_owned(), epochs);
        let (last_granting, last_close_below) = last.unwrap_or_default();
        if close_below > last_close_below {
            let epoch = close_below.to_string();
            events::CLOSE_BEGUN.emit(&[("service", service), ("epoch", &epoch)]);
        }
        if let Some(epoch) = granting
            && last_granting != granting
        {
            events::OPENED.emit(&[("service", service), ("epoch", &epoch.to_string())]);
        }
    }

    fn log_settled(&self, settled: bool) {
        if self.settled.replace(settled) == settled {
            return;
        }
        self.metrics.settled.set(i64::from(settled));
        let event = if settled {
            events::SETTLED
        } else {
            events::UNSETTLED
        };
        event.emit(&[]);
    }
}
