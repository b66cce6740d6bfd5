//! The listener for callers: connection limits, request handling, and the log line of each request.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, header};
use http_body_util::{Either, Full, StreamBody};
use wagtailreel_adapters::discard;
use wagtailreel_adapters::has_no_body;
use wagtailreel_route::direct::{Ending, Next};
use wagtailreel_serve::{Handler, Limits, RequestBody, ResponseBody};

use crate::admit::{admit, strip_hop_by_hop};
use crate::answer_head::answer_head;
use crate::attempt::{Call, Template};
use crate::collect::{Collected, collect};
use crate::dialect::Dialect;
use crate::receive::read_body;
use crate::refusal::Refusal;
use crate::relay::Relay;
use crate::request_log::RequestLog;
use crate::shared::Shared;

/// Timeout of an idle connection, and of reading a request head, before a configuration is in force.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Maximum size of a request head before a configuration is in force.
const DEFAULT_HEADER_BYTES: usize = 16 * 1024;

/// Time for which an idle connection is kept beyond the configured timeout. A request that arrives while the
/// connection is closed is lost.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// Longest time for which a caller may read nothing of an answer that is still being received. Upstreams cut off
/// an answer that stays unread for some seconds.
pub(crate) const MAX_UNREAD: Duration = Duration::from_secs(2);

/// Handles the requests of callers.
#[derive(Debug)]
pub(crate) struct CallerHandler<D> {
    cx: Arc<Shared<D>>,
}

impl<D> CallerHandler<D> {
    pub(crate) fn new(cx: Arc<Shared<D>>) -> Self {
        Self { cx }
    }
}

impl<D> Handler for CallerHandler<D>
where
    D: Dialect,
{
    fn limits(&self) -> Limits {
        let limits = self.cx.view.directory().map(|directory| directory.limits());
        let idle = limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| limits.idle_timeout);
        Limits {
            idle: idle + IDLE_MARGIN,
            head: limits.map_or(DEFAULT_HEADER_BYTES, |limits| limits.header_bytes),
            unread: Some(MAX_UNREAD),
        }
    }

    fn answer(
        &self,
        req: Request<RequestBody>,
    ) -> impl Future<Output = Response<impl ResponseBody + use<D>>> + Send + use<D> {
        handle(Arc::clone(&self.cx), req)
    }
}

/// Handles one request, from admission to its log line.
async fn handle<D>(cx: Arc<Shared<D>>, req: Request<RequestBody>) -> Response<impl ResponseBody>
where
    D: Dialect,
{
    let (parts, body) = req.into_parts();
    let head = cx.dialect.request(&parts.headers);
    let conn = parts.extensions.get().copied().unwrap_or_default();
    let mut log = RequestLog::new(&cx.metrics, head.id.clone().unwrap_or_default(), conn);
    let outcome = match admit(&cx, &parts, head) {
        Err(refusal) => Err((refusal, Some(body))),
        Ok(admitted) => {
            log.admitted(&admitted, &cx);
            match read_body(&cx, body, admitted.deadline).await {
                Err(refusal) => Err((refusal, None)),
                Ok(body) => {
                    let template = template(parts, body);
                    let call = Call::new(Arc::clone(&cx), admitted, template);
                    answer(call, &mut log).await.map_err(|it| (it, None))
                }
            }
        }
    };
    match outcome {
        Ok(Answer::Whole(response)) => {
            log.finish("answered");
            response.map(Either::Left)
        }
        Ok(Answer::Relayed(head, relay)) => {
            log.disarm();
            let body = StreamBody::new(relay.into_frames());
            Response::from_parts(head, Either::Right(body))
        }
        Err((refusal, unread_body)) => {
            if let Some(body) = unread_body {
                // Once the process has ended, the kernel answers further data of the body by a reset, so that
                // reading stops at the end of the grace period.
                cx.ending.run_until_cancelled(discard(body)).await;
            }
            log.finish_refused(refusal);
            let mut response = refusal.answer();
            cx.dialect.own_answer(response.headers_mut(), &log.id);
            response.map(Either::Left)
        }
    }
}

/// The answer of an upstream, for the caller.
enum Answer<D> {
    /// The body was read completely.
    Whole(Response<Full<Bytes>>),
    /// The body is passed on while it arrives.
    Relayed(http::response::Parts, Box<Relay<D>>),
}

/// Sends the request to upstreams until one of them gives an answer that the caller can have.
async fn answer<D>(mut call: Call<D>, log: &mut RequestLog) -> Result<Answer<D>, Refusal>
where
    D: Dialect,
{
    loop {
        let cx = Arc::clone(&call.cx);
        let deadline = call.admitted.deadline;
        let last_event = call.admitted.head.last_event;
        let Some(result) = before_deadline(&cx, deadline, call.obtain(last_event)).await else {
            return Err(call.out_of_time());
        };
        let resp = result?;
        log.record_upstream(&call, resp.head.status.as_u16());
        let status = resp.head.status;
        let is_framed = resp.is_framed();
        let upstream = resp.upstream().to_owned();
        let kind = call.admitted.route.kind;
        if kind.is_stream() && status.is_success() && !has_no_body(status) {
            let has_events = resp.has_plain_text();
            let head = answer_head(&resp, has_events && kind.repeatable());
            let relay = if has_events {
                Relay::events(call, resp, log.transfer())
            } else {
                Relay::bytes(call, Bytes::new(), Box::new(resp), log.transfer())
            };
            return Ok(Answer::Relayed(head, Box::new(relay)));
        }
        let head = answer_head(&resp, false);
        let Some(collected) = before_deadline(&cx, deadline, collect(resp)).await else {
            return Err(call.out_of_time());
        };
        let upstream = match collected {
            Collected::Whole(body) => {
                if call.answer_ended(status, is_framed).await {
                    log.first_byte();
                    let body = cx.held.hold(body);
                    return Ok(Answer::Whole(Response::from_parts(head, Full::new(body))));
                }
                upstream
            }
            Collected::Long(first, resp) => {
                let relay = Relay::bytes(call, first, resp, log.transfer());
                return Ok(Answer::Relayed(head, Box::new(relay)));
            }
            Collected::Broken => upstream,
        };
        let next = call.ended(&upstream, Ending::Lost, "body-broke").await;
        if next != Next::Again {
            return Err(Refusal::Unknown);
        }
    }
}

/// Waits for `work`. Returns `None` if the deadline passes before, or the grace period of the entry ends.
async fn before_deadline<D, F>(cx: &Shared<D>, deadline: Instant, work: F) -> Option<F::Output>
where
    F: Future,
{
    tokio::select! {
        done = tokio::time::timeout_at(deadline.into(), work) => done.ok(),
        () = cx.ending.cancelled() => None,
    }
}

/// Returns the request for upstreams: without hop-by-hop headers, and with the length of the body that was
/// read.
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
