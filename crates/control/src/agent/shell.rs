//! State of an agent's control thread.

use std::cell::Cell;
use std::net::SocketAddr;

use tokio::sync::{mpsc, watch};
use wagtailreel_core::{Report, ServiceState, StateView, VmId};

use super::{AgentControlConfig, FromEntry};
use crate::events;
use crate::metrics::Metrics;

/// Inputs of the control thread from the agent's other threads. Each holds the latest value only.
#[derive(Clone, Debug, Default)]
pub(crate) struct Inputs {
    pub(crate) entries: watch::Sender<Vec<(VmId, SocketAddr)>>,
    pub(crate) report: watch::Sender<Option<Report>>,
    pub(crate) state: watch::Sender<Option<ServiceState>>,
    pub(crate) directives: watch::Sender<Option<mpsc::Sender<FromEntry>>>,
}

/// State of an agent's control thread.
pub(crate) struct Shell {
    pub(crate) cfg: AgentControlConfig,
    metrics: Metrics,
    entries: watch::Receiver<Vec<(VmId, SocketAddr)>>,
    report: watch::Receiver<Option<Report>>,
    state: watch::Receiver<Option<ServiceState>>,
    directives: watch::Receiver<Option<mpsc::Sender<FromEntry>>>,
    sequence: Cell<u64>,
}

impl Shell {
    pub(crate) fn new(cfg: AgentControlConfig, metrics: Metrics, inputs: Inputs) -> Self {
        Self {
            cfg,
            metrics,
            entries: inputs.entries.subscribe(),
            report: inputs.report.subscribe(),
            state: inputs.state.subscribe(),
            directives: inputs.directives.subscribe(),
            sequence: Cell::new(0),
        }
    }

    pub(crate) fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    pub(crate) fn entries(&self) -> watch::Receiver<Vec<(VmId, SocketAddr)>> {
        self.entries.clone()
    }

    pub(crate) fn reports(&self) -> watch::Receiver<Option<Report>> {
        self.report.clone()
    }

    /// Returns the latest report with the next sequence number, if there is one yet.
    pub(crate) fn next_report(&self) -> Option<Report> {
        let mut report = self.report.borrow().clone()?;
        self.sequence.set(self.sequence.get() + 1);
        report.sequence = self.sequence.get();
        Some(report)
    }

    /// Returns the configuration that the agent has.
    pub(crate) fn state(&self) -> StateView {
        let mut view = StateView::default();
        if let Some(state) = &*self.state.borrow() {
            // The agent has the state of its own service only, as of the revision that last changed it.
            view.offset = state.revision;
            view.services.insert(state.service.clone(), state.clone());
        }
        view
    }

    /// Passes a directive to the agent. Returns whether the queue accepted it.
    pub(crate) fn deliver(&self, from: FromEntry) -> bool {
        let Some(tx) = self.directives.borrow().clone() else {
            return false;
        };
        let entry = from.entry.clone();
        let taken = tx.try_send(from).is_ok();
        if !taken {
            self.metrics.directives_dropped.inc();
            events::DIRECTIVE_DROPPED.emit(&[("entry", &entry)]);
        }
        taken
    }
}
