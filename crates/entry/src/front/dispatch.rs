//! Sends one request to upstreams until one accepts it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{
    HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, Uri, header,
};
use hyper::body::Incoming;
use wagtailreel_adapters::{Body, Effect, PlatformError, encode_segment, retry_after};
use wagtailreel_core::headers::{DEADLINE_MS, EPOCH, PRIORITY, WEIGHTS};
use wagtailreel_core::{Digest, Epoch, NotRunReason, Outcome, Priority, ServiceKind, headers};
use wagtailreel_route::{
    AttemptEnd, Attempts, AttemptsConfig, CancelState, Next, Repeat, Requirements, prefix_of,
};

use crate::claims::ClaimTicket;
use crate::events;
use crate::front::answer::{Denial, OUTCOME, REASON};
use crate::front::attempt::Attempt;
use crate::front::head::RequestHead;
use crate::metrics::StreamTimes;
use crate::service::{AdmissionTicket, Slot};
use crate::shared::Shared;

/// Longest wait for the head of an answer, also while the upstream keeps sending reports.
const HEAD_TIMEOUT: Duration = Duration::from_secs(120);

/// How long the entry still waits for the answer to a request that must not be repeated, after the
/// upstream stopped sending reports.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest that an admitted request of high priority waits for an upstream with a free slot. Equal to
/// the longest wait for admission.
const HIGH_PRIORITY_CAPACITY_WAIT: Duration = Duration::from_secs(1);

/// Longest wait between two checks for an upstream with a free slot.
const CAPACITY_CHECK_INTERVAL: Duration = Duration::from_millis(50);

const SERVICE: HeaderName = HeaderName::from_static(headers::SERVICE);
const CUSTOMER: HeaderName = HeaderName::from_static(headers::CUSTOMER);
const PIN: HeaderName = HeaderName::from_static(headers::PIN);
pub(crate) const INCARNATION: HeaderName = HeaderName::from_static(headers::INCARNATION);
const RESUME_FROM: HeaderName = HeaderName::from_static(headers::RESUME_FROM);

/// Content of a request to an agent.
#[derive(Debug)]
pub(crate) enum Payload {
    /// A prompt, answered by a stream of tokens.
    Generate(Bytes),
    /// A call of a plain service.
    Call(Call),
}

/// A call of a plain service.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) method: Method,
    /// Path and query, encoded, without a slash at the start.
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// An accepted request whose answer has started.
#[derive(Debug)]
pub(crate) struct Opened {
    pub(crate) response: Response<Incoming>,
    pub(crate) attempt: Attempt,
    pub(crate) weights: Option<Digest>,
    pub(crate) epoch: Option<Epoch>,
}

/// One request with its attempts at upstreams.
#[derive(Debug)]
pub(crate) struct Dispatch {
    cx: Arc<Shared>,
    head: RequestHead,
    payload: Payload,
    attempts: Attempts,
    admission: AdmissionTicket,
    claim: Option<ClaimTicket>,
    next_attempt: u32,
    switch_wait: Duration,
}

impl Dispatch {
    /// Creates the dispatch of a request that is admitted and, if it is an order, claimed.
    pub(crate) fn new(
        cx: &Arc<Shared>,
        head: RequestHead,
        payload: Payload,
        admission: AdmissionTicket,
        claim: Option<ClaimTicket>,
    ) -> Self {
        let repeat = match (&payload, &head.order) {
            (Payload::Generate(_), None) => Repeat::Resumable,
            _ => Repeat::Never,
        };
        let needs = Requirements {
            needs_open: head.document.kind == ServiceKind::Engine,
            ..Requirements::default()
        };
        let capacity_wait = match head.priority {
            Priority::High => HIGH_PRIORITY_CAPACITY_WAIT,
            Priority::Normal | Priority::Low => Duration::ZERO,
        };
        let cfg = AttemptsConfig {
            switch_wait: cx.switch_wait(),
            capacity_wait,
            ..AttemptsConfig::default()
        };
        let attempts = Attempts::new(cfg, repeat, needs).with_deadline(head.deadline);
        Self {
            cx: Arc::clone(cx),
            head,
            payload,
            attempts,
            admission,
            claim,
            next_attempt: 0,
            switch_wait: Duration::ZERO,
        }
    }

