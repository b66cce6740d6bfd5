//! The entry's side of the switch: decides which epochs agents close, which they open, and which
//! agents get a lease.

mod closing;
mod granting;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use wagtailreel_core::{
    DataCentre, Epoch, Incarnation, PeerState, Report, ServiceName, ServicePeerState, StateView,
    VmEntry, VmId, VmRole, VmState,
};

use crate::Timing;
use crate::peers::Peers;
use crate::table::AgentTable;

/// How long the last report of an agent is kept after the last message from the agent.
const AGENT_REPORT_RETENTION: Duration = Duration::from_secs(60);

/// Identity and settings of an entry.
#[derive(Clone, Debug)]
pub struct OpenerConfig {
    /// Name of the entry's VM.
    pub vm: VmId,
    /// Number of this start of the entry's process.
    pub incarnation: Incarnation,
    /// Data centre of the entry.
    pub data_centre: DataCentre,
    /// Address of the entry's control listener, which the entry announces to its peers.
    pub control: SocketAddr,
    /// Length of a lease; the same at all entries of the data centre.
    pub lease: Duration,
}

/// What has to be sent at once.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Services whose agents need a new directive.
    pub services: BTreeSet<ServiceName>,
    /// The other entries need a new [`PeerState`], so a sync round is due now.
    pub peers: bool,
}

/// The switch of one service in this data centre.
#[derive(Clone, Debug, Default)]
struct Switch {
    /// Epochs below this are being closed or are closed. Never falls.
    close_below: Epoch,
    /// The epoch that leases are granted for: `close_below`, or `None`.
    granting: Option<Epoch>,
    /// Time since which enough agents have loaded the target.
    ready_since: Option<Instant>,
    /// The target, and the time since which enough agents have staged its weights to begin to swap.
    staged_since: Option<(Epoch, Instant)>,
    /// The epoch to swap to, and the agents chosen to swap.
    swaps: Option<(Epoch, BTreeSet<VmId>)>,
    /// The state of the service that was last announced to the other entries.
    announced: ServicePeerState,
}

/// Drives the switch of every service of one data centre, as one of its entries.
///
/// The crate's documentation explains why two epochs are never admitted at once.
#[derive(Clone, Debug)]
pub struct Opener {
    cfg: OpenerConfig,
    timing: Timing,
    started_at: Instant,
    peers: Peers,
    table: AgentTable,
    switches: BTreeMap<ServiceName, Switch>,
    state: StateView,
    listed: BTreeMap<ServiceName, usize>,
    changes: Changes,
}

impl Opener {
    /// Creates the opener of an entry that starts at `now`.
    pub fn new(cfg: OpenerConfig, now: Instant) -> Self {
        let timing = Timing::new(cfg.lease);
        Self {
            peers: Peers::new(cfg.vm.clone(), timing),
            cfg,
            timing,
            started_at: now,
            table: AgentTable::default(),
            switches: BTreeMap::new(),
            state: StateView::default(),
            listed: BTreeMap::new(),
            changes: Changes::default(),
        }
    }

    /// Returns the intervals and time-outs that the caller has to use.
    pub fn timing(&self) -> Timing {
        self.timing
    }

    /// Applies configuration from the log or from a peer. Returns whether anything is new.
    pub fn on_state(&mut self, now: Instant, state: &StateView) -> bool {
        let before = self.state.offset;
        let revisions = self.revisions();
        self.state.merge(state);
        let changed: Vec<ServiceName> = self
            .state
            .services
            .iter()
            .filter(|(name, state)| revisions.get(*name) != Some(&state.revision))
            .map(|(name, _)| name.clone())
            .collect();
        for name in &changed {
            self.switches.entry(name.clone()).or_default();
            self.changes.services.insert(name.clone());
        }
        self.advance(now);
        !changed.is_empty() || self.state.offset > before
    }

    /// Returns the configuration.
    pub fn state(&self) -> &StateView {
        &self.state
    }

