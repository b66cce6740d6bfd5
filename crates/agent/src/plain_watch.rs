//! The watch over a plain service: it has no weights, and is loaded whenever it is well.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use wagtailreel_adapters::PlainService;
use wagtailreel_core::{Bundle, Digest, Epoch, ServiceState, WeightsPhase};

use crate::hub::Hub;

/// Time between two checks of the service's health.
const CHECK_EVERY: Duration = Duration::from_millis(500);

/// Checks in a row that fail until the service counts as away.
const AWAY_AFTER: u32 = 3;

/// Trouble of a service that is not well.
const UNWELL: &str =
    "the plain service does not say it is well: check that it runs at upstream.url";

/// Watches a plain service and tells the gate.
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
    /// Makes a watch that has not checked anything yet.
    pub(crate) fn new(hub: Arc<Hub>, service: P) -> Self {
        Self {
            hub,
            service,
            failures: AWAY_AFTER,
            held: BTreeSet::new(),
        }
    }

    /// Watches for as long as the process runs.
    pub(crate) async fn run(mut self) {
        loop {
            match self.service.healthy().await {
                Ok(()) => self.failures = 0,
                Err(_) => self.failures = self.failures.saturating_add(1),
            }
            self.tell();
            // Either way the next check comes.
            let _ = tokio::time::timeout(CHECK_EVERY, self.hub.check_requested()).await;
        }
    }

    /// Tells the gate of the state's epoch, and lets go of older ones.
    fn tell(&mut self) {
        let is_well = self.failures < AWAY_AFTER;
        let trouble = Some(UNWELL.to_owned()).filter(|_| !is_well);
        self.hub.set_trouble(trouble);
        let Some(state) = self.hub.state() else {
            return;
        };
        if self.names_this_vm(&state) {
            self.held.insert(state.epoch);
        }
        for epoch in self.hub.droppable(state.epoch) {
            self.held.remove(&epoch);
            self.hub.remove_epoch(epoch);
        }
        let phase = match is_well {
            true => WeightsPhase::Loaded,
            false => WeightsPhase::Failed,
        };
        for epoch in &self.held {
            self.hub.update_phase(*epoch, phase, Some(no_weights()));
        }
    }

    fn names_this_vm(&self, state: &ServiceState) -> bool {
        let facts = &self.hub.facts;
        let document = state.document.as_ref();
        document.is_some_and(|document| document.includes_vm(&facts.data_centre, &facts.vm))
    }
}

/// Returns the digest of the bundle of a plain service.
fn no_weights() -> Digest {
    Bundle { parts: Vec::new() }.digest()
}
