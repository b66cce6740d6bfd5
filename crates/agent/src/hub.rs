//! What the agent's request handlers and its tasks share.

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

/// What stays the same while the process runs.
#[derive(Clone, Debug)]
pub(crate) struct Facts {
    /// Name of the agent's VM.
    pub(crate) vm: VmId,
    /// Start of the agent.
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

/// What the agent's tasks found out last.
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
    /// What stays the same.
    pub(crate) facts: Facts,
    /// The ledger of requests.
    pub(crate) requests: Arc<Requests>,
    /// Gate and counts.
    pub(crate) admitter: Arc<Admitter>,
    /// Metrics.
    pub(crate) metrics: Metrics,
    /// Gaps between tokens of late.
    pub(crate) token_gaps: TokenGaps,
    known: Mutex<LastKnown>,
    report_now: Notify,
    check_now: Notify,
}

impl Hub {
    /// Makes a hub that admits nothing yet.
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

    /// Takes a request in, if the ledger, the capacity and the gate let it.
    pub(crate) fn enter(&self, req: AdmissionRequest) -> Result<RequestGuard, Refusal> {
        RequestGuard::enter(&self.requests, &self.admitter, req)
    }

    /// Cancels a request that an entry sent to the start of the agent that `headers` name.
    ///
    /// Invariant: only the start that a request was sent to says that it was not run. The ledger
    /// of an earlier start is gone, and with it what the upstream was given then.
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

    /// Answers a request that does not go on.
    pub(crate) fn refuse(&self, refusal: Refusal) -> Response {
        match refusal {
            Refusal::NotRun(reason) => self.metrics.count_not_run(reason),
            Refusal::Duplicate => self.metrics.count_unknown(answers::DUPLICATE),
        }
        answers::refused(refusal)
    }

    /// Answers a request of which the part `name` can't be read.
    pub(crate) fn refuse_bad(&self, name: &str) -> Response {
        self.metrics.count_not_run(NotRunReason::Refused);
        answers::bad_request(&format!("{name} can't be read"))
    }

    /// Takes note that the engine does not hold the bundle of `epoch` any more.
    pub(crate) fn bundle_missing(&self, epoch: Epoch) {
        events::BUNDLE_MISSING.emit(&[("epoch", &epoch.to_string())]);
        // Closed for requests at once; the task that watches the engine finds out the rest.
        self.set_phase(epoch, WeightsPhase::Fetching, None);
        self.lock().missing.insert(epoch);
        self.check_upstream();
    }

    /// Returns the epochs whose bundle turned out to be missing since the last call.
    pub(crate) fn take_missing(&self) -> BTreeSet<Epoch> {
        std::mem::take(&mut self.lock().missing)
    }

    /// Has the upstream looked at without delay.
    pub(crate) fn check_upstream(&self) {
        self.check_now.notify_one();
    }

    /// Waits until the upstream is to be looked at without delay.
    pub(crate) async fn check_requested(&self) {
        self.check_now.notified().await;
    }

    /// Has a report sent without delay.
    pub(crate) fn request_report(&self) {
        self.report_now.notify_one();
    }

    /// Waits until a report is to be sent without delay.
    pub(crate) async fn report_requested(&self) {
        self.report_now.notified().await;
    }

    /// Tells the gate how far an epoch is.
    pub(crate) fn set_phase(&self, epoch: Epoch, phase: WeightsPhase, bundle: Option<Digest>) {
        let change = self.admitter.lock().gate.set_phase(epoch, phase, bundle);
        self.on_gate_change(change);
        self.request_report();
    }

    /// Tells the gate how far an epoch is, if that is news to it.
    pub(crate) fn update_phase(&self, epoch: Epoch, phase: WeightsPhase, bundle: Option<Digest>) {
        let told = self.admitter.lock().gate.phase(epoch);
        if told != Some(phase) {
            self.set_phase(epoch, phase, bundle);
        }
    }

    /// Returns the epochs that the gate lets go and in which no request runs.
    pub(crate) fn droppable(&self, target: Epoch) -> Vec<Epoch> {
        let gated = self.admitter.lock();
        let mut epochs = gated.gate.droppable(target);
        epochs.retain(|epoch| !gated.running().contains_key(epoch));
        epochs
    }

    /// Has the gate forget an epoch.
    pub(crate) fn remove_epoch(&self, epoch: Epoch) {
        let change = self.admitter.lock().gate.remove_epoch(epoch);
        self.on_gate_change(change);
        self.request_report();
    }

    /// Logs a change of the gate and has it reported.
    pub(crate) fn on_gate_change(&self, change: GateChange) {
        if let Some(epoch) = change.closed_below {
            events::EPOCH_CLOSED.emit(&[("epoch", &epoch.to_string())]);
        }
        if let Some(epoch) = change.opened {
            events::EPOCH_OPENED.emit(&[("epoch", &epoch.to_string())]);
        }
        if change.is_some() {
            self.request_report();
            // What is closed may be dropped.
            self.check_upstream();
        }
    }

    /// Takes a state of the service if its revision is higher; says whether it is.
    ///
    /// Nothing reverts: a state that is as old or older changes nothing.
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

    /// Takes note of a lease that ends at `until`.
    pub(crate) fn record_lease(&self, until: Instant) {
        let mut known = self.lock();
        known.lease_until = known.lease_until.max(Some(until));
    }

    /// Returns how much time of the lease is left.
    pub(crate) fn lease_left(&self) -> Duration {
        let until = self.lock().lease_until;
        until.map_or(Duration::ZERO, |until| {
            until.saturating_duration_since(Instant::now())
        })
    }

    /// Takes note of the engine's load.
    pub(crate) fn set_load(&self, load: Option<EngineLoad>) {
        self.lock().load = load;
    }

    /// Takes note of how many chunks of the newest epoch are there, and of the bytes of all.
    pub(crate) fn set_chunks(&self, chunks: (u32, u32), staged_bytes: u64) {
        let mut known = self.lock();
        known.chunks = chunks;
        known.staged_bytes = staged_bytes;
    }

    /// Returns the bytes of verified chunks in memory.
    pub(crate) fn staged_bytes(&self) -> u64 {
        self.lock().staged_bytes
    }

    /// Takes note of what keeps the agent from going on.
    pub(crate) fn set_trouble(&self, trouble: Option<String>) {
        let mut known = self.lock();
        if known.trouble != trouble {
            known.trouble = trouble;
            drop(known);
            self.request_report();
        }
    }

    /// Stops admission for good; returns whether it was not stopped before.
    pub(crate) fn leave(&self) -> bool {
        let mut gated = self.admitter.lock();
        let is_first = !gated.gate.is_leaving();
        gated.gate.leave();
        drop(gated);
        self.request_report();
        is_first
    }

    /// Returns the report of this moment; the sequence is filled in where it is sent.
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
        // No code panics while it holds the lock, so that the data is whole in any case.
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn revision_of(state: Option<&ServiceState>) -> Offset {
    state.map_or(0, |state| state.revision)
}
