//! Monitors a plain service. The service has no weights and counts as loaded whenever it is healthy.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use wagtailreel_adapters::PlainService;
use wagtailreel_core::{Bundle, Digest, Epoch, ServiceState, WeightsPhase};

use crate::hub::Hub;

/// Time between two checks of the service's health.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Consecutive failed checks after which the service counts as unhealthy.
const UNHEALTHY_AFTER_FAILURES: u32 = 3;

/// Trouble that the agent reports while the service is unhealthy.
const UNHEALTHY: &str =
    "the plain service does not say it is well: check that it runs at upstream.url";

/// Checks a plain service and updates the gate.
#[derive(Debug)]
pub(crate) struct PlainWatch<P> {
    hub: Arc<Hub>,
    service: P,
    failures: u32,
    held: BTreeSet<Epoch>,
}

impl<P> PlainWatch<P>
where
    P: PlainService,
{
    /// Creates a watch that has not checked the service yet.
    pub(crate) fn new(hub: Arc<Hub>, service: P) -> Self {
        Self {
            hub,
            service,
            failures: UNHEALTHY_AFTER_FAILURES,
            held: BTreeSet::new(),
        }
    }

    /// Checks the service for as long as the process runs.
    pub(crate) async fn run(mut self) {
        loop {
            match self.service.healthy().await {
                Ok(()) => self.failures = 0,
                Err(_) => self.failures = self.failures.saturating_add(1),
            }
            self.update_gate();
            // The next check starts after the interval, or earlier if a check is requested.
            let _ = tokio::time::timeout(CHECK_INTERVAL, self.hub.check_requested()).await;
        }
    }

    /// Updates the phases of the held epochs at the gate, and drops epochs that are no longer needed.
    fn update_gate(&mut self) {
        let is_healthy = self.failures < UNHEALTHY_AFTER_FAILURES;
        let trouble = Some(UNHEALTHY.to_owned()).filter(|_| !is_healthy);
        self.hub.set_trouble(trouble);
        let Some(state) = self.hub.state() else {
            return;
        };
        if self.includes_this_vm(&state) {
            self.held.insert(state.epoch);
        }
        for epoch in self.hub.droppable(state.epoch) {
            self.held.remove(&epoch);
            self.hub.remove_epoch(epoch);
        }
        let phase = match is_healthy {
            true => WeightsPhase::Loaded,
            false => WeightsPhase::Failed,
        };
        for epoch in &self.held {
            self.hub
                .update_phase(*epoch, phase, Some(empty_bundle_digest()));
        }
    }

    fn includes_this_vm(&self, state: &ServiceState) -> bool {
        let facts = &self.hub.facts;
        let document = state.document.as_ref();
        document.is_some_and(|document| document.includes_vm(&facts.data_centre, &facts.vm))
    }
}

/// Returns the digest of the empty bundle, which stands for a plain service.
fn empty_bundle_digest() -> Digest {
    Bundle { parts: Vec::new() }.digest()
}
