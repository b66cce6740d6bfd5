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

/// Configuration of an entry's control thread.
#[derive(Clone, Debug)]
pub struct EntryControlConfig {
    /// Name of the entry's VM.
    pub vm: VmId,
    /// Incarnation of the entry: a number that differs at each start.
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
    /// The report.
    pub report: Arc<Report>,
    /// When it was received by the entry that the agent reports to.
    pub received: Instant,
    /// Whether the agent is in another data centre, so that an entry there relayed the report.
    pub remote: bool,
}

/// All agents that an entry knows.
pub type AgentViews = Arc<BTreeMap<VmId, AgentView>>;

/// Recent request rate of each customer at each service, in requests per second.
pub type Demand = BTreeMap<ServiceName, BTreeMap<CustomerId, f64>>;

/// Demand at another entry, of this data centre or another.
#[derive(Clone, Debug, PartialEq)]
pub struct DemandView {
    /// The entry's demand.
    pub demand: Demand,
    /// When the demand was received, by this entry or by the one that relayed it.
    pub received: Instant,
}

/// The demand of all other entries that an entry knows.
pub type DemandViews = Arc<BTreeMap<VmId, DemandView>>;

/// Handle of the entry's control thread. Clones share it, and the thread ends when the last one is dropped.
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
    /// This entry syncs with those of its own data centre, whether they are live or leaving. It polls
    /// one entry of each other data centre for its agents and its entries' demand.
    pub fn set_entries(&self, entries: Vec<VmEntry>) {
        self.inputs.entries.send_replace(entries);
    }

    /// Sets the upstream VMs of all data centres, as the list of VMs has them.
    pub fn set_vms(&self, vms: Vec<VmEntry>) {
        self.inputs.vms.send_replace(vms);
    }

    /// Sets this entry's demand, which is sent to other entries.
    pub fn set_demand(&self, demand: Demand) {
        self.inputs.demand.send_replace(demand);
    }

    /// Returns the agents' latest reports. Load and counts are published every few
    /// milliseconds, changes of phase, epoch or leaving at once.
    pub fn agents(&self) -> watch::Receiver<AgentViews> {
        self.outputs.agents.subscribe()
    }

    /// Returns the demand of the other entries. Those of this data centre send it themselves; one
    /// entry of each other data centre relays it for all entries there.
    pub fn demands(&self) -> watch::Receiver<DemandViews> {
        self.outputs.demands.subscribe()
    }

    /// Returns configuration that a peer entry had and this one lacked. The caller merges it into
    /// the fold's state.
    pub fn learned(&self) -> watch::Receiver<StateView> {
        self.outputs.learned.subscribe()
    }

    /// Stops the control thread. The entry then grants no leases and answers no calls.
    pub fn stop(&self) {
        self.stopper.stop();
    }
}

/// Runs the server, the sync rounds and the polls of one entry until the thread is stopped.
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