    /// Sets the prompt, whose prefix selects an upstream that is likely to have it cached.
    pub(crate) fn with_prompt(mut self, prompt: &str) -> Self {
        self.attempts.set_prefix(prefix_of(prompt));
        self
    }

    /// Returns the request's head.
    pub(crate) fn head(&self) -> &RequestHead {
        &self.head
    }

    /// Sends the request to one upstream after another until one accepts it.
    ///
    /// # Errors
    ///
    /// Returns the final answer if no upstream accepts it.
    pub(crate) async fn open(&mut self) -> Result<Opened, Denial> {
        loop {
            // Subscribes before the choice, so that no later change is missed.
            let mut changed = self.head.service.changed();
            let next = match self.head.service.choose(&mut self.attempts) {
                Ok(slot) => match self.send(slot).await {
                    Ok(opened) => {
                        self.record_switch_wait();
                        self.admission.ran = true;
                        return Ok(opened);
                    }
                    Err(next) => next,
                },
                Err(next) => next,
            };
            let started_at = Instant::now();
            match self.next_step(next) {
                Step::Again => {}
                Step::Wait(until) => {
                    // A change of a standing ends the wait. A slot that becomes free sends no such
                    // signal, so the wait for capacity checks at an interval.
                    let for_capacity =
                        self.attempts.is_started() || self.attempts.awaits_capacity();
                    let until = if for_capacity {
                        until.min(started_at + CAPACITY_CHECK_INTERVAL)
                    } else {
                        until
                    };
                    let _ = tokio::time::timeout_at(until.into(), changed.changed()).await;
                    if self.attempts.is_at_switch() {
                        self.switch_wait += started_at.elapsed();
                    }
                }
                Step::Done(denial) => {
                    self.record_switch_wait();
                    return Err(denial);
                }
            }
        }
    }

    /// Records that a stream was cut before its end.
    ///
    /// # Errors
    ///
    /// Returns the final answer if no replica may continue the stream.
    pub(crate) fn cut(
        &mut self,
        vm: &str,
        next: u64,
        weights: Option<Digest>,
    ) -> Result<(), Denial> {
        self.count_attempt("cut");
        events::UPSTREAM_FAILED.emit(&[("vm", vm), ("request", &self.head.id)]);
        let ended = AttemptEnd::Cut { next, weights };
        let next = self.head.service.ended(&mut self.attempts, vm, ended);
        match self.next_step(next) {
            Step::Again | Step::Wait(_) => Ok(()),
            Step::Done(denial) => Err(denial),
        }
    }

    /// Counts the final outcome, and logs an event if it is unknown.
    pub(crate) fn record_outcome(&self, outcome: Outcome, reason: Option<NotRunReason>) {
        let service = self.head.service.name();
        let metrics = &self.cx.metrics;
        metrics.outcome(service, &self.head.customer, outcome, reason);
        if outcome == Outcome::Unknown {
            events::OUTCOME_UNKNOWN.emit(&[("service", service), ("request", &self.head.id)]);
        }
    }

    /// Returns the histograms for the times of the answer's tokens.
    pub(crate) fn stream_times(&self) -> StreamTimes {
        let service = self.head.service.name();
        self.cx.metrics.stream_times(service, &self.head.customer)
    }

    /// Counts a stream that continues at a replica.
    pub(crate) fn count_resume(&self) {
        let service = self.head.service.name();
        self.cx.metrics.resumes.with_label_values(&[service]).inc();
    }

    /// Counts a request whose caller disconnected before its answer was complete.
    pub(crate) fn count_caller_gone(&self) {
        let service = self.head.service.name();
        let gone = &self.cx.metrics.callers_gone;
        gone.with_label_values(&[service]).inc();
    }

