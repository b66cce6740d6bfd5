//! Replacement of an upstream at which a stream stalls.
//!
//! The upstream may be sound and go on after a moment, and another one may not be available. So the stream keeps
//! its upstream until another one has sent an event.

use std::pin::Pin;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::FutureExt as _;
use futures::future::{Fuse, FusedFuture as _};
use http::Request;
use http_body_util::Full;
use wagtailreel_route::direct::{Attempt, Ending, Next, Pick, Suspicion, next_step};

use crate::attempt::{Abandoned, Call, ExchangeResult, MIN_TIME_FOR_RETRY, STALLED};
use crate::dialect::Dialect;
use crate::events;
use crate::lost::Probe;
use crate::pool::Connection;
use crate::refusal::Refusal;
use crate::response::{Lease, UpstreamResponse};

/// Maximum time between two checks of the weights bound of a request that has no first event yet: newer
/// weights with an earlier bound may be named meanwhile.
const WEIGHTS_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which a stalled stream that can't be replaced checks whether it can.
pub(crate) const REPLACE_INTERVAL: Duration = Duration::from_millis(100);

/// State of a stream that waits for its next event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StallCheck {
    /// The next check is due after this time.
    Wait(Duration),
    /// The stream stalls, and another upstream may replace the current one.
    Stalled,
    /// The stream has to leave the upstream, as no request may begin on its weights any more.
    Outdated,
}

/// An answer of another upstream, with the state of the request after it.
#[derive(Debug)]
pub(crate) struct Replaced<D> {
    pub(crate) call: Call<D>,
    pub(crate) answer: Result<UpstreamResponse, Refusal>,
}

impl<D> Replaced<D> {
    /// Returns whether the other upstream goes on with the stream.
    pub(crate) fn is_success(&self) -> bool {
        let answer = self.answer.as_ref();
        answer.is_ok_and(|resp| resp.head.status.is_success())
    }
}

