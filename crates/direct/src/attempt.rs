//! The attempts of one request at upstreams.

use std::collections::BTreeSet;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Uri};
use http_body_util::Full;
use hyper::body::Incoming;
use wagtailreel_fleet::{Fingerprint, UpstreamId};

use crate::admit::Admitted;
use crate::answered::AttemptOutcome;
use crate::dialect::{Dialect, Dispatch};
use crate::events;
use crate::lost::Probe;
use crate::pool::{Connection, SendError};
use crate::refusal::Refusal;
use crate::response::{Lease, UpstreamResponse};
use crate::shared::Shared;
use crate::view::Service;
use wagtailreel_route::direct::{Attempt, Ending, Next, next_step};
use wagtailreel_route::direct::{Pick, Prediction, StallPolicy, Suspicion};

/// Minimum time before the deadline with which another attempt is still made.
pub(crate) const MIN_TIME_FOR_RETRY: Duration = Duration::from_millis(60);

/// Maximum time between two checks of the weights bound of a request that has no first event yet: newer
/// weights with an earlier bound may be named meanwhile.
const WEIGHTS_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Reason in the log for an attempt that is abandoned because its answer stalls.
pub(crate) const STALLED: &str = "stalled";

/// Reason in the log for an attempt that is abandoned because its request is quarantined.
const QUARANTINED: &str = "quarantined";

/// The request as each upstream receives it, before the dialect adds its headers.
#[derive(Debug)]
pub(crate) struct Template {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// One request and its attempts.
///
/// Invariant: `may_have_run` is set before the first byte of an attempt is sent, and cleared only if no
/// byte was sent or the upstream states that it did not run the request.
#[derive(Debug)]
pub(crate) struct Call<D> {
    pub(crate) cx: Arc<Shared<D>>,
    pub(crate) admitted: Admitted,
    pub(crate) template: Template,
    pub(crate) sent: u32,
    /// The upstream of the current attempt, with the load that the choice was based on.
    pub(crate) last_pick: Option<Pick>,
    pub(crate) sent_at: Instant,
    stall_policy: StallPolicy,
    pub(crate) service: Arc<Service>,
    pub(crate) tried: BTreeSet<UpstreamId>,
    unreached: u32,
    pub(crate) may_have_run: bool,
    /// Whether the request is sent to see whether a quarantined suspect completes.
    pub(crate) is_retry: bool,
    pub(crate) suspects: OnceLock<Vec<Fingerprint>>,
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
            sent: 0,
            last_pick: None,
            sent_at: Instant::now(),
            stall_policy,
            service,
            tried: BTreeSet::new(),
            unreached: 0,
            may_have_run: false,
            is_retry: false,
            suspects: OnceLock::new(),
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