    async fn send(&mut self, slot: Slot) -> Result<Opened, Next> {
        let vm = slot.vm.clone();
        let addr = slot.addr;
        let id = format!("{}-{}", self.head.id, self.next_attempt);
        self.next_attempt += 1;
        let Some(req) = self.request(addr, &id) else {
            return Err(self.ended(&vm, AttemptEnd::Refused(NotRunReason::Refused, None)));
        };
        if let Some(claim) = &mut self.claim {
            claim.on_send();
        }
        let mut attempt = Attempt::new(
            &self.cx,
            slot,
            id,
            self.claim.take(),
            self.silence_timeout(),
        );
        let client = self.cx.client.clone();
        let sent = client.request_within(req, HEAD_TIMEOUT);
        let answer = attempt.while_alive(sent).await;
        let ended = match answer {
            Some(Ok(response)) => match self.refusal_of(&response) {
                None => {
                    self.count_attempt("opened");
                    return Ok(opened(response, attempt));
                }
                Some(ended) => ended,
            },
            Some(Err(err)) => failure(&vm, &err),
            None => AttemptEnd::Broken,
        };
        if ended == AttemptEnd::Broken {
            events::UPSTREAM_FAILED.emit(&[("vm", &vm), ("request", &self.head.id)]);
            return Err(self.cancel_broken(attempt, &vm).await);
        }
        attempt.set_done();
        self.claim = attempt.take_claim();
        drop(attempt);
        Err(self.ended(&vm, ended))
    }

    /// Returns how the attempt ended if the answer comes from the agent itself and not from the
    /// upstream; `None` if it is the upstream's answer.
    fn refusal_of(&self, response: &Response<Incoming>) -> Option<AttemptEnd> {
        let headers = response.headers();
        let text = |name| headers.get(name)?.to_str().ok();
        match text(OUTCOME).and_then(Outcome::from_wire) {
            Some(Outcome::NotRun) => {
                let reason = text(REASON).and_then(reason_of);
                let reason = reason.unwrap_or(NotRunReason::Refused);
                Some(AttemptEnd::Refused(reason, retry_after(headers)))
            }
            Some(Outcome::Unknown) => Some(AttemptEnd::Cancelled(CancelState::Started)),
            Some(Outcome::Answered) => None,
            // A stream starts with status 200 and carries its outcome at its end.
            None if self.is_generate() && response.status() == StatusCode::OK => None,
            // Every other answer of an agent has an outcome header. Without it the answer does not
            // come from an agent, and the state of the attempt is unknown.
            None => Some(AttemptEnd::Broken),
        }
    }

    fn is_generate(&self) -> bool {
        matches!(self.payload, Payload::Generate(_))
    }

    /// Cancels an attempt whose answer was lost; the agent's reply says whether it was started.
    async fn cancel_broken(&mut self, mut attempt: Attempt, vm: &str) -> Next {
        let state = attempt.cancel().await;
        attempt.set_done();
        self.claim = attempt.take_claim();
        drop(attempt);
        let ended = state.map_or(AttemptEnd::CancelLost, AttemptEnd::Cancelled);
        self.ended(vm, ended)
    }

    fn ended(&mut self, vm: &str, ended: AttemptEnd) -> Next {
        self.count_attempt(label_of(&ended));
        self.head.service.ended(&mut self.attempts, vm, ended)
    }

    /// Maps `next` to a step of the loop in [`Self::open`], and marks the claim as not run if the order
    /// did not run.
    fn next_step(&mut self, next: Next) -> Step {
        let not_run = |claim: &mut Option<ClaimTicket>| {
            if let Some(claim) = claim {
                claim.not_run();
            }
        };
        match next {
            // An order is only sent again if no attempt has run so far.
            Next::Send => {
                not_run(&mut self.claim);
                Step::Again
            }
            Next::Await(until) => {
                not_run(&mut self.claim);
                Step::Wait(until)
            }
            Next::NotRun(reason, retry_after) => {
                not_run(&mut self.claim);
                Step::Done(Denial::NotRun(reason, retry_after))
            }
            Next::Unknown(reason) => Step::Done(Denial::Unknown(reason)),
            // Neither can occur here; `Unknown` is the answer that is true in every case.
            Next::Answered | Next::AskCancel => Step::Done(Denial::Unknown(
                wagtailreel_route::UnknownReason::AnswerLost,
            )),
        }
    }

