//! The callers' front: connections, requests, and the account of each.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use futures::Stream;
use http::{HeaderValue, Request, Response, header};
use http_body::Frame;
use http_body_util::{BodyExt as _, Either, Full, StreamBody};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::task::TaskTracker;
use wagtailreel_adapters::discard;

use crate::admit::{Admitted, admit, strip_hop_by_hop};
use crate::attempt::{Call, Template};
use crate::dialect::Dialect;
use crate::events;
use crate::live::Live;
use crate::refusal::Refusal;
use crate::relay::{BrokenOff, Collected, Relay, collect};
use crate::shared::Shared;
use wagtailreel_route::direct::Pick;
use wagtailreel_route::direct::{Ending, Next};

/// Head and idle time of a connection while there is no configuration.
const DEFAULT_IDLE: Duration = Duration::from_secs(15);

/// Longest head while there is no configuration, in bytes.
const DEFAULT_HEAD: usize = 16 * 1024;

/// Longest body while there is no configuration, in bytes.
const DEFAULT_BODY: usize = 4 << 20;

/// The smallest buffer that the HTTP library takes, in bytes.
const LEAST_BUF: usize = 8 * 1024;

/// Further time for which a quiet connection is kept: a request that crosses the end is lost.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// Pause after a connection could not be accepted, as when descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts callers until the entry closes.
pub(crate) async fn accept<D>(cx: Arc<Shared<D>>, listener: TcpListener, tasks: TaskTracker)
where
    D: Dialect,
{
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = cx.closing.cancelled() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                tasks.spawn(serve(Arc::clone(&cx), stream));
            }
            Err(e) => {
                events::CONNECTION_FAILED.emit(&[("reason", &e.to_string())]);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves one connection.
async fn serve<D>(cx: Arc<Shared<D>>, stream: TcpStream)
where
    D: Dialect,
{
    // A connection that can't be set up so is still served, only later.
    let _ = stream.set_nodelay(true);
    let limits = cx.view.directory().map(|directory| directory.limits());
    let idle = limits.map_or(DEFAULT_IDLE, |limits| limits.idle_timeout) + IDLE_MARGIN;
    let head = limits.map_or(DEFAULT_HEAD, |limits| limits.header_bytes);
    let service = service_fn(|req| handle(Arc::clone(&cx), req));
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(head.max(LEAST_BUF))
        .serve_connection(TokioIo::new(stream), service);
    let mut conn = std::pin::pin!(conn);
    let ended = tokio::select! {
        ended = conn.as_mut() => ended,
        () = cx.closing.cancelled() => {
            conn.as_mut().graceful_shutdown();
            conn.await
        }
    };
    if let Err(e) = ended {
        events::CONNECTION_FAILED.emit(&[("reason", &e.to_string())]);
    }
}

/// Answers one request.
async fn handle<D>(
    cx: Arc<Shared<D>>,
    req: Request<Incoming>,
) -> Result<
    Response<
        Either<Full<Bytes>, StreamBody<impl Stream<Item = Result<Frame<Bytes>, BrokenOff>> + Send>>,
    >,
    Infallible,
>
where
    D: Dialect,
{
    let (parts, body) = req.into_parts();
    let head = cx.dialect.request(&parts.headers);
    let mut tally = Tally::new(&cx.metrics, head.id.clone().unwrap_or_default());
    let answered = match admit(&cx, &parts, head) {
        Err(refusal) => Err((refusal, Some(body))),
        Ok(admitted) => {
            tally.admitted(&admitted, &cx);
            match read_body(&cx, body).await {
                Err(refusal) => Err((refusal, None)),
                Ok(body) => {
                    let template = template(parts, body);
                    let call = Call::new(Arc::clone(&cx), admitted, template);
                    answer(call, &mut tally).await.map_err(|it| (it, None))
                }
            }
        }
    };
    let mut response = match answered {
        Ok(Answer::Whole(response)) => {
            tally.done("answered");
            response.map(Either::Left)
        }
        Ok(Answer::Relayed(head, relay)) => {
            tally.disarm();
            let body = StreamBody::new(relay.into_frames());
            Response::from_parts(head, Either::Right(body))
        }
        Err((refusal, unread)) => {
            if let Some(body) = unread {
                discard(body).await;
            }
            tally.done_by(refusal);
            let mut response = refusal.answer();
            cx.dialect.own_answer(response.headers_mut(), &tally.id);
            response.map(Either::Left)
        }
    };
    if cx.is_leaving() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(response)
}

/// What a caller gets.
enum Answer<D> {
    Whole(Response<Full<Bytes>>),
    Relayed(http::response::Parts, Box<Relay<D>>),
}

/// Brings an answer of an upstream.
async fn answer<D>(mut call: Call<D>, tally: &mut Tally) -> Result<Answer<D>, Refusal>
where
    D: Dialect,
{
    loop {
        let deadline = tokio::time::Instant::from_std(call.admitted.deadline);
        let obtained =
            tokio::time::timeout_at(deadline, call.obtain(call.admitted.head.last_event));
        let Ok(obtained) = obtained.await else {
            return Err(call.out_of_time());
        };
        let live = obtained?;
        tally.sent_to(&call, live.head.status.as_u16());
        let head = answer_head(&live);
        if call.admitted.route.kind.is_stream() && live.head.status.is_success() {
            let relay = Relay::events(call, live, tally.hand_over());
            return Ok(Answer::Relayed(head, Box::new(relay)));
        }
        let collected = tokio::time::timeout_at(deadline, collect(live)).await;
        let Ok(collected) = collected else {
            return Err(call.out_of_time());
        };
        match collected {
            Collected::Whole(body) => {
                tally.first_byte();
                return Ok(Answer::Whole(Response::from_parts(head, Full::new(body))));
            }
            Collected::Long(first, live) => {
                let relay = Relay::bytes(call, first, live, tally.hand_over());
                return Ok(Answer::Relayed(head, Box::new(relay)));
            }
            Collected::Broken(upstream) => {
                if call.ended(&upstream, Ending::Lost, "body-broke") != Next::Again {
                    return Err(Refusal::Unknown);
                }
            }
        }
    }
}

/// Returns the head for the caller.
fn answer_head(live: &Live) -> http::response::Parts {
    let mut response = Response::new(());
    *response.status_mut() = live.head.status;
    *response.headers_mut() = live.head.headers.clone();
    strip_hop_by_hop(response.headers_mut());
    response.into_parts().0
}

fn template(parts: http::request::Parts, body: Bytes) -> Template {
    let mut headers = parts.headers;
    strip_hop_by_hop(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    let has_body = !body.is_empty();
    if has_body {
        headers.insert(header::CONTENT_LENGTH, HeaderValue::from(body.len()));
    }
    let path = parts.uri.path_and_query().cloned();
    let uri = path.map_or(parts.uri, http::Uri::from);
    Template {
        method: parts.method,
        uri,
        headers,
        body,
    }
}

/// Reads a request's body whole, up to the limit of the configuration.
async fn read_body<D>(cx: &Shared<D>, body: Incoming) -> Result<Bytes, Refusal> {
    let limits = cx.view.directory().map(|directory| directory.limits());
    let limit = limits.map_or(DEFAULT_BODY, |limits| limits.body_bytes);
    let mut body = body;
    let mut buf = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return Err(Refusal::BodyBroken);
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if buf.len() + data.len() > limit {
            discard(body).await;
            return Err(Refusal::BodyTooLarge);
        }
        buf.extend_from_slice(&data);
    }
    Ok(buf.freeze())
}

/// The account of one request: one line and its metrics when it is over.
#[derive(Debug)]
pub(crate) struct Tally {
    pub(crate) id: String,
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

impl Tally {
    fn new(metrics: &crate::metrics::Metrics, id: String) -> Self {
        metrics.open.inc();
        Self {
            id,
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

    fn admitted<D>(&mut self, admitted: &Admitted, cx: &Shared<D>) {
        self.route.clone_from(&admitted.route.name);
        self.service.clone_from(&admitted.service);
        self.customer = admitted.customer.clone().unwrap_or_default();
        self.prompt_tokens = admitted.head.prompt_tokens;
        self.answer_tokens = admitted.head.answer_tokens;
        self.config = admitted.directory.version();
        let age = cx.view.age(wagtailreel_fleet::Topic::Settings);
        self.belief = age.unwrap_or_default();
    }

    fn sent_to<D>(&mut self, call: &Call<D>, status: u16) {
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
    fn hand_over(&mut self) -> Self {
        let mut taken = Self::new(&self.metrics, self.id.clone());
        std::mem::swap(self, &mut taken);
        self.id.clone_from(&taken.id);
        taken
    }

    fn disarm(&mut self) {
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

impl Drop for Tally {
    fn drop(&mut self) {
        // Whatever is dropped before its end was told belongs to a caller that left.
        self.close("caller-left", events::REQUEST_DONE);
    }
}
