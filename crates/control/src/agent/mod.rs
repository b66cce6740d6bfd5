//! The agent's side: a client of each entry of its data centre, and a server for its own state.

mod reporter;
mod server;
mod shell;

use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::{Duration, Instant};

use prometheus::Registry;
use tokio::sync::mpsc;
use wagtailreel_core::{Directive, Report, ServiceState, VmId};

use crate::ControlError;
use crate::events;
use crate::link::serve;
use crate::metrics::Metrics;
use crate::thread::{Stopper, adopt, listen, spawn};

use self::reporter::run_reporters;
use self::shell::{Inputs, Shell};

/// Capacity of the agent's queue of directives. Directives beyond it are dropped, since newer ones follow.
const DIRECTIVE_QUEUE: usize = 256;

/// Configuration of an agent's control thread.
#[derive(Clone, Debug)]
pub struct AgentControlConfig {
    /// Name of the agent's VM.
    pub vm: VmId,
    /// Address to listen on; port 0 takes any.
    pub listen: SocketAddr,
    /// Time between reports when nothing changes.
    pub report_interval: Duration,
}

/// A directive, with what the gate needs to compute the end of its lease.
#[derive(Clone, Debug)]
pub struct FromEntry {
    /// Entry that gave the directive.
    pub entry: VmId,
    /// When the agent sent the message that the directive answers.
    pub sent_at: Instant,
    /// The directive. Its `peers` are always the whole list.
    pub directive: Directive,
}

/// Handle of the agent's control thread. Clones share it, and the thread ends when the last one is dropped.
#[derive(Clone, Debug)]
pub struct AgentControl {
    addr: SocketAddr,
    inputs: Inputs,
    stopper: Stopper,
}

impl AgentControl {
    /// Starts the control thread of an agent.
    ///
    /// # Errors
    ///
    /// Returns a [`ControlError`] if the address can't be listened on, a metric is registered
    /// twice or the thread can't be started.
    pub fn start(cfg: AgentControlConfig, registry: &Registry) -> Result<Self, ControlError> {
        let metrics = Metrics::new(registry)?;
        let (listener, addr) = listen(cfg.listen)?;
        let control = Self {
            addr,
            inputs: Inputs::default(),
            stopper: Stopper::new(),
        };
        let inputs = control.inputs.clone();
        let stopped = control.stopper.stopped();
        spawn("agent-control", stopped, move || async move {
            run(Rc::new(Shell::new(cfg, metrics, inputs)), listener, addr).await;
        })?;
        Ok(control)
    }

    /// Returns the address of the listener.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets the entries of the data centre that the agent reports to.
    pub fn set_entries(&self, entries: Vec<(VmId, SocketAddr)>) {
        self.inputs.entries.send_replace(entries);
    }

    /// Sets what the agent reports. `sequence` is filled in here.
    ///
    /// A change of epoch, phase, revision, trouble or leaving is sent at once, load and counts are
    /// sent with the next regular report.
    pub fn set_report(&self, report: Report) {
        self.inputs.report.send_replace(Some(report));
    }

    /// Sets the service state that a starting process may pull from this agent.
    pub fn set_state(&self, state: Option<ServiceState>) {
        self.inputs.state.send_replace(state);
    }

    /// Returns a receiver of the directives from now on. Earlier receivers get no more of them.
    pub fn directives(&self) -> mpsc::Receiver<FromEntry> {
        let (tx, rx) = mpsc::channel(DIRECTIVE_QUEUE);
        self.inputs.directives.send_replace(Some(tx));
        rx
    }

    /// Stops the control thread.
    pub fn stop(&self) {
        self.stopper.stop();
    }
}

/// Runs the server and the reporters of one agent until the thread is stopped.
async fn run(shell: Rc<Shell>, listener: TcpListener, addr: SocketAddr) {
    let listener = match adopt(listener) {
        Ok(listener) => listener,
        Err(error) => {
            events::ACCEPT_FAILED.emit(&[("error", &error.to_string())]);
            return;
        }
    };
    events::CONTROL_LISTENING.emit(&[("addr", &addr.to_string())]);
    let bootstrap = server::bootstrap(Rc::clone(&shell));
    tokio::join!(
        serve(listener, bootstrap, shell.metrics().clone()),
        run_reporters(shell),
    );
}
