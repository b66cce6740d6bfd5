//! State shared by the agent's request handlers and tasks.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use axum::response::Response;
use http::{HeaderMap, HeaderValue};
use tokio::sync::Notify;
use wagtailreel_core::headers::INCARNATION;
use wagtailreel_core::{
    DataCentre, Digest, EngineLoad, Epoch, Incarnation, NotRunReason, Offset, Region, Report,
    ServiceName, ServiceState, VmId, WeightsPhase,
};
use wagtailreel_switch::GateChange;

use crate::admitter::Admitter;
use crate::answers;
use crate::events;
use crate::metrics::Metrics;
use crate::pressure::TokenGaps;
use crate::request_guard::{AdmissionRequest, Refusal, RequestGuard, Requests};
use crate::requests::CancelState;

/// Properties that do not change while the process runs.
#[derive(Clone, Debug)]
pub(crate) struct Facts {
    /// Name of the agent's VM.
    pub(crate) vm: VmId,
    /// Identifies this run of the agent process.
    pub(crate) incarnation: Incarnation,
    /// Data centre of the agent.
    pub(crate) data_centre: DataCentre,
    /// Region of the data centre.
    pub(crate) region: Region,
    /// Service of the agent's upstream.
    pub(crate) service: ServiceName,
    /// Address of the data listener.
    pub(crate) data: SocketAddr,
    /// Address of the control listener.
    pub(crate) control: SocketAddr,
    /// Bundles that the engine can hold at once; 0 for a plain service.
    pub(crate) bundles: u32,
}

/// Last state reported by the agent's tasks.
#[derive(Debug, Default)]
struct LastKnown {
    state: Option<ServiceState>,
    load: Option<EngineLoad>,
    chunks: (u32, u32),
    staged_bytes: u64,
    trouble: Option<String>,
    lease_until: Option<Instant>,
    missing: BTreeSet<Epoch>,
}

/// The shared parts of one agent.
#[derive(Debug)]
pub(crate) struct Hub {
    /// Properties that do not change.
    pub(crate) facts: Facts,
    /// The ledger of requests.
    pub(crate) requests: Arc<Requests>,
    /// The gate and the counts of running requests.
    pub(crate) admitter: Arc<Admitter>,
    /// Metrics.
    pub(crate) metrics: Metrics,
    /// Recent gaps between tokens.
    pub(crate) token_gaps: TokenGaps,
    known: Mutex<LastKnown>,
    report_now: Notify,
    check_now: Notify,
}

impl Hub {
    /// Creates a hub whose gate is closed.
    pub(crate) fn new(facts: Facts, capacity: u32, metrics: Metrics) -> Self {
        Self {
            facts,
            requests: Arc::new(Requests::new()),
            admitter: Arc::new(Admitter::new(capacity)),
            metrics,
            token_gaps: TokenGaps::default(),
            known: Mutex::new(LastKnown::default()),
            report_now: Notify::new(),
            check_now: Notify::new(),
        }
    }

    /// Admits a request if the ledger, the capacity and the gate permit.
    pub(crate) fn enter(&self, req: AdmissionRequest) -> Result<RequestGuard, Refusal> {
        RequestGuard::enter(&self.requests, &self.admitter, req)
    }

    /// Cancels a request that an entry sent to the incarnation of the agent named in `headers`.
    ///
    /// Invariant: only the incarnation that a request was sent to may answer that the request was
    /// not run. The ledger of an earlier incarnation is lost, and with it the record of what was
    /// sent to the upstream.
    pub(crate) fn cancel(&self, request: &str, headers: &HeaderMap) -> CancelState {
        let state = self.requests.cancel(request);
        let sent_to = headers.get(INCARNATION).map(HeaderValue::as_bytes);
        let is_other =
            sent_to.is_some_and(|it| it != self.facts.incarnation.to_string().as_bytes());
        match state {
            CancelState::NotRun if is_other => CancelState::Started,
            state => state,
        }
    }

    /// Returns the answer to a refused request.
    pub(crate) fn refuse(&self, refusal: Refusal) -> Response {
        match refusal {
            Refusal::NotRun(reason) => self.metrics.count_not_run(reason),
            Refusal::Duplicate => self.metrics.count_unknown(answers::DUPLICATE),
        }
        answers::refused(refusal)
    }

    /// Returns the answer to a request whose part `name` can't be parsed.
    pub(crate) fn refuse_bad(&self, name: &str) -> Response {
        self.metrics.count_not_run(NotRunReason::Refused);
        answers::bad_request(&format!("{name} can't be read"))
    }

    /// Records that the engine no longer holds the bundle of `epoch`.
    pub(crate) fn bundle_missing(&self, epoch: Epoch) {
        events::BUNDLE_MISSING.emit(&[("epoch", &epoch.to_string())]);
        // Requests are refused at once; the engine watch determines the actual state.
        self.set_phase(epoch, WeightsPhase::Fetching, None);
        self.lock().missing.insert(epoch);
        self.check_upstream();
    }

    /// Takes the epochs whose bundle was found missing since the last call.
    pub(crate) fn take_missing(&self) -> BTreeSet<Epoch> {
        std::mem::take(&mut self.lock().missing)
    }

    /// Requests an immediate check of the upstream.
    pub(crate) fn check_upstream(&self) {
        self.check_now.notify_one();
    }

    /// Waits until an immediate check of the upstream is requested.
    pub(crate) async fn check_requested(&self) {
        self.check_now.notified().await;
    }

