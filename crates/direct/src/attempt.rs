//! The attempts of one request at upstreams.

use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Uri};
use http_body_util::Full;
use wagtailreel_fleet::Fingerprint;

use crate::admit::Admitted;
use crate::answered::AttemptOutcome;
use crate::attempts::Attempts;
use crate::dialect::{Dialect, Dispatch};
use crate::events;
use crate::lost::Probe;
use crate::pool::{Connection, SendError};
use crate::refusal::Refusal;
use crate::replacement::Replaced;
use crate::response::{Lease, UpstreamResponse};
use crate::shared::Shared;
use crate::view::Service;
use wagtailreel_route::direct::{Attempt, Ending, Next, next_step};
use wagtailreel_route::direct::{Pick, Prediction, StallPolicy, Suspicion};

/// Minimum time before the deadline with which another attempt is still made.
pub(crate) const MIN_TIME_FOR_RETRY: Duration = Duration::from_millis(60);

/// Reason in the log for an attempt that is abandoned because its answer stalls.
pub(crate) const STALLED: &str = "stalled";

/// Reason in the log for an attempt that is abandoned because its request is quarantined.
pub(crate) const QUARANTINED: &str = "quarantined";

/// The request as each upstream receives it, before the dialect adds its headers.
#[derive(Clone, Debug)]
pub(crate) struct Template {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// One request at its current upstream, and its attempts.
#[derive(Debug)]
pub(crate) struct Call<D> {
    pub(crate) cx: Arc<Shared<D>>,
    pub(crate) admitted: Admitted,
    pub(crate) template: Template,
    pub(crate) attempts: Arc<Attempts>,
    /// The upstream of the current attempt, with the load that the choice was based on.
    pub(crate) last_pick: Option<Pick>,
    pub(crate) sent_at: Instant,
    pub(crate) stall_policy: StallPolicy,
    pub(crate) service: Arc<Service>,
    pub(crate) unreached: u32,
    /// Whether the retry budget is still to be charged for the next attempt.
    pub(crate) is_uncharged: bool,
    /// Whether the request is sent to see whether a quarantined suspect completes.
    pub(crate) is_retry: bool,
    pub(crate) suspects: OnceLock<Vec<Fingerprint>>,
    /// What is known of the loss of the current attempt.
    pub(crate) loss: OnceLock<(Probe, Suspicion)>,
}

impl<D> Call<D>
where
    D: Dialect,
{
    pub(crate) fn new(cx: Arc<Shared<D>>, admitted: Admitted, template: Template) -> Self {
        let service = cx.view.service(&admitted.service);
        service.budget().request();
        let route = &admitted.route;
        let stall_policy = StallPolicy::new(route.objective, route.kind.gap());
        Self {
            cx,
            admitted,
            template,
            attempts: Arc::default(),
            last_pick: None,
            sent_at: Instant::now(),
            stall_policy,
            service,
            unreached: 0,
            is_uncharged: false,
            is_retry: false,
            suspects: OnceLock::new(),
            loss: OnceLock::new(),
        }
    }

    /// Sends the request to upstreams until one answers.
    ///
    /// # Errors
    ///
    /// Returns the refusal to send to the caller.
    pub(crate) async fn obtain(
        &mut self,
        last_event: Option<u64>,
    ) -> Result<UpstreamResponse, Refusal> {
        loop {
            self.is_retry = self.check_quarantine()?;
            let pick = self.choose_next().await?;
            if !self.ends_in_grace() {
                return Err(Refusal::Leaving);
            }
            self.last_pick = Some(pick.clone());
            let chosen_at = Instant::now();
            let (ending, why) = match self.connect(&pick).await {
                // A late request would arrive together with those of later permits. No byte was sent.
                Ok(_) if !self.is_still_permitted(&pick, chosen_at).await => {
                    (Ending::NotRun, "no-permit")
                }
                Ok(conn) => match self.send(&pick, conn, last_event).await {
                    AttemptOutcome::Answer(resp) => return Ok(*resp),
                    AttemptOutcome::Ended(ending, why) => (ending, why),
                    AttemptOutcome::Refused(refusal) => return Err(refusal),
                },
                Err(ending) => (ending, "no-connection"),
            };
            match self.ended(&pick.id, ending, why).await {
                Next::Again => {}
                Next::Refuse => return Err(self.refused_by_upstreams()),
                Next::PassOn | Next::Unknown => return Err(Refusal::Unknown),
            }
        }
    }

    /// Returns whether the entry, if it shuts down, still accepts the request. Its body may have come late, or its
    /// upstream may have become free late. One that may have run already is not given up.
    fn ends_in_grace(&self) -> bool {
        let Admitted {
            route,
            deadline,
            max_duration,
            ..
        } = &self.admitted;
        let now = Instant::now();
        let end = now.checked_add(*max_duration);
        let end = end.map_or(*deadline, |end| end.min(*deadline));
        self.attempts.may_have_run() || self.cx.has_time(now, end, route.kind.is_stream())
    }

    /// Returns the refusal for a request whose deadline has passed.
    pub(crate) fn out_of_time(&self) -> Refusal {
        if self.attempts.may_have_run() {
            Refusal::Timeout
        } else {
            Refusal::Deadline
        }
    }

    /// Records that an attempt ended without an answer, and decides the next step; `why` is the reason for
    /// the log.
    pub(crate) async fn ended(
        &mut self,
        upstream: &str,
        ending: Ending,
        why: &'static str,
    ) -> Next {
        if ending == Ending::NotSent {
            self.unreached += 1;
        }
        if ending == Ending::Lost {
            self.record_loss(why).await;
        }
        let (probe, suspicion) = self
            .loss
            .take()
            .unwrap_or((Probe::Unknown, Suspicion::None));
        let now = Instant::now();
        let left = self.admitted.deadline.saturating_duration_since(now);
        let mut next = next_step(Attempt {
            kind: self.admitted.route.kind,
            ending,
            sent: self.attempts.sent(),
            max_attempts: self.admitted.route.max_attempts,
            unreached: self.unreached,
            may_have_run: self.attempts.may_have_run(),
            has_time: left > MIN_TIME_FOR_RETRY,
        });
        if next == Next::Again && ending == Ending::Lost && suspicion != Suspicion::None {
            next = Next::Unknown;
        }
        // An attempt that reached no upstream adds no load, so the retry budget does not count it.
        let is_repeat = self.attempts.sent() > 0;
        let budget = self.service.budget().left();
        if next == Next::Again && is_repeat && !self.charge() {
            next = self.next_without_budget(ending);
        }
        self.record_failure(upstream, ending, now);
        self.log_ended(upstream, ending, why, next, budget, probe);
        next
    }

    /// Logs the end of an attempt; `budget` is what was left of the retry budget before it.
    pub(crate) fn log_ended(
        &self,
        upstream: &str,
        ending: Ending,
        why: &'static str,
        next: Next,
        budget: f64,
        probe: Probe,
    ) {
        let left = self.time_left();
        let end = ending.to_string();
        self.cx.metrics.attempts.with_label_values(&[&end]).inc();
        events::ATTEMPT_ENDED.emit(&[
            ("id", &self.admitted.id),
            ("upstream", upstream),
            ("end", &end),
            ("why", why),
            ("next", &next.to_string()),
            ("budget", &format!("{budget:.1}")),
            ("sent", &self.attempts.sent().to_string()),
            ("left_ms", &left.as_millis().to_string()),
            ("seen", &probe.to_string()),
            ("fingerprint", &self.logged_fingerprint(ending)),
            ("parts", &self.logged_parts(ending)),
        ]);
    }

    /// Returns the next step for a request that may not be repeated because the retry budget is spent.
    fn next_without_budget(&self, ending: Ending) -> Next {
        match ending {
            Ending::Failed => Next::PassOn,
            Ending::Lost => Next::Unknown,
            Ending::NotSent | Ending::NotRun if self.attempts.may_have_run() => Next::Unknown,
            Ending::NotSent | Ending::NotRun => Next::Refuse,
        }
    }

    /// Counts a failed attempt against its upstream, which is ejected after repeated failures.
    pub(crate) fn record_failure(&self, upstream: &str, ending: Ending, now: Instant) {
        if !matches!(ending, Ending::NotSent | Ending::Lost | Ending::Failed) {
            return;
        }
        let ejected_for = self.service.upstreams().failed(upstream, now);
        if let Some(ejected_for) = ejected_for {
            events::UPSTREAM_SHUNNED.emit(&[
                ("upstream", upstream),
                ("service", &self.admitted.service),
                ("end", &ending.to_string()),
                ("for_ms", &ejected_for.as_millis().to_string()),
            ]);
        }
    }

    async fn connect(&self, pick: &Pick) -> Result<Connection, Ending> {
        self.attempts.tries(&pick.id);
        let repeatable = self.admitted.route.kind.repeatable();
        if let Some(conn) = self
            .service
            .pool
            .check_out(pick.addr, pick.started, repeatable)
        {
            return Ok(conn);
        }
        let opened = Connection::open(pick.addr, pick.started).await;
        // Without a connection no byte of the request was sent.
        opened.or(Err(Ending::NotSent))
    }

    async fn send(
        &mut self,
        pick: &Pick,
        conn: Connection,
        last_event: Option<u64>,
    ) -> AttemptOutcome {
        if let Err((ending, why)) = self.check_pick(pick) {
            return AttemptOutcome::Ended(ending, why);
        }
        let Some(req) = self.request(pick, last_event) else {
            return AttemptOutcome::Ended(Ending::NotSent, "no-time");
        };
        if self.is_uncharged && !self.charge() {
            return AttemptOutcome::Refused(self.refused_by_upstreams());
        }
        let lease = self.count_in_flight(pick);
        self.sent_at = Instant::now();
        self.attempts.begin();
        match self.exchange(conn, lease, req, last_event).await {
            Ok(resp) => AttemptOutcome::Answer(Box::new(resp)),
            Err(Abandoned::Ended(ending, why)) => AttemptOutcome::Ended(ending, why),
            Err(Abandoned::Replaced(other, ending, why)) => match other.answer {
                Ok(resp) => {
                    self.take_over(other.call, self.sent_at, ending, why);
                    AttemptOutcome::Answer(Box::new(resp))
                }
                Err(_) => AttemptOutcome::Ended(ending, why),
            },
        }
    }

    /// Charges the retry budget for the next attempt. Returns `false` if the budget is spent.
    fn charge(&mut self) -> bool {
        let is_charged = self.service.budget().retry();
        self.is_uncharged &= !is_charged;
        is_charged
    }

    /// Counts the request as in flight at its upstream, and announces it to the engine's agent.
    fn count_in_flight(&self, pick: &Pick) -> Lease {
        let tokens = self.admitted.head.prompt_tokens;
        let tokens = tokens.saturating_sub(pick.held_tokens);
        if pick.held_tokens > 0 {
            let held = &self.cx.metrics.prompt_tokens_held;
            held.inc_by(pick.held_tokens.into());
        }
        let lease = Lease::new(&self.service, &pick.id, tokens);
        if let Some(engine) = &self.admitted.engine {
            let prefill = Prediction::prefill_time(engine, tokens);
            let mut upstreams = self.service.upstreams();
            upstreams.add_prefill(&pick.id, prefill, Instant::now());
            drop(upstreams);
            self.cx.agents.announce(pick.addr.ip(), prefill);
        }
        lease
    }

    /// Sends the request and waits for the head of the answer, until the request is quarantined or, for a
    /// stream that stalls, until another upstream has answered.
    async fn exchange(
        &self,
        conn: Connection,
        lease: Lease,
        req: Request<Full<Bytes>>,
        last_event: Option<u64>,
    ) -> ExchangeResult<D> {
        tokio::select! {
            answer = self.exchange_or_replace(conn, lease, req, last_event) => answer,
            () = self.cx.quarantine.until_quarantined(|| self.suspects()) => {
                Err(Abandoned::Ended(Ending::Lost, QUARANTINED))
            }
        }
    }

    /// Sends the request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// Returns how the attempt ended without an answer, with the reason for the log.
    pub(crate) async fn exchange_head(
        &self,
        mut conn: Connection,
        lease: Lease,
        req: Request<Full<Bytes>>,
    ) -> Result<UpstreamResponse, (Ending, &'static str)> {
        match conn.send(req).await {
            Ok(response) => {
                let (head, body) = response.into_parts();
                let meta = self.cx.dialect.answer(head.status, &head.headers);
                self.check_head(UpstreamResponse {
                    head,
                    read_ahead: None,
                    body,
                    meta,
                    conn,
                    lease,
                })
            }
            Err(SendError::NotSent) => {
                self.attempts.not_sent();
                Err((Ending::NotSent, "connection-closed"))
            }
            Err(err) => Err((Ending::Lost, err.why())),
        }
    }

    fn request(&self, pick: &Pick, last_event: Option<u64>) -> Option<Request<Full<Bytes>>> {
        let now = Instant::now();
        let remaining = self.admitted.deadline.saturating_duration_since(now);
        let mut headers = self.template.headers.clone();
        let dispatch = Dispatch {
            remaining,
            upstream: &pick.id,
            customer: self.admitted.customer.as_deref(),
            rank: self.dispatch_rank(),
            version: pick.version,
            last_event,
        };
        self.cx.dialect.dispatch(&mut headers, &dispatch);
        let mut req = Request::new(Full::new(self.template.body.clone()));
        *req.method_mut() = self.template.method.clone();
        *req.uri_mut() = self.template.uri.clone();
        *req.headers_mut() = headers;
        (!remaining.is_zero()).then_some(req)
    }
}

/// Why an attempt has no answer of its own upstream.
pub(crate) enum Abandoned<D> {
    /// The attempt ended so, for this reason.
    Ended(Ending, &'static str),
    /// Another upstream has answered; the attempt ended so, for this reason.
    Replaced(Box<Replaced<D>>, Ending, &'static str),
}

/// Result of sending a request: a response, or why the attempt was abandoned.
pub(crate) type ExchangeResult<D> = Result<UpstreamResponse, Abandoned<D>>;
