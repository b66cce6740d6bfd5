//! Measures the time until new weights are live: open at as many VMs as the document wants, in every data
//! centre.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use wagtailreel_control::{AgentView, AgentViews};
use wagtailreel_core::{Document, Epoch, Place, ServiceKind, ServiceName, ServiceState};

use crate::metrics::Metrics;

/// An epoch that was accepted and is not live everywhere yet.
#[derive(Clone, Debug)]
struct PendingEpoch {
    epoch: Epoch,
    since: Instant,
    document: Box<Document>,
}

/// The pending epochs: the newest of each service.
///
/// Each epoch is reported at most once. It is removed when it is live, when a newer one replaces it, and when
/// the service is deleted.
#[derive(Debug, Default)]
struct PendingEpochs {
    services: BTreeMap<ServiceName, PendingEpoch>,
}

impl PendingEpochs {
    /// Records an accepted edit, which this entry folded at `now`.
    fn accepted(&mut self, state: &ServiceState, now: Instant) {
        let Some(document) = &state.document else {
            self.services.remove(&state.service);
            return;
        };
        // An edit that keeps the epoch may change which VMs the pending one needs, not its start time.
        if state.epoch != state.revision {
            if let Some(pending) = self.services.get_mut(&state.service) {
                pending.document = document.clone();
            }
            return;
        }
        if document.kind != ServiceKind::Engine {
            self.services.remove(&state.service);
            return;
        }
        let pending = PendingEpoch {
            epoch: state.epoch,
            since: now,
            document: document.clone(),
        };
        self.services.insert(state.service.clone(), pending);
    }

    /// Applies the agents' reports as of `now`; returns the services whose epoch is now live, and how long
    /// that took.
    fn reports(&mut self, agents: &AgentViews, now: Instant) -> Vec<(ServiceName, Duration)> {
        let live: Vec<(ServiceName, Duration)> = self
            .services
            .iter()
            .filter(|(name, pending)| pending.is_live(name, agents))
            .map(|(name, pending)| (name.clone(), now.saturating_duration_since(pending.since)))
            .collect();
        for (name, _) in &live {
            self.services.remove(name);
        }
        live
    }
}

impl PendingEpoch {
    fn is_live(&self, service: &str, agents: &AgentViews) -> bool {
        let open = |place: &Place| {
            agents
                .values()
                .filter(|view| self.is_open(service, place, view))
                .count()
        };
        self.document
            .places
            .iter()
            .all(|place| open(place) >= usize::try_from(place.ready).unwrap_or(usize::MAX))
    }

    /// Returns whether the agent is one of `place` that accepts requests with the pending epoch.
    fn is_open(&self, service: &str, place: &Place, view: &AgentView) -> bool {
        let report = &view.report;
        report.service == service
            && report.data_centre == place.data_centre
            && self.document.includes_vm(&report.data_centre, &report.vm)
            && report.open == Some(self.epoch)
            && !report.leaving
    }
}

/// Measures the time until new weights are live.
#[derive(Debug)]
pub(crate) struct GoLiveTimer {
    pending: Mutex<PendingEpochs>,
    metrics: Metrics,
}

impl GoLiveTimer {
    /// Creates a timer without pending epochs.
    pub(crate) fn new(metrics: Metrics) -> Self {
        Self {
            pending: Mutex::default(),
            metrics,
        }
    }

    /// Records the state of a service after an edit that was accepted just now.
    pub(crate) fn accepted(&self, state: &ServiceState) {
        self.lock().accepted(state, Instant::now());
    }

    /// Applies the agents' latest reports, including those from remote data centres.
    pub(crate) fn reports(&self, agents: &AgentViews) {
        let live = self.lock().reports(agents, Instant::now());
        for (service, took) in live {
            self.metrics
                .time_to_live
                .with_label_values(&[&service])
                .observe(took.as_secs_f64());
        }
    }

    fn lock(&self) -> MutexGuard<'_, PendingEpochs> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
