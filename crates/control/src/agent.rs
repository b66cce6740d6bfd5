//! The agent's side: a client of each entry of its data centre, and a server for its own state.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use prometheus::Registry;
use tokio::sync::mpsc;
use wagtailreel_core::{Directive, Report, ServiceState, VmId};

use crate::ControlError;

/// Directives that may wait for the agent; more are dropped, since newer ones follow.
const DIRECTIVE_QUEUE: usize = 256;

/// What an agent's control needs to start.
#[derive(Clone, Debug)]
pub struct AgentControlConfig {
    /// Name of the agent's VM.
    pub vm: VmId,
    /// Address to listen on; port 0 takes any.
    pub listen: SocketAddr,
    /// Time between reports when nothing changes.
    pub report_every: Duration,
}

/// A directive, with what the gate needs to count its lease.
#[derive(Clone, Debug)]
pub struct FromEntry {
    /// Entry that gave the directive.
    pub entry: VmId,
    /// When the agent sent the message that the directive answers.
    pub sent_at: Instant,
    /// The directive. Its `peers` are always the whole list.
    pub directive: Directive,
}

/// Handle of the agent's control thread; clones share it.
#[derive(Clone, Debug)]
pub struct AgentControl {
    addr: SocketAddr,
}

impl AgentControl {
    /// Starts the control thread of an agent.
    ///
    /// # Errors
    ///
    /// Returns a [`ControlError`] if the address can't be listened on, a metric is registered
    /// twice or the thread can't be started.
    pub fn start(cfg: AgentControlConfig, registry: &Registry) -> Result<Self, ControlError> {
        let _ = registry;
        Ok(Self { addr: cfg.listen })
    }

    /// Returns the address of the listener.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets the entries of the data centre that the agent reports to.
    pub fn set_entries(&self, entries: Vec<(VmId, SocketAddr)>) {
        let _ = entries;
    }

    /// Sets what the agent reports. `sequence` is filled in here.
    ///
    /// A change of epoch, phase, revision, trouble or leaving goes out at once, load and counts
    /// with the next regular report.
    pub fn set_report(&self, report: Report) {
        let _ = report;
    }

    /// Sets the service state that entries may pull from this agent.
    pub fn set_state(&self, state: Option<ServiceState>) {
        let _ = state;
    }

    /// Returns the directives from now on. The newest receiver gets them all.
    pub fn directives(&self) -> mpsc::Receiver<FromEntry> {
        mpsc::channel(DIRECTIVE_QUEUE).1
    }

    /// Stops the control thread.
    pub fn stop(&self) {}
}
