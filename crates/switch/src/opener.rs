//! The entry's side of the switch: who is told to close, who to open, and who gets a lease.

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
use crate::table::Table;

/// How long an agent's last report is kept after it fell silent.
const FORGET_AGENT: Duration = Duration::from_secs(60);

/// Who an entry is.
#[derive(Clone, Debug)]
pub struct OpenerConfig {
    /// Name of the entry's VM.
    pub vm: VmId,
    /// Start of the entry.
    pub incarnation: Incarnation,
    /// Data centre of the entry.
    pub data_centre: DataCentre,
    /// Address of the entry's control listener, which it tells the others.
    pub control: SocketAddr,
    /// Length of a lease; the same at all entries of the data centre.
    pub lease: Duration,
}

/// What has to go out at once.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Services whose agents have to get a new directive.
    pub services: BTreeSet<ServiceName>,
    /// The other entries have to get a new [`PeerState`]: a sync round is due now.
    pub peers: bool,
}

/// One service in this data centre.
#[derive(Clone, Debug, Default)]
struct Switch {
    /// Epochs below this are being closed or are closed. Never falls.
    close_below: Epoch,
    /// The epoch that leases are granted for. It is `close_below` or none.
    granting: Option<Epoch>,
    /// Since when enough agents have loaded the target.
    ready_since: Option<Instant>,
    /// The target, and since when enough agents have its weights at hand to begin to swap.
    at_hand_since: Option<(Epoch, Instant)>,
    /// Agents chosen to swap, and the epoch to swap to.
    swaps: Option<(Epoch, BTreeSet<VmId>)>,
    /// What the other entries were last told of closing.
    told: ServicePeerState,
}

/// Drives the switch of every service of one data centre, as one of its entries.
///
/// See the crate's documentation for why it is safe.
#[derive(Clone, Debug)]
pub struct Opener {
    cfg: OpenerConfig,
    timing: Timing,
    born: Instant,
    peers: Peers,
    table: Table,
    switches: BTreeMap<ServiceName, Switch>,
    state: StateView,
    listed: BTreeMap<ServiceName, usize>,
    changes: Changes,
}

impl Opener {
    /// Makes the opener of an entry that starts at `now`.
    pub fn new(cfg: OpenerConfig, now: Instant) -> Self {
        let timing = Timing::new(cfg.lease);
        Self {
            peers: Peers::new(cfg.vm.clone(), timing),
            cfg,
            timing,
            born: now,
            table: Table::default(),
            switches: BTreeMap::new(),
            state: StateView::default(),
            listed: BTreeMap::new(),
            changes: Changes::default(),
        }
    }

    /// Returns the times by which the shell runs.
    pub fn timing(&self) -> Timing {
        self.timing
    }

    /// Takes in configuration, from the log or from a peer. Returns whether anything is new.
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

    /// Takes in the entries of the list of VMs; those of other data centres are passed over.
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

    /// Takes in the upstream VMs of the list of VMs, to know how many a service has.
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

    /// Takes in an agent's report. Returns whether it is the newest: a late one, or one of an
    /// earlier start or another data centre, gets no directive.
    pub fn on_report(&mut self, now: Instant, report: &Report) -> bool {
        if report.data_centre != self.cfg.data_centre {
            return false;
        }
        let matters = self
            .table
            .newest(&report.vm)
            .is_none_or(|row| differs(&row.report, report));
        if !self.table.on_report(now, report) {
            return false;
        }
        self.adopt(&report.service, report.closed_below);
        if matters {
            self.advance(now);
        }
        true
    }

    /// Takes in an agent's wish to wait for news. Returns whether the agent is known.
    pub fn on_watch(&mut self, now: Instant, vm: &str, incarnation: Incarnation) -> bool {
        self.table.on_contact(now, vm, incarnation)
    }

    /// Notes the start of a sync round, in which every peer of [`Opener::peers`] is called.
    pub fn on_round(&mut self, now: Instant) {
        if self.peers.on_round(now) {
            self.withdraw();
        }
        self.table.forget_silent(now, FORGET_AGENT);
        self.advance(now);
    }

    /// Takes in a peer's answer to the call that was started at `started`.
    pub fn on_peer_answer(&mut self, now: Instant, started: Instant, state: &PeerState) {
        if self.peers.on_answer(now, started, state) {
            self.adopt_all(state);
        }
        self.advance(now);
    }

    /// Notes that the call started at `started` to a peer failed or was not answered in time.
    pub fn on_peer_failure(&mut self, now: Instant, started: Instant, vm: &str) {
        self.peers.on_failure(vm, started);
        self.advance(now);
    }

    /// Takes in a peer's call.
    pub fn on_peer_call(&mut self, now: Instant, state: &PeerState) {
        if self.peers.on_call(now, state) {
            self.adopt_all(state);
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

    /// Says whether a peer has been out of reach for so long that it may be called less often.
    pub fn is_gone(&self, now: Instant, vm: &str) -> bool {
        self.peers.is_gone(now, vm)
    }

    /// Returns what the peers last said.
    pub fn peer_states(&self) -> impl Iterator<Item = &PeerState> {
        self.peers.states()
    }

    /// Returns what this entry tells the others of its data centre. The shell adds the demand.
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

    /// Returns what has to go out since the last call.
    pub fn take_changes(&mut self) -> Changes {
        std::mem::take(&mut self.changes)
    }

    /// Says whether this entry grants leases at all.
    pub fn may_grant(&self, now: Instant) -> bool {
        self.peers.may_grant(now)
    }

    /// Returns the epoch that leases of `service` are granted for, and the one closed below.
    pub fn epochs(&self, now: Instant, service: &str) -> (Option<Epoch>, Epoch) {
        self.switches.get(service).map_or((None, 0), |switch| {
            (self.granted(now, switch), switch.close_below)
        })
    }

    /// Takes every step that is due.
    fn advance(&mut self, now: Instant) {
        self.peers.settle(now);
        let names: Vec<ServiceName> = self.switches.keys().cloned().collect();
        for name in names {
            // Taken out so that the rest of `self` can be read meanwhile.
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
            // Invariant: an entry grants only what it has closed everything below.
            switch.granting = None;
        }
        if switch.granting.is_none() && self.may_open(now, name, switch) {
            switch.granting = Some(switch.close_below);
            self.changes.services.insert(name.clone());
        }
        let telling = self.service_peer_state(now, name, switch);
        if telling != switch.told {
            switch.told = telling;
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

    fn adopt_all(&mut self, state: &PeerState) {
        for (service, peer) in &state.services {
            self.adopt(service, peer.close_below);
        }
    }

    /// Takes over a close that was begun elsewhere. Closing is always safe.
    fn adopt(&mut self, service: &ServiceName, close_below: Epoch) {
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

    /// Grants nothing until the conditions have been checked anew.
    fn withdraw(&mut self) {
        for (name, switch) in &mut self.switches {
            switch.granting = None;
            self.changes.services.insert(name.clone());
        }
    }
}

/// Says whether a report changes anything that a step of the switch depends on.
fn differs(before: &Report, after: &Report) -> bool {
    before.incarnation != after.incarnation
        || before.closed_below != after.closed_below
        || before.weights != after.weights
        || before.leaving != after.leaving
        || before.bundles != after.bundles
        || before.service != after.service
}