    /// Requests that a report is sent immediately.
    pub(crate) fn request_report(&self) {
        self.report_now.notify_one();
    }

    /// Waits until an immediate report is requested.
    pub(crate) async fn report_requested(&self) {
        self.report_now.notified().await;
    }

    /// Sets the phase of an epoch in the gate.
    pub(crate) fn set_phase(&self, epoch: Epoch, phase: WeightsPhase, bundle: Option<Digest>) {
        let change = self.admitter.lock().gate.set_phase(epoch, phase, bundle);
        self.on_gate_change(change);
        self.request_report();
    }

    /// Sets the phase of an epoch in the gate if it differs from the gate's.
    pub(crate) fn update_phase(&self, epoch: Epoch, phase: WeightsPhase, bundle: Option<Digest>) {
        let current = self.admitter.lock().gate.phase(epoch);
        if current != Some(phase) {
            self.set_phase(epoch, phase, bundle);
        }
    }

    /// Returns the epochs that the gate permits dropping and in which no request runs.
    pub(crate) fn droppable(&self, target: Epoch) -> Vec<Epoch> {
        let gated = self.admitter.lock();
        let mut epochs = gated.gate.droppable(target);
        epochs.retain(|epoch| !gated.running().contains_key(epoch));
        epochs
    }

    /// Removes an epoch from the gate.
    pub(crate) fn remove_epoch(&self, epoch: Epoch) {
        let change = self.admitter.lock().gate.remove_epoch(epoch);
        self.on_gate_change(change);
        self.request_report();
    }

    /// Logs a change of the gate and requests a report.
    pub(crate) fn on_gate_change(&self, change: GateChange) {
        if let Some(epoch) = change.closed_below {
            events::EPOCH_CLOSED.emit(&[("epoch", &epoch.to_string())]);
        }
        if let Some(epoch) = change.opened {
            events::EPOCH_OPENED.emit(&[("epoch", &epoch.to_string())]);
        }
        if change.is_some() {
            self.request_report();
            // The bundle of a closed epoch may be unloaded now.
            self.check_upstream();
        }
    }

    /// Applies a state of the service if its revision is higher; returns whether it was applied.
    ///
    /// A state of the same or a lower revision is ignored, so the state never reverts.
    pub(crate) fn apply_state(&self, state: &ServiceState) -> bool {
        let mut known = self.lock();
        let revision = known.state.as_ref().map_or(0, |state| state.revision);
        if state.revision <= revision || state.service != self.facts.service {
            return false;
        }
        known.state = Some(state.clone());
        true
    }

    /// Returns the state of the service.
    pub(crate) fn state(&self) -> Option<ServiceState> {
        self.lock().state.clone()
    }

    /// Records a lease that ends at `until`.
    pub(crate) fn record_lease(&self, until: Instant) {
        let mut known = self.lock();
        known.lease_until = known.lease_until.max(Some(until));
    }

    /// Returns the remaining time of the lease.
    pub(crate) fn lease_left(&self) -> Duration {
        let until = self.lock().lease_until;
        until.map_or(Duration::ZERO, |until| {
            until.saturating_duration_since(Instant::now())
        })
    }

    /// Records the engine's load.
    pub(crate) fn set_load(&self, load: Option<EngineLoad>) {
        self.lock().load = load;
    }

    /// Records the chunk counts of the newest epoch and the bytes of all verified chunks.
    pub(crate) fn set_chunks(&self, chunks: (u32, u32), staged_bytes: u64) {
        let mut known = self.lock();
        known.chunks = chunks;
        known.staged_bytes = staged_bytes;
    }

    /// Returns the bytes of verified chunks in memory.
    pub(crate) fn staged_bytes(&self) -> u64 {
        self.lock().staged_bytes
    }

    /// Records the problem that blocks the agent, and requests a report if it changed.
    pub(crate) fn set_trouble(&self, trouble: Option<String>) {
        let mut known = self.lock();
        if known.trouble != trouble {
            known.trouble = trouble;
            drop(known);
            self.request_report();
        }
    }

    /// Stops admission permanently; returns whether this call stopped it.
    pub(crate) fn leave(&self) -> bool {
        let mut gated = self.admitter.lock();
        let is_first = !gated.gate.is_leaving();
        gated.gate.leave();
        drop(gated);
        self.request_report();
        is_first
    }

    /// Returns the current report; the sender fills in the sequence number.
    pub(crate) fn report(&self) -> Report {
        let (facts, known) = (&self.facts, self.lock());
        let mut report = Report {
            vm: facts.vm.clone(),
            incarnation: facts.incarnation,
            sequence: 0,
            data_centre: facts.data_centre.clone(),
            region: facts.region.clone(),
            service: facts.service.clone(),
            data: facts.data,
            control: facts.control,
            config: revision_of(known.state.as_ref()),
            in_flight: 0,
            capacity: self.admitter.capacity(),
            load: known.load,
            bundles: facts.bundles,
            leaving: false,
            closed_below: 0,
            open: None,
            open_weights: None,
            weights: BTreeMap::new(),
            chunks: known.chunks,
            trouble: known.trouble.clone(),
        };
        drop(known);
        let gated = self.admitter.lock();
        report.in_flight = gated.in_flight();
        gated.gate.fill_report(&mut report);
        report
    }

    fn lock(&self) -> MutexGuard<'_, LastKnown> {
        // No code panics while it holds the lock, so the data is consistent even if the lock is poisoned.
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn revision_of(state: Option<&ServiceState>) -> Offset {
    state.map_or(0, |state| state.revision)
}
