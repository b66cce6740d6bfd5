//! Serves one connection until it is closed.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::{HeaderName, HeaderValue, Method, Request, Response, Version, header};
use http_body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;

use crate::activity::Activity;
use crate::body::{RequestBody, TrackedBody};
use crate::closing::{KEEP_ALIVE_TIMEOUT, closable};
use crate::events;
use crate::handler::{Handler, ResponseBody};
use crate::options::connection_options;
use crate::phase::{Phase, PhaseWatch};
use crate::server::Shared;
use crate::socket::{Socket, close_in_order, linger, refuse, reset_on_close, unread};
use crate::unread::unread as unread_response;

/// Smallest buffer size that the HTTP library accepts, in bytes.
const MIN_BUF: usize = 8 * 1024;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Number of a connection, in the order in which its server accepted them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, derive_more::Display)]
pub struct ConnectionNumber(pub u64);

/// Serves one connection until it is closed.
pub(crate) async fn serve<F>(cx: Arc<Shared<F>>, stream: TcpStream, number: ConnectionNumber)
where
    F: Handler,
{
    // Without TCP_NODELAY the connection still works, with a higher latency.
    let _ = stream.set_nodelay(true);
    let stream = Arc::new(stream);
    let open = cx.counters.open.with_label_values(&[&cx.listener]);
    open.inc();
    let activity = Arc::new(Activity::new());
    let limits = cx.handler.limits();
    let keep_alive = keep_alive(limits.idle);
    let service = service_fn(|req| {
        let keep_alive = keep_alive.clone();
        let cx = Arc::clone(&cx);
        let activity = Arc::clone(&activity);
        let stream = Arc::clone(&stream);
        answer(cx, stream, activity, number, keep_alive, req)
    });
    let socket = Socket::new(Arc::clone(&stream), Arc::clone(&activity));
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle)
        .max_buf_size(limits.head.max(MIN_BUF))
        .serve_connection(TokioIo::new(socket), service);
    let mut conn = std::pin::pin!(conn);
    // Declared after `conn` so that it is dropped first: it logs the number of open requests.
    let mut end = End::new(&cx.listener, &cx.phase, &stream, &activity, number);
    let unread_len = || unread(&stream).unwrap_or(0);
    let mut is_reset = false;
    let (closing, ended) = tokio::select! {
        biased;
        ended = conn.as_mut() => (None, ended),
        why = closable(&cx.phase, &activity, unread_len) => (Some(why), Ok(())),
        why = unread_response(&stream, &activity, limits) => {
            // An orderly close could let a response look complete that ends with its connection.
            reset_on_close(&stream);
            is_reset = true;
            (Some(why), Ok(()))
        }
    };
    if activity.ends_with_connection() {
        if activity.has_whole_response() {
            close_in_order(&stream);
        } else {
            is_reset = true;
        }
    }
    let failure = ended.err().map(|e| e.to_string());
    let why = match closing {
        Some(why) => why,
        None if failure.is_some() => "failed",
        None if activity.has_ended() => "peer",
        None => "answered",
    };
    end.close(why, failure.unwrap_or_default());
    let label = [cx.listener.as_str(), why];
    cx.counters.ended.with_label_values(&label).inc();
    if closing.is_some() && activity.is_in_head() {
        refuse(&stream);
    }
    if !activity.has_ended() && !is_reset {
        linger(&stream, &mut end.crossed).await;
    }
    open.dec();
}

/// Answers one request of a connection.
async fn answer<F>(
    cx: Arc<Shared<F>>,
    stream: Arc<TcpStream>,
    activity: Arc<Activity>,
    number: ConnectionNumber,
    keep_alive: Option<HeaderValue>,
    req: Request<Incoming>,
) -> Result<Response<TrackedBody<impl ResponseBody>>, Infallible>
where
    F: Handler,
{
    let open = activity.on_request();
    let is_keep_alive = allows_keep_alive(&req);
    let is_framed = req.version() >= Version::HTTP_11 || req.method() == Method::HEAD;
    let (mut parts, body) = req.into_parts();
    parts.extensions.insert(number);
    let body = RequestBody::new(body, Arc::clone(&open));
    let mut response = cx.handler.answer(Request::from_parts(parts, body)).await;
    let headers = response.headers_mut();
    headers.remove(KEEP_ALIVE);
    // The HTTP library closes a connection whose request body was not read to its end.
    if cx.phase.now() >= Phase::Leaving || !open.is_read() {
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    } else if let Some(keep_alive) = keep_alive.filter(|_| is_keep_alive) {
        headers.insert(KEEP_ALIVE, keep_alive);
    }
    if !is_framed && !has_length(&response) {
        activity.on_unframed_response();
        reset_on_close(&stream);
    }
    Ok(response.map(|body| TrackedBody::new(body, open)))
}