    /// Returns the refusal for a request whose deadline has passed.
    pub(crate) const fn out_of_time(&self) -> Refusal {
        if self.may_have_run {
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
        let probe = match ending {
            Ending::Lost if why != STALLED && why != QUARANTINED => self.probe_upstream().await,
            _ => Probe::Unknown,
        };
        let now = Instant::now();
        let left = self.admitted.deadline.saturating_duration_since(now);
        let mut next = next_step(Attempt {
            kind: self.admitted.route.kind,
            ending,
            sent: self.sent,
            max_attempts: self.admitted.route.max_attempts,
            unreached: self.unreached,
            may_have_run: self.may_have_run,
            has_time: left > MIN_TIME_FOR_RETRY,
        });
        let suspicion = self.record_crash(probe);
        if next == Next::Again && ending == Ending::Lost && suspicion != Suspicion::None {
            next = Next::Unknown;
        }
        // An attempt that reached no upstream adds no load, so the retry budget does not count it.
        let is_repeat = self.sent > 0;
        let budget = self.service.budget().left();
        if next == Next::Again && is_repeat && !self.service.budget().retry() {
            next = self.next_without_budget(ending);
        }
        self.record_failure(upstream, ending, now);
        let end = ending.to_string();
        self.cx.metrics.attempts.with_label_values(&[&end]).inc();
        events::ATTEMPT_ENDED.emit(&[
            ("id", &self.admitted.id),
            ("upstream", upstream),
            ("end", &end),
            ("why", why),
            ("next", &next.to_string()),
            ("budget", &format!("{budget:.1}")),
            ("sent", &self.sent.to_string()),
            ("left_ms", &left.as_millis().to_string()),
            ("seen", &probe.to_string()),
            ("fingerprint", &self.logged_fingerprint(ending)),
            ("parts", &self.logged_parts(ending)),
        ]);
        next
    }

    /// Returns the next step for a request that may not be repeated because the retry budget is spent.
    fn next_without_budget(&self, ending: Ending) -> Next {
        match ending {
            Ending::Failed => Next::PassOn,
            Ending::Lost => Next::Unknown,
            Ending::NotSent | Ending::NotRun if self.may_have_run => Next::Unknown,
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

    async fn connect(&mut self, pick: &Pick) -> Result<Connection, Ending> {
        self.tried.insert(pick.id.clone());
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
        let may_have_run_before = self.may_have_run;
        let lease = self.count_in_flight(pick);
        self.sent_at = Instant::now();
        self.may_have_run = true;
        self.sent += 1;
        let (conn, answer) = self.exchange(conn, req).await;
        let response = match answer {
            Ok(Ok(response)) => response,
            Ok(Err(SendError::NotSent)) => {
                self.may_have_run = may_have_run_before;
                self.sent -= 1;
                return AttemptOutcome::Ended(Ending::NotSent, "connection-closed");
            }
            Ok(Err(err)) => return AttemptOutcome::Ended(Ending::Lost, err.why()),
            Err(Abandoned::Stalled) => return AttemptOutcome::Ended(Ending::Lost, STALLED),
            Err(Abandoned::Quarantined) => return AttemptOutcome::Ended(Ending::Lost, QUARANTINED),
        };
        let (head, body) = response.into_parts();
        let meta = self.cx.dialect.answer(head.status, &head.headers);
        let resp = UpstreamResponse {
            head,
            body,
            meta,
            conn,
            lease,
        };
        self.on_answer_head(resp, may_have_run_before)
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
    /// stream that can be resumed at another upstream, until it stalls.
    async fn exchange(
        &self,
        mut conn: Connection,
        req: Request<Full<Bytes>>,
    ) -> (Connection, ExchangeResult) {
        let answer = tokio::select! {
            answer = self.exchange_until_stalled(&mut conn, req) => answer,
            () = self.cx.quarantine.until_quarantined(|| self.suspects()) => {
                Err(Abandoned::Quarantined)
            }
        };
        (conn, answer)
    }

    async fn exchange_until_stalled(
        &self,
        conn: &mut Connection,
        req: Request<Full<Bytes>>,
    ) -> ExchangeResult {
        let kind = self.admitted.route.kind;
        if !kind.is_stream() || !kind.repeatable() {
            return Ok(conn.send(req).await);
        }
        let mut sending = std::pin::pin!(conn.send(req));
        loop {
            let Some(wait) = self.next_check(self.sent_at, false) else {
                return Err(Abandoned::Stalled);
            };
            if let Ok(answer) = tokio::time::timeout(wait, &mut sending).await {
                return Ok(answer);
            }
        }
    }

    /// Returns the time until the next stall check of a stream that has waited for its next event since
    /// `since`. Returns `None` if the stream is to be abandoned at its upstream.
    ///
    /// A stream without a first event is also abandoned when the bound passes after which no request may
    /// begin on its weights.
    pub(crate) fn next_check(&self, since: Instant, has_first_event: bool) -> Option<Duration> {
        let now = Instant::now();
        let pick = self.last_pick.as_ref()?;
        let liveness = self.service.upstreams().liveness(pick, now);
        let waited = now.saturating_duration_since(since);
        let wait = self.stall_policy.next_check(waited, liveness)?;
        if has_first_event || pick.version.is_none() {
            return Some(wait);
        }
        let within = self.begin_within(pick).unwrap_or(WEIGHTS_CHECK_INTERVAL);
        (!within.is_zero()).then(|| wait.min(within).min(WEIGHTS_CHECK_INTERVAL))
    }

    /// Returns the time left in which the request may begin on the weights of `pick`. Returns `None` if no
    /// newer weights are named.
    fn begin_within(&self, pick: &Pick) -> Option<Duration> {
        let model = self.admitted.model.as_deref();
        let (model, version) = model.zip(pick.version)?;
        self.cx.view.begin_within(model, version)
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

/// Why an attempt is abandoned before the head of its answer.
enum Abandoned {
    /// The stall timeout has passed.
    Stalled,
    /// The request was quarantined because upstreams crashed while they ran it.
    Quarantined,
}

/// Result of sending a request: a response, a send error, or why the attempt was abandoned.
type ExchangeResult = Result<Result<http::Response<Incoming>, SendError>, Abandoned>;
