//! The account of a request.

use std::time::{Duration, Instant};

use wagtailreel_route::direct::Pick;
use wagtailreel_serve::ConnectionNumber;

use crate::admit::Admitted;
use crate::attempt::Call;
use crate::events;
use crate::refusal::Refusal;
use crate::shared::Shared;

/// The account of one request: one line and its metrics when it is over.
#[derive(Debug)]
pub(crate) struct RequestLog {
    pub(crate) id: String,
    conn: ConnectionNumber,
    metrics: crate::metrics::Metrics,
    started: Instant,
    first: Option<Duration>,
    route: String,
    service: String,
    customer: String,
    pick: Option<Pick>,
    sent: u32,
    status: u16,
    config: u64,
    belief: Duration,
    prompt_tokens: u32,
    answer_tokens: u32,
    events: u64,
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
            first: None,
            route: String::new(),
            service: String::new(),
            customer: String::new(),
            pick: None,
            sent: 0,
            status: 0,
            config: 0,
            belief: Duration::ZERO,
            prompt_tokens: 0,
            answer_tokens: 0,
            events: 0,
            is_armed: true,
        }
    }

    pub(crate) fn admitted<D>(&mut self, admitted: &Admitted, cx: &Shared<D>) {
        self.route.clone_from(&admitted.route.name);
        self.service.clone_from(&admitted.service);
        self.customer = admitted.customer.clone().unwrap_or_default();
        self.prompt_tokens = admitted.head.prompt_tokens;
        self.answer_tokens = admitted.head.answer_tokens;
        self.config = admitted.directory.version();
        let age = cx.view.age(wagtailreel_fleet::Topic::Settings);
        self.belief = age.unwrap_or_default();
    }

    pub(crate) fn sent_to<D>(&mut self, call: &Call<D>, status: u16) {
        self.sent = call.sent;
        self.status = status;
        self.pick.clone_from(&call.last_pick);
    }

    /// Takes that the stream goes on at another upstream.
    pub(crate) fn resumed(&mut self, upstream: &str) {
        if let Some(pick) = &mut self.pick {
            upstream.clone_into(&mut pick.id);
        }
        self.sent += 1;
    }

    /// Takes that the first bytes of the answer are on their way.
    pub(crate) fn first_byte(&mut self) {
        if self.first.is_none() {
            let first = self.started.elapsed();
            self.metrics.first_byte.observe(first.as_secs_f64());
            self.first = Some(first);
        }
    }

    /// Takes how many events of the answer were passed on.
    pub(crate) const fn passed_on(&mut self, events: u64) {
        self.events = events;
    }

    /// Takes that the entry answers itself.
    pub(crate) fn done_by(&mut self, refusal: Refusal) {
        let reason = refusal.to_string();
        self.status = refusal.status().as_u16();
        let refusals = &self.metrics.refusals;
        refusals.with_label_values(&[&reason]).inc();
        self.close(&reason, events::REQUEST_REFUSED);
    }

    /// Takes that the request is over.
    pub(crate) fn done(&mut self, end: &str) {
        self.close(end, events::REQUEST_DONE);
    }

    /// Returns the account for whoever goes on with the answer.
    pub(crate) fn hand_over(&mut self) -> Self {
        let mut taken = Self::new(&self.metrics, self.id.clone(), self.conn);
        std::mem::swap(self, &mut taken);
        self.id.clone_from(&taken.id);
        taken
    }

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
        self.metrics.whole.observe(took.as_secs_f64());
        let pick = self.pick.as_ref();
        let distance = pick.map(|pick| pick.distance.to_string());
        let distance = distance.unwrap_or_default();
        let load = pick.map(|pick| format!("{} by {}", pick.in_flight, pick.source));
        let load = load.unwrap_or_default();
        let expected = pick.and_then(|pick| pick.expected);
        let expected = expected.map(|expected| expected.as_millis().to_string());
        let first = self.first.map(|first| first.as_millis().to_string());
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
            ("sent", &self.sent.to_string()),
            ("prompt", &self.prompt_tokens.to_string()),
            ("answer", &self.answer_tokens.to_string()),
            ("events", &self.events.to_string()),
            ("first_ms", &first.unwrap_or_default()),
            ("ms", &took.as_millis().to_string()),
            ("config", &self.config.to_string()),
            ("belief_ms", &self.belief.as_millis().to_string()),
        ]);
    }
}

impl Drop for RequestLog {
    fn drop(&mut self) {
        // Whatever is dropped before its end was told belongs to a caller that left.
        self.close("caller-left", events::REQUEST_DONE);
    }
}
