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
use crate::dialect::{Dialect, Dispatch};
use crate::events;
use crate::live::{Lease, Live};
use crate::lost::Seen;
use crate::pool::{Connection, SendError};
use crate::refusal::Refusal;
use crate::shared::Shared;
use crate::view::Service;
use wagtailreel_route::direct::{Attempt, Ending, Next, next_step};
use wagtailreel_route::direct::{Pick, Prediction, StallPolicy, Suspicion};

/// Time that must be left for another attempt to be worth making.
pub(crate) const LEAST_FOR_RETRY: Duration = Duration::from_millis(60);

/// Longest wait before another look at a request that has not begun on weights of a version: newer ones may be heard
/// of meanwhile whose bound is over soon.
const WEIGHTS_LOOK: Duration = Duration::from_millis(100);

/// What the log says of an attempt that was given up since its answer did not go on.
pub(crate) const STALLED: &str = "stalled";

/// The same of one that was given up since upstreams ended under the request elsewhere.
const QUARANTINED: &str = "quarantined";

/// A request as it is sent to every upstream.
#[derive(Debug)]
pub(crate) struct Template {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// One request and its attempts.
///
/// Invariant: `may_have_run` is set before the first byte of an attempt can leave, and cleared only
/// by the upstream's word that it did not run the request.
#[derive(Debug)]
pub(crate) struct Call<D> {
    pub(crate) cx: Arc<Shared<D>>,
    pub(crate) admitted: Admitted,
    pub(crate) template: Template,
    pub(crate) sent: u32,
    /// The upstream that was chosen last, and what was known of it.
    pub(crate) last_pick: Option<Pick>,
    pub(crate) sent_at: Instant,
    stall_policy: StallPolicy,
    pub(crate) service: Arc<Service>,
    pub(crate) tried: BTreeSet<UpstreamId>,
    unreached: u32,
    pub(crate) may_have_run: bool,
    pub(crate) fingerprint: OnceLock<Fingerprint>,
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
            fingerprint: OnceLock::new(),
        }
    }

    /// Sends the request to upstreams until one answers.
    ///
    /// # Errors
    ///
    /// Returns the refusal that the caller gets.
    pub(crate) async fn obtain(&mut self, last_event: Option<u64>) -> Result<Live, Refusal> {
        loop {
            self.check_quarantine()?;
            let pick = self.choose_next().await?;
            self.last_pick = Some(pick.clone());
            let (ending, why) = match self.connect(&pick).await {
                Ok(conn) => match self.send(&pick, conn, last_event).await {
                    Sent::Answer(live) => return Ok(*live),
                    Sent::Ended(ending, why) => (ending, why),
                },
                Err(ending) => (ending, "no-connection"),
            };
            match self.ended(&pick.id, ending, why).await {
                Next::Again => {}
                Next::Refuse => return Err(Refusal::UpstreamsRefused),
                Next::PassOn | Next::Unknown => return Err(Refusal::Unknown),
            }
        }
    }

    /// Returns the refusal for a request whose time is over.
    pub(crate) const fn out_of_time(&self) -> Refusal {
        if self.may_have_run {
            Refusal::Timeout
        } else {
            Refusal::Deadline
        }
    }

    /// Takes that an attempt ended without an answer, and decides what follows; `why` is what the
    /// log says of it.
    pub(crate) async fn ended(
        &mut self,
        upstream: &str,
        ending: Ending,
        why: &'static str,
    ) -> Next {
        if ending == Ending::NotSent {
            self.unreached += 1;
        }
        let seen = match ending {
            Ending::Lost if why != STALLED && why != QUARANTINED => self.look_at_upstream().await,
            _ => Seen::Unknown,
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
            has_time: left > LEAST_FOR_RETRY,
        });
        let suspicion = self.suspect(seen);
        if next == Next::Again && ending == Ending::Lost && suspicion != Suspicion::None {
            next = Next::Unknown;
        }
        // An attempt that reached nobody costs nobody anything; the next one is the first.
        let is_repeat = self.sent > 0;
        let budget = self.service.budget().left();
        if next == Next::Again && is_repeat && !self.service.budget().retry() {
            next = self.without_budget(ending);
        }
        self.judge(upstream, ending, now);
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
            ("seen", &seen.to_string()),
            ("fingerprint", &self.told_fingerprint(ending)),
        ]);
        next
    }

    fn without_budget(&self, ending: Ending) -> Next {
        match ending {
            Ending::Failed => Next::PassOn,
            Ending::Lost => Next::Unknown,
            Ending::NotSent | Ending::NotRun if self.may_have_run => Next::Unknown,
            Ending::NotSent | Ending::NotRun => Next::Refuse,
        }
    }

    /// Counts a failure against the upstream that it came through.
    pub(crate) fn judge(&self, upstream: &str, ending: Ending, now: Instant) {
        if !matches!(ending, Ending::NotSent | Ending::Lost | Ending::Failed) {
            return;
        }
        let shunned = self.service.upstreams().failed(upstream, now);
        if let Some(shun) = shunned {
            events::UPSTREAM_SHUNNED.emit(&[
                ("upstream", upstream),
                ("service", &self.admitted.service),
                ("end", &ending.to_string()),
                ("for_ms", &shun.as_millis().to_string()),
            ]);
        }
    }

    async fn connect(&mut self, pick: &Pick) -> Result<Connection, Ending> {
        self.tried.insert(pick.id.clone());
        let repeatable = self.admitted.route.kind.repeatable();
        if let Some(conn) = self.service.pool.take(pick.addr, pick.started, repeatable) {
            return Ok(conn);
        }
        let opened = Connection::open(pick.addr, pick.started).await;
        // Nothing was sent, whatever kept the connection from being made.
        opened.or(Err(Ending::NotSent))
    }

    async fn send(&mut self, pick: &Pick, conn: Connection, last_event: Option<u64>) -> Sent {
        // It may have begun to leave while the connection was made.
        if !self.service.upstreams().may_send(&pick.id) {
            return Sent::Ended(Ending::NotSent, "began-to-leave");
        }
        let Some(req) = self.request(pick, last_event) else {
            return Sent::Ended(Ending::NotSent, "no-time");
        };
        let doubted_before = self.may_have_run;
        let lease = self.take_place(pick);
        self.sent_at = Instant::now();
        self.may_have_run = true;
        self.sent += 1;
        let (conn, answer) = self.exchange(conn, req).await;
        let response = match answer {
            Ok(Ok(response)) => response,
            Ok(Err(SendError::NotSent)) => {
                self.may_have_run = doubted_before;
                self.sent -= 1;
                return Sent::Ended(Ending::NotSent, "connection-closed");
            }
            Ok(Err(SendError::Lost)) => return Sent::Ended(Ending::Lost, "connection-broke"),
            Err(GivenUp::Stalled) => return Sent::Ended(Ending::Lost, STALLED),
            Err(GivenUp::Quarantined) => return Sent::Ended(Ending::Lost, QUARANTINED),
        };
        let (head, body) = response.into_parts();
        let marks = self.cx.dialect.answer(head.status, &head.headers);
        let live = Live {
            head,
            body,
            marks,
            conn,
            lease,
        };
        self.take_answer(live, doubted_before)
    }

    /// Takes that the first event of an attempt has come.
    pub(crate) fn begun(&self) {
        if let Some(pick) = &self.last_pick {
            let now = Instant::now();
            let seen = now.saturating_duration_since(self.sent_at);
            self.service.upstreams().record_first_event(pick, seen, now);
        }
    }

    /// Counts the request at its upstream, here and at the agent beside it.
    fn take_place(&self, pick: &Pick) -> Lease {
        let tokens = self.admitted.head.prompt_tokens;
        let lease = Lease::new(&self.service, &pick.id, tokens);
        if let Some(engine) = &self.admitted.engine {
            let prefill_time = Prediction::prefill_time(engine, tokens);
            let mut upstreams = self.service.upstreams();
            upstreams.add_prefill(&pick.id, prefill_time, Instant::now());
            drop(upstreams);
            self.cx.agents.announce(pick.addr.ip(), prefill_time);
        }
        lease
    }

    /// Waits for the head of an answer, until the request is quarantined; a stream that may go on
    /// elsewhere not for ever.
    async fn exchange(
        &self,
        mut conn: Connection,
        req: Request<Full<Bytes>>,
    ) -> (Connection, Exchanged) {
        let answer = tokio::select! {
            answer = self.exchange_in_time(&mut conn, req) => answer,
            () = self.cx.suspects.until_quarantined(|| self.fingerprint()) => {
                Err(GivenUp::Quarantined)
            }
        };
        (conn, answer)
    }

    async fn exchange_in_time(
        &self,
        conn: &mut Connection,
        req: Request<Full<Bytes>>,
    ) -> Exchanged {
        let kind = self.admitted.route.kind;
        if !kind.is_stream() || !kind.repeatable() {
            return Ok(conn.send(req).await);
        }
        let mut sending = std::pin::pin!(conn.send(req));
        loop {
            let Some(look) = self.next_check(self.sent_at, false) else {
                return Err(GivenUp::Stalled);
            };
            if let Ok(answer) = tokio::time::timeout(look, &mut sending).await {
                return Ok(answer);
            }
        }
    }

    /// Returns how long to wait before the next look at a stream whose next event has been waited for
    /// since `since`; none if it is to be taken off its upstream.
    ///
    /// One that has not begun is taken back where its weights are about to be too old to begin on.
    pub(crate) fn next_check(&self, since: Instant, has_begun: bool) -> Option<Duration> {
        let now = Instant::now();
        let pick = self.last_pick.as_ref()?;
        let liveness = self.service.upstreams().liveness(pick, now);
        let waited = now.saturating_duration_since(since);
        let look = self.stall_policy.next_check(waited, liveness)?;
        if has_begun || pick.version.is_none() {
            return Some(look);
        }
        let within = self.begin_within(pick).unwrap_or(WEIGHTS_LOOK);
        (!within.is_zero()).then(|| look.min(within).min(WEIGHTS_LOOK))
    }

    /// Returns how much longer the request may wait to begin on the weights of `pick`; none if nothing
    /// newer is named.
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
            rank: self.admitted.rank,
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

/// How an attempt went on after its connection was there.
pub(crate) enum Sent {
    /// The upstream answered.
    Answer(Box<Live>),
    /// It brought no answer, and what the log says of it.
    Ended(Ending, &'static str),
}

/// Why the head of an answer is not waited for any longer.
enum GivenUp {
    /// The patience for it is over.
    Stalled,
    /// Upstreams ended under the request elsewhere.
    Quarantined,
}

/// What came of sending a request.
type Exchanged = Result<Result<http::Response<Incoming>, SendError>, GivenUp>;
