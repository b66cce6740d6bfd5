//! Evaluation of an answer's head.

use std::time::Instant;

use http::StatusCode;
use wagtailreel_adapters::is_final;
use wagtailreel_fleet::RouteKind;
use wagtailreel_route::direct::Ending;

use crate::attempt::{Call, MIN_TIME_FOR_RETRY};
use crate::dialect::Dialect;
use crate::refusal::Refusal;
use crate::response::UpstreamResponse;

/// Outcome of an attempt that had a connection.
pub(crate) enum AttemptOutcome {
    /// The upstream answered.
    Answer(Box<UpstreamResponse>),
    /// No answer came; with the reason for the log.
    Ended(Ending, &'static str),
    /// The attempt was not made, and no further one follows.
    Refused(Refusal),
}

impl<D> Call<D>
where
    D: Dialect,
{
    /// Decides from the head of an answer whether the attempt succeeded, and records what it says of the
    /// upstream.
    ///
    /// # Errors
    ///
    /// Returns how the attempt ended without an answer for the caller, with the reason for the log.
    pub(crate) fn check_head(
        &self,
        resp: UpstreamResponse,
    ) -> Result<UpstreamResponse, (Ending, &'static str)> {
        let now = Instant::now();
        if !is_final(resp.head.status) {
            return Err((Ending::Lost, "no-final-status"));
        }
        let id = resp.meta.id.as_ref();
        if id.is_some_and(|id| *id != self.admitted.id) {
            return Err((Ending::Lost, "answers-another-request"));
        }
        if resp.meta.is_unnamed {
            return Err((Ending::Lost, "answers-no-request"));
        }
        self.record_limit(&resp);
        self.record_announcement(&resp);
        let id = resp.upstream();
        if let Some(load) = resp.meta.load {
            let total = load.running.saturating_add(load.waiting);
            let mut upstreams = self.service.upstreams();
            upstreams.load(id, total, now);
            upstreams.record_pace(id, load.pace, now);
        }
        if resp.meta.not_run {
            self.attempts.not_run();
            let mut upstreams = self.service.upstreams();
            if resp.meta.misdirected {
                upstreams.misdirected(id, now);
                return Err((Ending::NotRun, "another-instance-or-weights"));
            }
            upstreams.full(id, now);
            return Err((Ending::NotRun, "refused"));
        }
        if resp.head.status.is_server_error() && self.admitted.route.kind == RouteKind::Idempotent {
            return self.on_server_error(resp);
        }
        if resp.head.status != StatusCode::INTERNAL_SERVER_ERROR {
            self.service.upstreams().answered(id);
        }
        Ok(resp)
    }

    /// Records how long the first event of an attempt took.
    pub(crate) fn record_first_event(&self) {
        if let Some(pick) = &self.last_pick {
            let now = Instant::now();
            let took = now.saturating_duration_since(self.sent_at);
            let needs = self.needs(None);
            let mut upstreams = self.service.upstreams();
            upstreams.record_first_event(pick, took, now);
            upstreams.record_prompt(pick, &needs, took, now);
        }
    }

    /// Handles a server error: the request is repeated if that is possible, else the caller gets the error.
    fn on_server_error(
        &self,
        resp: UpstreamResponse,
    ) -> Result<UpstreamResponse, (Ending, &'static str)> {
        let id = resp.upstream().to_owned();
        let left = self
            .admitted
            .deadline
            .saturating_duration_since(Instant::now());
        let may_repeat = self.attempts.sent() < self.admitted.route.max_attempts
            && left > MIN_TIME_FOR_RETRY
            && self.service.budget().left() >= 1.0;
        if may_repeat {
            return Err((Ending::Failed, "own-failure"));
        }
        self.record_failure(&id, Ending::Failed, Instant::now());
        Ok(resp)
    }
}
