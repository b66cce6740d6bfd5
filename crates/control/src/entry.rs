//! The entry's side: a server for agents and peer entries, and the sync rounds among entries.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use prometheus::Registry;
use tokio::sync::watch;
use wagtailreel_core::{
    CustomerId, DataCentre, Incarnation, PeerState, Region, Report, ServiceName, StateView,
    VmEntry, VmId,
};

use crate::ControlError;

/// What an entry's control needs to start.
#[derive(Clone, Debug)]
pub struct EntryControlConfig {
    /// Name of the entry's VM.
    pub vm: VmId,
    /// Start of the entry.
    pub incarnation: Incarnation,
    /// Data centre of the entry.
    pub data_centre: DataCentre,
    /// Region of the data centre.
    pub region: Region,
    /// Address to listen on; port 0 takes any.
    pub listen: SocketAddr,
    /// How long an agent may admit requests after a report; the same at all entries.
    pub lease: Duration,
}

/// The latest report of one agent.
#[derive(Clone, Debug)]
pub struct AgentView {
    /// What the agent said.
    pub report: Arc<Report>,
    /// When it was received by the entry that the agent reports to.
    pub received: Instant,
    /// The agent is in another data centre, and the report came over an entry there.
    pub remote: bool,
}

/// All agents that an entry knows.
pub type AgentViews = Arc<BTreeMap<VmId, AgentView>>;

/// All entries of the data centre that an entry is in touch with.
pub type PeerViews = Arc<BTreeMap<VmId, PeerState>>;

/// Requests that each customer asked of each service lately, a second.
pub type Demand = BTreeMap<ServiceName, BTreeMap<CustomerId, f64>>;

/// Handle of the entry's control thread; clones share it.
#[derive(Clone, Debug)]
pub struct EntryControl {
    addr: SocketAddr,
    agents: watch::Sender<AgentViews>,
    peers: watch::Sender<PeerViews>,
    learned: watch::Sender<StateView>,
}

impl EntryControl {
    /// Starts the control thread of an entry.
    ///
    /// # Errors
    ///
    /// Returns a [`ControlError`] if the address can't be listened on, a metric is registered
    /// twice or the thread can't be started.
    pub fn start(cfg: EntryControlConfig, registry: &Registry) -> Result<Self, ControlError> {
        let _ = registry;
        Ok(Self {
            addr: cfg.listen,
            agents: watch::Sender::default(),
            peers: watch::Sender::default(),
            learned: watch::Sender::default(),
        })
    }

    /// Returns the address of the listener.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets the entry's configuration. A lower offset or revision changes nothing.
    pub fn set_state(&self, state: StateView) {
        let _ = state;
    }

    /// Sets the entries of all data centres, as the list of VMs and the seeds have them.
    pub fn set_entries(&self, entries: Vec<VmEntry>) {
        let _ = entries;
    }

    /// Sets the upstream VMs, as the list of VMs has them.
    pub fn set_vms(&self, vms: Vec<VmEntry>) {
        let _ = vms;
    }

    /// Sets the demand that other entries of the data centre are told of.
    pub fn set_demand(&self, demand: Demand) {
        let _ = demand;
    }

    /// Returns the agents' latest reports. Load and counts are published every few
    /// milliseconds, changes of phase, epoch or leaving at once.
    pub fn agents(&self) -> watch::Receiver<AgentViews> {
        self.agents.subscribe()
    }

    /// Returns what the other entries of the data centre last said.
    pub fn peers(&self) -> watch::Receiver<PeerViews> {
        self.peers.subscribe()
    }

    /// Returns configuration that a peer entry has and this one lacked: it is to be merged into
    /// the fold's state.
    pub fn learned(&self) -> watch::Receiver<StateView> {
        self.learned.subscribe()
    }

    /// Stops the control thread: no more leases, no more answers.
    pub fn stop(&self) {}
}