    /// Applies the entries of the list of VMs. Entries of other data centres are ignored.
    pub fn on_entries(&mut self, now: Instant, entries: &[VmEntry]) {
        let listed: BTreeMap<VmId, SocketAddr> = entries
            .iter()
            .filter(|entry| entry.role == VmRole::Entry)
            .filter(|entry| entry.data_centre == self.cfg.data_centre)
            .map(|entry| (entry.vm.clone(), entry.control))
            .collect();
        self.peers.set_listed(&listed);
        self.advance(now);
    }

    /// Counts the live upstream VMs of each service in the list of VMs.
    pub fn on_vms(&mut self, now: Instant, vms: &[VmEntry]) {
        let mut listed = BTreeMap::new();
        let here = vms
            .iter()
            .filter(|vm| vm.role == VmRole::Upstream && vm.state == VmState::Live)
            .filter(|vm| vm.data_centre == self.cfg.data_centre);
        for service in here.filter_map(|vm| vm.service.as_ref()) {
            *listed.entry(service.clone()).or_default() += 1;
        }
        self.listed = listed;
        self.advance(now);
    }

    /// Applies an agent's report. Returns whether the report is the newest of the agent.
    ///
    /// A late report, or one from an earlier start or another data centre, gets no directive.
    pub fn on_report(&mut self, now: Instant, report: &Report) -> bool {
        if report.data_centre != self.cfg.data_centre {
            return false;
        }
        let relevant = self
            .table
            .newest(&report.vm)
            .is_none_or(|row| affects_switch(&row.report, report));
        if !self.table.on_report(now, report) {
            return false;
        }
        self.adopt_close(&report.service, report.closed_below);
        if relevant {
            self.advance(now);
        }
        true
    }

    /// Records that an agent waits for changes, as a sign of life. Returns whether the agent is
    /// known by this incarnation.
    pub fn on_watch(&mut self, now: Instant, vm: &str, incarnation: Incarnation) -> bool {
        self.table.on_contact(now, vm, incarnation)
    }

    /// Records the start of a sync round, in which the caller calls every peer of [`Opener::peers`].
    pub fn on_round(&mut self, now: Instant) {
        if self.peers.on_round(now) {
            self.stop_granting();
        }
        self.table.evict_silent(now, AGENT_REPORT_RETENTION);
        self.advance(now);
    }

    /// Applies a peer's answer to the call that was started at `started`.
    pub fn on_peer_answer(&mut self, now: Instant, started: Instant, state: &PeerState) {
        if self.peers.on_answer(now, started, state) {
            self.adopt_closes(state);
        }
        self.advance(now);
    }

    /// Records that the call started at `started` to a peer failed or timed out.
    pub fn on_peer_failure(&mut self, now: Instant, started: Instant, vm: &str) {
        self.peers.on_failure(vm, started);
        self.advance(now);
    }

    /// Applies the state that a peer sent in a call of its own.
    pub fn on_peer_call(&mut self, now: Instant, state: &PeerState) {
        if self.peers.on_call(now, state) {
            self.adopt_closes(state);
        }
        self.advance(now);
    }

    /// Returns the peers to call in a sync round.
    pub fn peers(&self) -> BTreeMap<VmId, SocketAddr> {
        self.peers
            .addresses()
            .map(|(vm, control)| (vm.clone(), control))
            .collect()
    }

    /// Returns whether a peer has been unreachable for the grace time. Such a peer may be called
    /// less often.
    pub fn is_gone(&self, now: Instant, vm: &str) -> bool {
        self.peers.is_gone(now, vm)
    }

    /// Returns the last known states of the peers.
    pub fn peer_states(&self) -> impl Iterator<Item = &PeerState> {
        self.peers.states()
    }

