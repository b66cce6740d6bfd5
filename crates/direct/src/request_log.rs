//! The log line and the metrics of a request.

use std::time::{Duration, Instant};

use wagtailreel_route::direct::Pick;
use wagtailreel_serve::ConnectionNumber;

use crate::admit::Admitted;
use crate::attempt::Call;
use crate::events;
use crate::refusal::Refusal;
use crate::shared::Shared;

/// The values of one request for its log line and metrics, which are written when the request ends.
#[derive(Debug)]
pub(crate) struct RequestLog {
    pub(crate) id: String,
    conn: ConnectionNumber,
    metrics: crate::metrics::Metrics,
    started: Instant,
    first_byte_after: Option<Duration>,
    route: String,
    service: String,
    customer: String,
    pick: Option<Pick>,
    attempts: u32,
    status: u16,
    config: u64,
    config_age: Duration,
    prompt_tokens: u32,
    answer_tokens: u32,
    events: u64,
    /// What is quarantined, if that is why the request was refused.
    suspect: String,
    is_armed: bool,
}

impl RequestLog {
    pub(crate) fn new(
        metrics: &crate::metrics::Metrics,
        id: String,
        conn: ConnectionNumber,
    ) -> Self {
        metrics.open.inc();
        Self {
            id,
            conn,
            metrics: metrics.clone(),
            started: Instant::now(),
            first_byte_after: None,
            route: String::new(),
            service: String::new(),
            customer: String::new(),
            pick: None,
            attempts: 0,
            status: 0,
            config: 0,
            config_age: Duration::ZERO,
            prompt_tokens: 0,
            answer_tokens: 0,
            events: 0,
            suspect: String::new(),
            is_armed: true,
        }
    }

    /// Records what the admission of the request decided.
    pub(crate) fn admitted<D>(&mut self, admitted: &Admitted, cx: &Shared<D>) {
        self.route.clone_from(&admitted.route.name);
        self.service.clone_from(&admitted.service);
        self.customer = admitted.customer.clone().unwrap_or_default();
        self.prompt_tokens = admitted.head.prompt_tokens;
        self.answer_tokens = admitted.head.answer_tokens;
        self.config = admitted.directory.version();
        let age = cx.view.age(wagtailreel_fleet::Topic::Settings);
        self.config_age = age.unwrap_or_default();
    }

    /// Records the upstream that answered, its status, and the number of attempts so far.
    pub(crate) fn record_upstream<D>(&mut self, call: &Call<D>, status: u16) {
        self.attempts = call.attempts.sent();
        self.status = status;
        self.pick.clone_from(&call.last_pick);
    }

    /// Records that the stream is resumed at another upstream.
    pub(crate) fn resumed(&mut self, upstream: &str) {
        if let Some(pick) = &mut self.pick {
            upstream.clone_into(&mut pick.id);
        }
        self.attempts += 1;
    }

    /// Records the time to the first byte of the answer, on the first call.
    pub(crate) fn first_byte(&mut self) {
        if self.first_byte_after.is_none() {
            let first = self.started.elapsed();
            self.metrics.first_byte.observe(first.as_secs_f64());
            self.first_byte_after = Some(first);
        }
    }

    /// Sets how many events of the answer were passed on.
    pub(crate) const fn set_events(&mut self, events: u64) {
        self.events = events;
    }

    /// Ends the request with an answer of the entry itself.
    pub(crate) fn finish_refused(&mut self, refusal: Refusal) {
        let reason = refusal.to_string();
        if let Refusal::Quarantined { suspect, .. } = refusal {
            self.suspect = suspect.short();
        }
        self.status = refusal.status().as_u16();
        let refusals = &self.metrics.refusals;
        refusals.with_label_values(&[&reason]).inc();
        self.close(&reason, events::REQUEST_REFUSED);
    }

    /// Ends the request; `end` says how, in the log and as the label of the metric.
    pub(crate) fn finish(&mut self, end: &str) {
        self.close(end, events::REQUEST_DONE);
    }

    /// Moves the values out, for the relay that passes on the rest of the answer. Only the id stays here.
    pub(crate) fn transfer(&mut self) -> Self {
        let mut taken = Self::new(&self.metrics, self.id.clone(), self.conn);
        std::mem::swap(self, &mut taken);
        self.id.clone_from(&taken.id);
        taken
    }

    /// Counts the request as no longer open, and keeps its drop from logging it.
    pub(crate) fn disarm(&mut self) {
        self.is_armed = false;
        self.metrics.open.dec();
    }

    fn close(&mut self, end: &str, event: wagtailreel_telemetry::Event) {
        if !self.is_armed {
            return;
        }
        self.disarm();
        self.metrics.requests.with_label_values(&[end]).inc();
        let took = self.started.elapsed();
        self.metrics.duration.observe(took.as_secs_f64());
        let pick = self.pick.as_ref();
        let distance = pick.map(|pick| pick.distance.to_string());
        let distance = distance.unwrap_or_default();
        let load = pick.map(|pick| format!("{} by {}", pick.in_flight, pick.source));
        let load = load.unwrap_or_default();
        let expected = pick.and_then(|pick| pick.expected);
        let expected = expected.map(|expected| expected.as_millis().to_string());
        let first = self
            .first_byte_after
            .map(|first| first.as_millis().to_string());
        event.emit(&[
            ("id", &self.id),
            ("conn", &self.conn.to_string()),
            ("end", end),
            ("status", &self.status.to_string()),
            ("route", &self.route),
            ("service", &self.service),
            ("customer", &self.customer),
            ("upstream", pick.map_or("", |pick| &pick.id)),
            ("distance", &distance),
            ("load", &load),
            ("expected_ms", &expected.unwrap_or_default()),
            ("sent", &self.attempts.to_string()),
            ("prompt", &self.prompt_tokens.to_string()),
            ("answer", &self.answer_tokens.to_string()),
            ("events", &self.events.to_string()),
            ("first_ms", &first.unwrap_or_default()),
            ("ms", &took.as_millis().to_string()),
            ("suspect", &self.suspect),
            ("config", &self.config.to_string()),
            ("belief_ms", &self.config_age.as_millis().to_string()),
        ]);
    }
}

impl Drop for RequestLog {
    fn drop(&mut self) {
        // Every other end calls `finish` or `finish_refused` first, so here the caller has left.
        self.close("caller-left", events::REQUEST_DONE);
    }
}