    /// Returns how long to wait for an upstream that sends no reports: zero for a stream, which a replica
    /// can resume at once, and [`SILENCE_TIMEOUT`] for a request that must not be repeated.
    fn silence_timeout(&self) -> Duration {
        match self.attempts.repeat() {
            Repeat::Resumable => Duration::ZERO,
            Repeat::Never => SILENCE_TIMEOUT,
        }
    }

    fn request(&self, addr: SocketAddr, id: &str) -> Option<Request<Body>> {
        let id = encode_segment(id);
        let (method, uri, body) = match &self.payload {
            Payload::Generate(body) => (
                Method::POST,
                format!("http://{addr}/run/{id}"),
                body.clone(),
            ),
            Payload::Call(call) => (
                call.method.clone(),
                format!("http://{addr}/call/{id}/{}", call.path),
                call.body.clone(),
            ),
        };
        let mut req = Request::new(Body::from(body));
        *req.method_mut() = method;
        *req.uri_mut() = Uri::try_from(uri).ok()?;
        *req.headers_mut() = self.headers()?;
        Some(req)
    }

    fn headers(&self) -> Option<HeaderMap> {
        let mut headers = match &self.payload {
            Payload::Generate(_) => {
                let mut headers = HeaderMap::new();
                let json = HeaderValue::from_static("application/json");
                headers.insert(header::CONTENT_TYPE, json);
                headers
            }
            Payload::Call(call) => call.headers.clone(),
        };
        let text = |value: &str| HeaderValue::try_from(value).ok();
        headers.insert(SERVICE, text(self.head.service.name())?);
        headers.insert(CUSTOMER, text(&self.head.customer)?);
        headers.insert(PRIORITY, text(&self.head.priority.to_string())?);
        if let Some(deadline) = self.head.deadline {
            let left = deadline.saturating_duration_since(Instant::now());
            headers.insert(DEADLINE_MS, text(&left.as_millis().to_string())?);
        }
        if let Some(pin) = self.attempts.needs().pin {
            headers.insert(PIN, text(&pin.to_string())?);
        }
        if self.attempts.resume_from() > 0 {
            let from = self.attempts.resume_from().to_string();
            headers.insert(RESUME_FROM, text(&from)?);
        }
        Some(headers)
    }

    fn count_attempt(&self, label: &str) {
        self.cx
            .metrics
            .attempts
            .with_label_values(&[self.head.service.name(), label])
            .inc();
    }

    fn record_switch_wait(&mut self) {
        let wait = std::mem::take(&mut self.switch_wait);
        if !wait.is_zero() && !self.attempts.is_started() {
            let service = self.head.service.name();
            self.cx.metrics.switch_waited(service, wait);
        }
    }
}

/// Next step of the loop over attempts.
enum Step {
    Again,
    Wait(Instant),
    Done(Denial),
}

fn opened(response: Response<Incoming>, attempt: Attempt) -> Opened {
    let text = |name| response.headers().get(name)?.to_str().ok();
    let weights = text(WEIGHTS).and_then(|text| text.parse().ok());
    let epoch = text(EPOCH).and_then(|text| text.parse().ok());
    Opened {
        response,
        attempt,
        weights,
        epoch,
    }
}

fn reason_of(text: &str) -> Option<NotRunReason> {
    serde_json::from_value(serde_json::Value::from(text)).ok()
}

fn failure(vm: &str, err: &PlatformError) -> AttemptEnd {
    log::debug!("attempt at VM {vm} failed: {err}");
    match err.took_effect() {
        Effect::No => AttemptEnd::NeverSent,
        Effect::Maybe => AttemptEnd::Broken,
    }
}

fn label_of(ended: &AttemptEnd) -> &'static str {
    match ended {
        AttemptEnd::Whole => "whole",
        AttemptEnd::NeverSent => "never-sent",
        AttemptEnd::Refused(NotRunReason::Closed | NotRunReason::Lease, _) => "closed",
        AttemptEnd::Refused(..) => "refused",
        AttemptEnd::Broken => "broken",
        AttemptEnd::Cancelled(CancelState::NotRun) => "cancelled",
        AttemptEnd::Cancelled(_) => "lost",
        AttemptEnd::CancelLost => "lost",
        AttemptEnd::Cut { .. } => "cut",
    }
}