    /// Returns the state to send to the other entries of the data centre. The caller adds `demand`.
    pub fn peer_state(&self, now: Instant) -> PeerState {
        let mut entries = self.peers.present(now);
        entries.insert(self.cfg.vm.clone(), self.cfg.control);
        let services = self
            .switches
            .iter()
            .map(|(name, switch)| (name.clone(), self.service_peer_state(now, name, switch)))
            .collect();
        PeerState {
            vm: self.cfg.vm.clone(),
            incarnation: self.cfg.incarnation,
            config: self.state.offset,
            settled: self.peers.may_grant(now),
            entries,
            services,
            demand: BTreeMap::new(),
        }
    }

    /// Returns and clears what has to be sent since the last call.
    pub fn take_changes(&mut self) -> Changes {
        std::mem::take(&mut self.changes)
    }

    /// Returns whether this entry may grant leases at `now`.
    pub fn may_grant(&self, now: Instant) -> bool {
        self.peers.may_grant(now)
    }

    /// Returns the epoch that leases of `service` are granted for, and the service's `close_below`.
    pub fn epochs(&self, now: Instant, service: &str) -> (Option<Epoch>, Epoch) {
        self.switches.get(service).map_or((None, 0), |switch| {
            (self.granted(now, switch), switch.close_below)
        })
    }

    /// Takes every step of any switch that is due.
    fn advance(&mut self, now: Instant) {
        self.peers.settle(now);
        let names: Vec<ServiceName> = self.switches.keys().cloned().collect();
        for name in names {
            // Removed for the call, because the method borrows the rest of `self`.
            let Some(mut switch) = self.switches.remove(&name) else {
                continue;
            };
            self.advance_service(now, &name, &mut switch);
            self.switches.insert(name, switch);
        }
    }

    fn advance_service(&mut self, now: Instant, name: &ServiceName, switch: &mut Switch) {
        if self.should_close(now, name, switch) {
            switch.close_below = self.target(name);
            self.changes.services.insert(name.clone());
        }
        if switch.granting != Some(switch.close_below) {
            // Invariant: an entry grants leases only for its own `close_below`.
            switch.granting = None;
        }
        if switch.granting.is_none() && self.may_open(now, name, switch) {
            switch.granting = Some(switch.close_below);
            self.changes.services.insert(name.clone());
        }
        let state = self.service_peer_state(now, name, switch);
        if state != switch.announced {
            switch.announced = state;
            self.changes.peers = true;
        }
    }

    fn target(&self, name: &str) -> Epoch {
        self.state.services.get(name).map_or(0, |state| state.epoch)
    }

    fn revisions(&self) -> BTreeMap<ServiceName, u64> {
        self.state
            .services
            .iter()
            .map(|(name, state)| (name.clone(), state.revision))
            .collect()
    }

    fn adopt_closes(&mut self, state: &PeerState) {
        for (service, peer) in &state.services {
            self.adopt_close(service, peer.close_below);
        }
    }

    /// Adopts a close that another process has begun. Closing never admits a request, so it needs
    /// no check.
    fn adopt_close(&mut self, service: &ServiceName, close_below: Epoch) {
        if !self.switches.contains_key(service) {
            self.switches.insert(service.clone(), Switch::default());
        }
        if let Some(switch) = self.switches.get_mut(service)
            && close_below > switch.close_below
        {
            switch.close_below = close_below;
            switch.granting = None;
            self.changes.services.insert(service.clone());
            self.changes.peers = true;
        }
    }

    /// Stops granting leases until the conditions for each epoch have been checked again.
    fn stop_granting(&mut self) {
        for (name, switch) in &mut self.switches {
            switch.granting = None;
            self.changes.services.insert(name.clone());
        }
    }
}

/// Returns whether a report changes anything that a step of the switch depends on.
fn affects_switch(before: &Report, after: &Report) -> bool {
    before.incarnation != after.incarnation
        || before.closed_below != after.closed_below
        || before.weights != after.weights
        || before.leaving != after.leaving
        || before.bundles != after.bundles
        || before.service != after.service
}
