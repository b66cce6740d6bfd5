//! `ANY /v1/services/{service}/call/{path}`: calls of plain services.

use std::collections::VecDeque;
use std::sync::Arc;

use axum::body::Body;
use axum::extract::{Path, State};
use axum::response::{IntoResponse as _, Response};
use bytes::Bytes;
use futures::stream::unfold;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Uri, header};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use snafu::Snafu;
use tokio_util::task::task_tracker::TaskTrackerToken;
use wagtailreel_core::headers::HEADER_PREFIX;
use wagtailreel_core::{Outcome, ServiceKind};
use wagtailreel_serve::connection_options;

use crate::front::answer::{Denial, OUTCOME};
use crate::front::attempt::Attempt;
use crate::front::dispatch::{Call, Dispatch, Opened, Payload};
use crate::front::generate::{begin, deny, set_name};
use crate::front::head::{RequestHead, authenticate, read_body, read_head};
use crate::shared::Shared;

/// Answers shorter than this are passed on only once they are complete, so that a truncated one is answered
/// with the outcome `unknown`. If a longer one is truncated, the entry closes the caller's connection.
const MAX_BUFFERED_BYTES: usize = 1024 * 1024;

/// Headers that apply to one connection only and are not passed on.
const HOP_BY_HOP: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Answers a call without a path.
pub(crate) async fn call_root(
    state: State<Arc<Shared>>,
    Path(service): Path<String>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Body,
) -> Response {
    call(
        state,
        Path((service, String::new())),
        method,
        uri,
        headers,
        body,
    )
    .await
}

/// Answers a call.
pub(crate) async fn call(
    State(cx): State<Arc<Shared>>,
    Path((service, _)): Path<(String, String)>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Body,
) -> Response {
    let customer = match authenticate(&cx, &headers) {
        Ok(customer) => customer,
        Err(denial) => return denial.into_response(),
    };
    let run = async {
        let head = read_head(&cx, customer.clone(), &service, &headers)?;
        let body = read_body(&cx, &headers, body).await?;
        let call = Call {
            method,
            path: path_of(&uri),
            headers: forwarded_headers(&headers),
            body,
        };
        run(&cx, head, call).await
    };
    match run.await {
        Ok(response) => response,
        Err(denial) => deny(&cx, &service, &customer, &headers, denial),
    }
}

async fn run(cx: &Arc<Shared>, head: RequestHead, call: Call) -> Result<Response, Denial> {
    if head.document.kind != ServiceKind::Plain {
        return Err(Denial::bad("the service is an engine: use /generate"));
    }
    let name = head.name.clone();
    let is_head = call.method == Method::HEAD;
    let in_flight = cx.requests.token();
    let mut dispatch = begin(cx, head, Payload::Call(call)).await?;
    let opened = dispatch.open().await?;
    let mut answer = CallAnswer::new(dispatch, opened, in_flight);
    let whole = answer.fill().await?;
    let mut headers = forwarded_headers(&answer.headers);
    if whole && !is_head {
        headers.remove(header::CONTENT_LENGTH);
    }
    let answered = HeaderValue::from_static("answered");
    headers.insert(OUTCOME, answered);
    set_name(&mut headers, &name);
    let mut response = Response::new(Body::empty());
    *response.status_mut() = answer.status;
    *response.body_mut() = if whole {
        answer.into_whole()
    } else {
        answer.into_stream()
    };
    *response.headers_mut() = headers;
    Ok(response)
}

/// The answer was truncated after a part of it was passed on.
#[derive(Debug, Snafu)]
#[snafu(display("the answer of the plain service was truncated"))]
struct Truncated;

/// An answer of a plain service that is being passed on to the caller.
#[derive(Debug)]
struct CallAnswer {
    status: http::StatusCode,
    headers: HeaderMap,
    chunks: VecDeque<Bytes>,
    buffered: usize,
    body: Incoming,
    attempt: Attempt,
    dispatch: Dispatch,
    done: bool,
    _in_flight: TaskTrackerToken,
}

