//! The entry's side: a server for agents and peer entries, and the sync rounds among entries.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use prometheus::Registry;
use tokio::sync::watch;
use wagtailreel_core::{
    CustomerId, DataCentre, Incarnation, Region, Report, ServiceName, StateView, VmEntry, VmId,
};

mod inputs;
mod publish;
mod remote;
mod rounds;
mod server;
mod shell;

use crate::ControlError;
use crate::events;
use crate::link::serve;
use crate::metrics::Metrics;
use crate::thread::{Stopper, adopt, listen, spawn};

use self::inputs::{Inputs, take_inputs};
use self::publish::{Outputs, publish};
use self::remote::poll_remote;
use self::rounds::run_rounds;
use self::shell::Shell;

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

/// Requests that each customer asked of each service lately, a second.
pub type Demand = BTreeMap<ServiceName, BTreeMap<CustomerId, f64>>;

/// What was asked of another entry, of this data centre or another.
#[derive(Clone, Debug, PartialEq)]
pub struct DemandView {
    /// The entry's demand.
    pub demand: Demand,
    /// When it was heard: by this entry, or by the one that told it.
    pub received: Instant,
}

/// The demand of all entries that an entry hears of.
pub type DemandViews = Arc<BTreeMap<VmId, DemandView>>;

/// Handle of the entry's control thread; clones share it, and the thread ends with the last.
#[derive(Clone, Debug)]
pub struct EntryControl {
    addr: SocketAddr,
    inputs: Inputs,
    outputs: Outputs,
    stopper: Stopper,
}

impl EntryControl {
    /// Starts the control thread of an entry.
    ///
    /// # Errors
    ///
    /// Returns a [`ControlError`] if the address can't be listened on, a metric is registered
    /// twice or the thread can't be started.
    pub fn start(cfg: EntryControlConfig, registry: &Registry) -> Result<Self, ControlError> {
        let metrics = Metrics::new(registry)?;
        let (listener, addr) = listen(cfg.listen)?;
        let control = Self {
            addr,
            inputs: Inputs::default(),
            outputs: Outputs::default(),
            stopper: Stopper::new(),
        };
        let inputs = control.inputs.subscribe();
        let outputs = control.outputs.clone();
        let stopped = control.stopper.stopped();
        spawn("entry-control", stopped, move || async move {
            let shell = Rc::new(Shell::new(cfg, addr, metrics, outputs));
            run(shell, listener, inputs).await;
        })?;
        Ok(control)
    }

    /// Returns the address of the listener.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets the entry's configuration. A lower offset or revision changes nothing.
    pub fn set_state(&self, state: StateView) {
        self.inputs.state.send_modify(|known| known.merge(&state));
    }

    /// Sets the entries of all data centres, as the list of VMs and the seeds have them.
    ///
    /// Those of this entry's data centre are synced with, whether they are live or leaving; of
    /// each other data centre one is asked for its agents and its entries' demand.
    pub fn set_entries(&self, entries: Vec<VmEntry>) {
        self.inputs.entries.send_replace(entries);
    }

    /// Sets the upstream VMs of all data centres, as the list of VMs has them.
    pub fn set_vms(&self, vms: Vec<VmEntry>) {
        self.inputs.vms.send_replace(vms);
    }

    /// Sets the demand that other entries are told of.
    pub fn set_demand(&self, demand: Demand) {
        self.inputs.demand.send_replace(demand);
    }

    /// Returns the agents' latest reports. Load and counts are published every few
    /// milliseconds, changes of phase, epoch or leaving at once.
    pub fn agents(&self) -> watch::Receiver<AgentViews> {
        self.outputs.agents.subscribe()
    }

    /// Returns the demand of the other entries: those of the data centre as they say it, those of
    /// other data centres as one entry of each does.
    pub fn demands(&self) -> watch::Receiver<DemandViews> {
        self.outputs.demands.subscribe()
    }

    /// Returns configuration that a peer entry has and this one lacked: it is to be merged into
    /// the fold's state.
    pub fn learned(&self) -> watch::Receiver<StateView> {
        self.outputs.learned.subscribe()
    }

    /// Stops the control thread: no more leases, no more answers.
    pub fn stop(&self) {
        self.stopper.stop();
    }
}

/// Runs everything of one entry until the thread is stopped.
async fn run(shell: Rc<Shell>, listener: TcpListener, inputs: inputs::Receivers) {
    let listener = match adopt(listener) {
        Ok(listener) => listener,
        Err(error) => {
            events::ACCEPT_FAILED.emit(&[("error", &error.to_string())]);
            return;
        }
    };
    events::CONTROL_LISTENING.emit(&[("addr", &shell.addr().to_string())]);
    let bootstrap = server::bootstrap(Rc::clone(&shell));
    tokio::join!(
        serve(listener, bootstrap, shell.metrics().clone()),
        take_inputs(Rc::clone(&shell), inputs),
        run_rounds(Rc::clone(&shell)),
        poll_remote(Rc::clone(&shell)),
        publish(shell),
    );
}