impl<D> Call<D>
where
    D: Dialect,
{
    /// Checks a stream that has waited for its next event since `since`.
    ///
    /// A stream without a first event also has to leave when the bound passes after which no request may begin
    /// on its weights.
    pub(crate) fn check_stall(&self, since: Instant, has_first_event: bool) -> StallCheck {
        let now = Instant::now();
        let Some(pick) = self.last_pick.as_ref() else {
            return StallCheck::Outdated;
        };
        let bound = if has_first_event || pick.version.is_none() {
            Duration::MAX
        } else {
            let within = self.begin_within(pick).unwrap_or(WEIGHTS_CHECK_INTERVAL);
            within.min(WEIGHTS_CHECK_INTERVAL)
        };
        if bound.is_zero() {
            return StallCheck::Outdated;
        }
        let liveness = self.service.upstreams().liveness(pick, now);
        let waited = now.saturating_duration_since(since);
        let wait = self.stall_policy.next_check(waited, liveness);
        wait.map_or(StallCheck::Stalled, |wait| {
            StallCheck::Wait(wait.min(bound))
        })
    }

    /// Returns the time left in which the request may begin on the weights of `pick`. Returns `None` if no
    /// newer weights are named.
    fn begin_within(&self, pick: &Pick) -> Option<Duration> {
        let model = self.admitted.model.as_deref();
        let (model, version) = model.zip(pick.version)?;
        self.cx.view.begin_within(model, version)
    }

    /// Returns the state with which another upstream is looked for, or `None` if the request may not be sent
    /// again now. The retry budget is charged once the request is sent there.
    pub(crate) fn begin_replacement(&self) -> Option<Self> {
        let left = self.time_left();
        let next = next_step(Attempt {
            kind: self.admitted.route.kind,
            ending: Ending::Lost,
            sent: self.attempts.sent(),
            max_attempts: self.admitted.route.max_attempts,
            unreached: self.unreached,
            may_have_run: true,
            has_time: left > MIN_TIME_FOR_RETRY,
        });
        if next != Next::Again || self.service.budget().left() < 1.0 || self.is_suspected() {
            return None;
        }
        Some(Self {
            cx: self.cx.clone(),
            admitted: self.admitted.clone(),
            template: self.template.clone(),
            attempts: Arc::clone(&self.attempts),
            last_pick: None,
            sent_at: Instant::now(),
            stall_policy: self.stall_policy,
            service: self.service.clone(),
            unreached: self.unreached,
            is_uncharged: true,
            is_retry: false,
            suspects: self.suspects.clone(),
            loss: OnceLock::new(),
        })
    }

    /// Returns whether the request was quarantined after it was sent.
    pub(crate) fn is_quarantined(&self) -> bool {
        let quarantine = &self.cx.quarantine;
        !quarantine.is_empty()
            && matches!(
                quarantine.suspicion(self.suspects()),
                Suspicion::Quarantined(_)
            )
    }

    /// Looks for an upstream that sends an event after `last_event`, until the deadline of the request.
    pub(crate) async fn replace(mut self, last_event: Option<u64>) -> Replaced<D> {
        let deadline = self.admitted.deadline;
        let begun = tokio::time::timeout_at(deadline.into(), self.begin_stream(last_event)).await;
        Replaced {
            answer: begun.unwrap_or(Err(Refusal::Timeout)),
            call: self,
        }
    }

    /// Sends the request to upstreams until one has sent an event, or an answer that is no stream.
    async fn begin_stream(&mut self, last_event: Option<u64>) -> Result<UpstreamResponse, Refusal> {
        loop {
            let resp = self.obtain(last_event).await?;
            if !resp.head.status.is_success() {
                return Ok(resp);
            }
            let upstream = resp.upstream().to_owned();
            let (ending, why) = match self.read_first_event(resp, last_event).await {
                Ok(resp) => return Ok(resp),
                Err(Abandoned::Ended(ending, why)) => (ending, why),
                Err(Abandoned::Replaced(other, ending, why)) => match other.answer {
                    Ok(resp) => {
                        self.take_over(other.call, self.sent_at, ending, why);
                        return Ok(resp);
                    }
                    Err(_) => (ending, why),
                },
            };
            if self.ended(&upstream, ending, why).await != Next::Again {
                return Err(Refusal::Unknown);
            }
        }
    }

    /// Takes over the state of `other`, whose upstream replaces the current one.
    /// The current one was silent since `since`; its attempt ended as `ending` says, and `why` is the reason for
    /// the log.
    pub(crate) fn take_over(
        &mut self,
        other: Self,
        since: Instant,
        ending: Ending,
        why: &'static str,
    ) {
        self.record_stall("replaced", since, other.last_pick.as_ref());
        if let Some(pick) = &self.last_pick {
            let budget = self.service.budget().left();
            let probe = self.loss.get().map_or(Probe::Unknown, |(probe, _)| *probe);
            self.record_failure(&pick.id, ending, Instant::now());
            self.log_ended(&pick.id, ending, why, Next::Again, budget, probe);
        }
        *self = other;
    }

    /// Logs the outcome of a stall at the current upstream, which sent its last event at `since`.
    pub(crate) fn record_stall(&self, outcome: &str, since: Instant, other: Option<&Pick>) {
        let metric = &self.cx.metrics.stalls;
        metric.with_label_values(&[outcome]).inc();
        events::STREAM_STALLED.emit(&[
            ("id", &self.admitted.id),
            ("upstream", self.last_pick.as_ref().map_or("", |it| &it.id)),
            ("outcome", outcome),
            ("silent_ms", &since.elapsed().as_millis().to_string()),
            ("other", other.map_or("", |pick| &pick.id)),
            ("sent", &self.attempts.sent().to_string()),
            ("budget", &format!("{:.1}", self.service.budget().left())),
            ("left_ms", &self.time_left().as_millis().to_string()),
        ]);
    }

    pub(crate) fn time_left(&self) -> Duration {
        let deadline = self.admitted.deadline;
        deadline.saturating_duration_since(Instant::now())
    }

    /// Sends a request and waits for the head of the answer. If the stream stalls, another upstream is looked
    /// for meanwhile, and the first of both to answer has it.
    pub(crate) async fn exchange_or_replace(
        &self,
        conn: Connection,
        lease: Lease,
        req: Request<Full<Bytes>>,
        last_event: Option<u64>,
    ) -> ExchangeResult<D> {
        let kind = self.admitted.route.kind;
        if !kind.is_stream() || !kind.repeatable() {
            let answer = self.exchange_head(conn, lease, req).await;
            return answer.map_err(|(ending, why)| Abandoned::Ended(ending, why));
        }
        let mut sending = Box::pin(self.exchange_head(conn, lease, req));
        let mut replacement: Fuse<Pin<Box<_>>> = Fuse::terminated();
        let mut wait_until = None;
        let mut sent_before = 0;
        loop {
            let is_replacing = !replacement.is_terminated();
            let now = Instant::now();
            let wait = match self.check_stall(self.sent_at, false) {
                StallCheck::Outdated if is_replacing => {
                    // Ends the work at the stalled upstream.
                    drop(sending);
                    return Err(replaced(replacement.await, Ending::Lost, STALLED));
                }
                StallCheck::Outdated => return Err(Abandoned::Ended(Ending::Lost, STALLED)),
                StallCheck::Wait(wait) => wait,
                StallCheck::Stalled
                    if is_replacing || wait_until.is_some_and(|until| now < until) =>
                {
                    REPLACE_INTERVAL
                }
                StallCheck::Stalled => {
                    if let Some(call) = self.begin_replacement() {
                        sent_before = self.attempts.sent();
                        // Boxed, as the replacement may stall as well.
                        replacement = Box::pin(call.replace(last_event)).fuse();
                    } else if wait_until.is_none() {
                        self.record_stall("kept", self.sent_at, None);
                    }
                    wait_until = Some(now + REPLACE_INTERVAL);
                    continue;
                }
            };
            tokio::select! {
                biased;
                answer = &mut sending => {
                    if !is_replacing {
                        return answer.map_err(|(ending, why)| Abandoned::Ended(ending, why));
                    }
                    let is_sent = self.attempts.sent() > sent_before;
                    return self.answered_beside(answer, replacement, is_sent).await;
                }
                other = &mut replacement, if is_replacing => {
                    if other.is_success() {
                        return Err(replaced(other, Ending::Lost, STALLED));
                    }
                }
                () = tokio::time::sleep(wait) => {}
            }
        }
    }

    /// Decides between the answer of the stalled upstream, which came first, and `other`, which has sent the
    /// request if `is_sent`.
    ///
    /// An answer that does not serve the request waits for the other upstream's, and counts if that has none.
    async fn answered_beside<F>(
        &self,
        answer: Result<UpstreamResponse, (Ending, &'static str)>,
        other: F,
        is_sent: bool,
    ) -> ExchangeResult<D>
    where
        F: Future<Output = Replaced<D>>,
    {
        match answer {
            Ok(mut resp) if is_sent && resp.head.status.is_server_error() => {
                resp.lease.end();
                let deadline = self.admitted.deadline;
                // Later the caller would get no answer.
                let until = deadline.checked_sub(MIN_TIME_FOR_RETRY).unwrap_or(deadline);
                match tokio::time::timeout_at(until.into(), other).await {
                    Ok(other) if other.is_success() => {
                        Err(replaced(other, Ending::Failed, "own-failure"))
                    }
                    _ => Ok(resp),
                }
            }
            Ok(resp) => {
                self.record_stall("went-on", self.sent_at, None);
                Ok(resp)
            }
            // Nothing has run the request, so that it is chosen for anew, or refused.
            Err((ending, why)) if !is_sent && ending != Ending::Lost => {
                Err(Abandoned::Ended(ending, why))
            }
            Err((Ending::Lost, why)) => {
                let ((), other) = tokio::join!(self.record_loss(why), other);
                Err(replaced(other, Ending::Lost, why))
            }
            Err((ending, why)) => Err(replaced(other.await, ending, why)),
        }
    }
}

/// Returns that `other` replaces an attempt, which ended so for the reason `why`.
pub(crate) fn replaced<D>(other: Replaced<D>, ending: Ending, why: &'static str) -> Abandoned<D> {
    Abandoned::Replaced(Box::new(other), ending, why)
}
