//! What an attempt's answer says, by its head.

use std::time::Instant;

use http::StatusCode;
use wagtailreel_fleet::RouteKind;
use wagtailreel_route::direct::Ending;

use crate::attempt::{Call, LEAST_FOR_RETRY, Sent};
use crate::dialect::Dialect;
use crate::response::UpstreamResponse;

impl<D> Call<D>
where
    D: Dialect,
{
    /// Judges the head of an answer.
    pub(crate) fn take_answer(&mut self, resp: UpstreamResponse, doubted_before: bool) -> Sent {
        let now = Instant::now();
        let is_ours = resp
            .meta
            .id
            .as_ref()
            .is_none_or(|id| *id == self.admitted.id);
        if !is_ours {
            return Sent::Ended(Ending::Lost, "answers-another-request");
        }
        self.take_limit(&resp);
        let id = resp.upstream();
        if let Some(load) = resp.meta.load {
            let total = load.running.saturating_add(load.waiting);
            self.service.upstreams().load(id, total, now);
        }
        if resp.meta.not_run {
            self.may_have_run = doubted_before;
            let mut upstreams = self.service.upstreams();
            if resp.meta.misdirected {
                upstreams.misdirected(id, now);
                return Sent::Ended(Ending::NotRun, "another-instance-or-weights");
            }
            upstreams.full(id, now);
            return Sent::Ended(Ending::NotRun, "refused");
        }
        if resp.head.status.is_server_error() && self.admitted.route.kind == RouteKind::Idempotent {
            return self.take_failure(resp);
        }
        if resp.head.status != StatusCode::INTERNAL_SERVER_ERROR {
            self.service.upstreams().answered(id);
        }
        Sent::Answer(Box::new(resp))
    }

    /// Repeats a request that failed at an upstream, or passes the failure on.
    fn take_failure(&mut self, resp: UpstreamResponse) -> Sent {
        let id = resp.upstream().to_owned();
        let left = self
            .admitted
            .deadline
            .saturating_duration_since(Instant::now());
        let may_repeat = self.sent < self.admitted.route.max_attempts
            && left > LEAST_FOR_RETRY
            && self.service.budget().left() >= 1.0;
        if may_repeat {
            return Sent::Ended(Ending::Failed, "own-failure");
        }
        self.judge(&id, Ending::Failed, Instant::now());
        Sent::Answer(Box::new(resp))
    }
}