/// Returns whether a response states the length of its body, or the HTTP library does so.
fn has_length<B>(response: &Response<B>) -> bool
where
    B: Body,
{
    response.headers().contains_key(header::CONTENT_LENGTH)
        || response.body().size_hint().exact().is_some()
}

/// Returns the value of the `Keep-Alive` header, or `None` if the idle time is under one second.
fn keep_alive(idle: Duration) -> Option<HeaderValue> {
    let seconds = KEEP_ALIVE_TIMEOUT.min(idle).as_secs();
    let text = (seconds > 0).then(|| format!("timeout={seconds}"))?;
    HeaderValue::try_from(text).ok()
}

/// Returns whether the caller allows its connection to stay open after `req`.
fn allows_keep_alive(req: &Request<Incoming>) -> bool {
    let has =
        |option| connection_options(req.headers()).any(|named| named.eq_ignore_ascii_case(option));
    if req.version() < Version::HTTP_11 {
        has("keep-alive")
    } else {
        !has("close")
    }
}

/// Logs how a connection ended. The event is written on drop, so also if the process exits before the
/// connection is closed.
struct End<'a> {
    listener: &'a str,
    phase: &'a PhaseWatch,
    stream: &'a TcpStream,
    activity: &'a Activity,
    number: ConnectionNumber,
    /// `None` while the connection is served.
    closed: Option<Closed>,
    /// Bytes received after the connection was closed here.
    crossed: u64,
}

/// State of a connection at the time it was closed.
struct Closed {
    why: &'static str,
    /// Error text, empty if nothing failed.
    reason: String,
    requests: u64,
    open: u32,
    quiet_ms: u128,
    /// Bytes left in the receive buffer of the socket.
    unread: Option<u64>,
    phase: Phase,
}

impl<'a> End<'a> {
    fn new(
        listener: &'a str,
        phase: &'a PhaseWatch,
        stream: &'a TcpStream,
        activity: &'a Activity,
        number: ConnectionNumber,
    ) -> Self {
        Self {
            listener,
            phase,
            stream,
            activity,
            number,
            closed: None,
            crossed: 0,
        }
    }

    /// Records that the connection is no longer served.
    fn close(&mut self, why: &'static str, reason: String) {
        self.closed = Some(self.closed_now(why, reason));
    }

    fn closed_now(&self, why: &'static str, reason: String) -> Closed {
        Closed {
            why,
            reason,
            requests: self.activity.requests(),
            open: self.activity.open(),
            quiet_ms: self.activity.quiet(Instant::now()).as_millis(),
            unread: unread(self.stream),
            phase: self.phase.now(),
        }
    }
}

impl Drop for End<'_> {
    /// Logs the end of the connection, unless it was closed normally.
    fn drop(&mut self) {
        let closed = self.closed.take();
        let closed = closed.unwrap_or_else(|| self.closed_now("cut", String::new()));
        let is_usual = closed.why == "peer" || closed.why == "answered";
        if is_usual && closed.unread.unwrap_or(0) == 0 && self.crossed == 0 {
            return;
        }
        let peer = self.stream.peer_addr().map(|peer| peer.to_string());
        // A connection that was reset has no peer address.
        let peer = peer.unwrap_or_default();
        let unread = closed
            .unread
            .map_or_else(|| "unknown".to_owned(), |it| it.to_string());
        events::CONNECTION_ENDED.emit(&[
            ("listener", self.listener),
            ("conn", &self.number.to_string()),
            ("peer", &peer),
            ("requests", &closed.requests.to_string()),
            ("open", &closed.open.to_string()),
            ("quiet_ms", &closed.quiet_ms.to_string()),
            ("unread", &unread),
            ("crossed", &self.crossed.to_string()),
            ("why", closed.why),
            ("reason", &closed.reason),
            ("phase", &closed.phase.to_string()),
        ]);
    }
}
