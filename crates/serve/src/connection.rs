//! One connection, from its first request to its end.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Instant;

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Request, Response, header};
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use pin_project_lite::pin_project;
use tokio::net::TcpStream;

use crate::activity::{Activity, OpenRequest};
use crate::closing::closable;
use crate::events;
use crate::front::{Answered, Front};
use crate::phase::Phase;
use crate::server::Shared;
use crate::socket::{Socket, linger, unread};

/// The smallest buffer that the HTTP library takes, in bytes.
const LEAST_BUF: usize = 8 * 1024;

/// Name of the header that tells how long a connection is kept.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Number of a connection, in the order in which its server accepted them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, derive_more::Display)]
pub struct ConnectionNumber(pub u64);

/// Serves one connection to its end.
pub(crate) async fn serve<F>(cx: Arc<Shared<F>>, stream: TcpStream, number: ConnectionNumber)
where
    F: Front,
{
    // A connection that can't be set up so is still served, only later.
    let _ = stream.set_nodelay(true);
    let stream = Arc::new(stream);
    let activity = Arc::new(Activity::new());
    let limits = cx.front.limits();
    let service = service_fn(|req| answer(Arc::clone(&cx), Arc::clone(&activity), number, req));
    let socket = Socket::new(Arc::clone(&stream), Arc::clone(&activity));
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle)
        .max_buf_size(limits.head.max(LEAST_BUF))
        .serve_connection(TokioIo::new(socket), service);
    let mut conn = std::pin::pin!(conn);
    let (closing, ended) = loop {
        tokio::select! {
            biased;
            ended = conn.as_mut() => break (None, ended),
            why = closable(&cx.phase, &activity) => {
                if unread(&stream).unwrap_or(0) == 0 {
                    break (Some(why), Ok(()));
                }
                // A request has come that the runtime has not heard of yet.
                tokio::task::yield_now().await;
            }
        }
    };
    let failure = ended.err().map(|e| e.to_string());
    let why = match closing {
        Some(why) => why,
        None if failure.is_some() => "failed",
        None if activity.has_ended() => "peer",
        None => "answered",
    };
    let mut end = End {
        number,
        peer: stream
            .peer_addr()
            .map_or_else(|_| String::new(), |it| it.to_string()),
        requests: activity.requests(),
        open: activity.open(),
        quiet_ms: activity.quiet(Instant::now()).as_millis(),
        unread: unread(&stream),
        crossed: 0,
        why,
        reason: failure.unwrap_or_default(),
        phase: cx.phase.now(),
    };
    let label = [cx.listener.as_str(), why];
    cx.counters.ended.with_label_values(&label).inc();
    if !activity.has_ended() {
        end.crossed = linger(&stream).await;
    }
    end.tell(&cx.listener);
}

/// Answers one request of a connection.
async fn answer<F>(
    cx: Arc<Shared<F>>,
    activity: Arc<Activity>,
    number: ConnectionNumber,
    mut req: Request<Incoming>,
) -> Result<Response<Tracked<impl Answered>>, Infallible>
where
    F: Front,
{
    let open = activity.begin();
    req.extensions_mut().insert(number);
    let mut response = cx.front.answer(req).await;
    let headers = response.headers_mut();
    if cx.phase.now() >= Phase::Leaving {
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    } else {
        headers.insert(KEEP_ALIVE, cx.kept.clone());
    }
    Ok(response.map(|body| Tracked { body, _open: open }))
}

/// How a connection ended.
struct End<'a> {
    number: ConnectionNumber,
    peer: String,
    requests: u64,
    open: u32,
    quiet_ms: u128,
    /// Bytes that lay in the socket when the connection was ended.
    unread: Option<u64>,
    /// Bytes that came after that.
    crossed: u64,
    why: &'a str,
    /// What failed.
    reason: String,
    phase: Phase,
}

impl End<'_> {
    /// Writes a line, but for a connection that ended in good order.
    fn tell(&self, listener: &str) {
        let is_usual = self.why == "peer" || self.why == "answered";
        if is_usual && self.unread.unwrap_or(0) == 0 && self.crossed == 0 {
            return;
        }
        let unread = self
            .unread
            .map_or_else(|| "unknown".to_owned(), |it| it.to_string());
        events::CONNECTION_ENDED.emit(&[
            ("listener", listener),
            ("conn", &self.number.to_string()),
            ("peer", &self.peer),
            ("requests", &self.requests.to_string()),
            ("open", &self.open.to_string()),
            ("quiet_ms", &self.quiet_ms.to_string()),
            ("unread", &unread),
            ("crossed", &self.crossed.to_string()),
            ("why", self.why),
            ("reason", &self.reason),
            ("phase", &self.phase.to_string()),
        ]);
    }
}

pin_project! {
    /// The body of an answer; its request is open for as long as it exists.
    pub(crate) struct Tracked<B> {
        #[pin]
        body: B,
        _open: OpenRequest,
    }
}

impl<B> Body for Tracked<B>
where
    B: Body<Data = Bytes>,
{
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        self.project().body.poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