impl CallAnswer {
    fn new(dispatch: Dispatch, opened: Opened, in_flight: TaskTrackerToken) -> Self {
        let (parts, body) = opened.response.into_parts();
        Self {
            status: parts.status,
            headers: parts.headers,
            chunks: VecDeque::new(),
            buffered: 0,
            body,
            attempt: opened.attempt,
            dispatch,
            done: false,
            _in_flight: in_flight,
        }
    }

    /// Reads until the answer is complete or the buffer is full; returns whether it is complete.
    async fn fill(&mut self) -> Result<bool, Denial> {
        while self.buffered < MAX_BUFFERED_BYTES {
            match self.read().await {
                Some(Ok(data)) => {
                    self.buffered += data.len();
                    self.chunks.push_back(data);
                }
                None => return Ok(true),
                Some(Err(Truncated)) => {
                    self.done = true;
                    let vm = self.attempt.vm().clone();
                    let Err(denial) = self.dispatch.cut(&vm, 0, None) else {
                        // A call is never repeated, so no replica can continue it.
                        let reason = wagtailreel_route::UnknownReason::Cut;
                        return Err(Denial::Unknown(reason));
                    };
                    return Err(denial);
                }
            }
        }
        Ok(false)
    }

    /// Reads the next data; returns `None` once the answer is complete.
    async fn read(&mut self) -> Option<Result<Bytes, Truncated>> {
        loop {
            let frame = self.attempt.while_alive(self.body.frame()).await;
            match frame {
                Some(Some(Ok(frame))) => {
                    let data = frame.into_data().unwrap_or_default();
                    if !data.is_empty() {
                        return Some(Ok(data));
                    }
                }
                Some(None) => {
                    self.finish();
                    return None;
                }
                Some(Some(Err(_))) | None => return Some(Err(Truncated)),
            }
        }
    }

    fn finish(&mut self) {
        self.done = true;
        self.attempt.set_done();
        self.dispatch.record_outcome(Outcome::Answered, None);
    }

    fn into_whole(mut self) -> Body {
        let mut chunks = std::mem::take(&mut self.chunks);
        match (chunks.pop_front(), chunks.is_empty()) {
            (None, _) => Body::empty(),
            (Some(only), true) => Body::from(only),
            (Some(first), false) => {
                let mut all = Vec::with_capacity(self.buffered);
                all.extend_from_slice(&first);
                for chunk in chunks {
                    all.extend_from_slice(&chunk);
                }
                Body::from(all)
            }
        }
    }

    fn into_stream(self) -> Body {
        Body::from_stream(unfold(Some(self), |answer| async move {
            let mut answer = answer?;
            if let Some(chunk) = answer.chunks.pop_front() {
                return Some((Ok(chunk), Some(answer)));
            }
            match answer.read().await? {
                Ok(data) => Some((Ok(data), Some(answer))),
                Err(err) => {
                    answer.done = true;
                    answer.dispatch.record_outcome(Outcome::Unknown, None);
                    Some((Err(err), None))
                }
            }
        }))
    }
}

impl Drop for CallAnswer {
    fn drop(&mut self) {
        if !self.done {
            self.dispatch.count_caller_gone();
        }
    }
}

/// Returns path and query after `/v1/services/{service}/call/`, as the caller encoded them.
fn path_of(uri: &Uri) -> String {
    let path = uri.path().splitn(6, '/').nth(5).unwrap_or_default();
    match uri.query() {
        Some(query) => format!("{path}?{query}"),
        None => path.to_owned(),
    }
}

/// Returns the headers that are passed on: all except those of the connection, those of the system and
/// the customer's key.
fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<String> = connection_options(headers)
        .map(str::to_ascii_lowercase)
        .collect();
    let dropped = |name: &HeaderName| {
        HOP_BY_HOP.contains(&name.as_str())
            || name == header::HOST
            || name == header::AUTHORIZATION
            || name == header::EXPECT
            || name.as_str().starts_with(HEADER_PREFIX)
            || named.iter().any(|named| named == name.as_str())
    };
    headers
        .iter()
        .filter(|(name, _)| !dropped(name))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}
