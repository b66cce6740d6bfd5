//! Requests to a plain service: `/call` and `/cancel`.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Instant;

use axum::body::{Body, Bytes};
use axum::extract::{DefaultBodyLimit, Path, Request, State};
use axum::response::Response;
use axum::routing::{any, post};
use axum::{Json, Router};
use http::header::{
    CONNECTION, CONTENT_LENGTH, HOST, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, Uri};
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use serde::Deserialize;
use wagtailreel_adapters::{Effect, PlainService, PlatformError};
use wagtailreel_core::headers::{HEADER_PREFIX, OUTCOME, REQUEST};
use wagtailreel_core::{NotRunReason, RequestId};

use crate::answers::{self, Cancelled};
use crate::engine_app::{BODY_LIMIT, CALLER_GONE};
use crate::headers::RequestHeaders;
use crate::hub::Hub;
use crate::request_guard::{Refusal, RequestGuard};

/// Hop-by-hop headers, which are not forwarded.
const HOP_BY_HOP_HEADERS: &[HeaderName] = &[
    CONNECTION,
    HOST,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Slashes before the service's own path in `/call/{request}/{path}`.
const SLASHES_BEFORE_PATH: usize = 3;

/// State of the handlers: the hub and the plain service.
#[derive(Clone, Debug)]
pub(crate) struct PlainApp<P> {
    /// State that all requests share.
    pub(crate) hub: Arc<Hub>,
    /// The service, which receives only calls that the gate has admitted.
    pub(crate) service: P,
}

/// Path parameters of a call.
#[derive(Deserialize)]
struct CallPath {
    request: RequestId,
}

/// Returns the routes of a plain service's agent.
pub(crate) fn router<P>(app: PlainApp<P>) -> Router
where
    P: PlainService,
{
    Router::new()
        .route("/call/{request}", any(call::<P>))
        .route("/call/{request}/", any(call::<P>))
        .route("/call/{request}/{*path}", any(call::<P>))
        .route("/cancel/{request}", post(cancel::<P>))
        .layer(DefaultBodyLimit::max(BODY_LIMIT))
        .with_state(app)
}

/// Forwards one call to the service.
async fn call<P>(
    State(app): State<PlainApp<P>>,
    Path(path): Path<CallPath>,
    req: Request,
) -> Response
where
    P: PlainService,
{
    let arrived = Instant::now();
    let req_headers = match RequestHeaders::read(&path.request, req.headers(), arrived) {
        Ok(req_headers) => req_headers,
        Err(name) => return app.hub.refuse_bad(name),
    };
    let (head, body) = req.into_parts();
    // The whole body is read before the service gets any of it, so that a caller that disconnects in
    // mid-body does not leave a partial call at the service.
    let Ok(body) = axum::body::to_bytes(body, BODY_LIMIT).await else {
        return app.hub.refuse_bad("body");
    };
    let Some(uri) = service_uri(&head.uri) else {
        return app.hub.refuse_bad("path");
    };
    let mut out = http::Request::new(body);
    *out.method_mut() = head.method;
    *out.uri_mut() = uri;
    *out.headers_mut() = strip_headers(head.headers);
    // The request's id lets the service recognise a call that it has already received.
    if let Ok(request) = HeaderValue::from_str(&path.request) {
        out.headers_mut().insert(REQUEST, request);
    }
    match start(&app, req_headers, out, arrived).await {
        Ok(response) => response,
        Err(refusal) => app.hub.refuse(refusal),
    }
}

/// Passes a call through the gate and sends it to the service.
async fn start<P>(
    app: &PlainApp<P>,
    req_headers: RequestHeaders,
    req: http::Request<Bytes>,
    arrived: Instant,
) -> Result<Response, Refusal>
where
    P: PlainService,
{
    let mut guard = app.hub.enter(req_headers.req)?;
    guard.start()?;
    app.hub.metrics.observe_admit(arrived.elapsed());
    let mut run = CallRun {
        hub: Arc::clone(&app.hub),
        guard,
        is_counted: false,
    };
    match app.service.call(req).await {
        Ok(response) => Ok(forward_response(response, run)),
        Err(err) => run.fail(&err),
    }
}

/// Builds the response that forwards the service's answer.
fn forward_response(response: http::Response<Incoming>, run: CallRun) -> Response {
    let (mut head, inner) = response.into_parts();
    let is_coded = head.headers.contains_key(TRANSFER_ENCODING);
    // A length beside a transfer coding holds for nothing.
    let length = head.headers.get(CONTENT_LENGTH).filter(|_| !is_coded);
    let length = length.cloned();
    head.headers = strip_headers(head.headers);
    if let Some(length) = length {
        head.headers.insert(CONTENT_LENGTH, length);
    }
    let answered = HeaderValue::from_static("answered");
    head.headers.insert(OUTCOME, answered);
    Response::from_parts(head, Body::new(CallBody { inner, run }))
}

/// Cancels one call. A started call can't be stopped, only abandoned, since a plain service has no
/// cancel.
async fn cancel<P>(
    State(app): State<PlainApp<P>>,
    Path(request): Path<RequestId>,
    headers: HeaderMap,
) -> Json<Cancelled>
where
    P: PlainService,
{
    let state = app.hub.cancel(&request, &headers);
    Json(Cancelled { state })
}

/// Returns the service's own path and query, with their encoding unchanged.
fn service_uri(uri: &Uri) -> Option<Uri> {
    let text = uri.path_and_query()?.as_str();
    let slash = text.match_indices('/').nth(SLASHES_BEFORE_PATH - 1);
    let path = match slash {
        Some((at, _)) => PathAndQuery::try_from(&text[at..]).ok()?,
        None => PathAndQuery::from_static("/"),
    };
    Some(Uri::from(path))
}

/// Removes hop-by-hop headers and the headers of this system.
fn strip_headers(mut headers: HeaderMap) -> HeaderMap {
    for name in HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    // The HTTP library sets the length from the body.
    headers.remove(CONTENT_LENGTH);
    let system_headers: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(HEADER_PREFIX))
        .cloned()
        .collect();
    for name in system_headers {
        headers.remove(name);
    }
    headers
}

/// A call that was sent to the service. The call counts as running until this is dropped.
#[derive(Debug)]
struct CallRun {
    hub: Arc<Hub>,
    guard: RequestGuard,
    is_counted: bool,
}

impl CallRun {
    /// Answers a call that failed.
    ///
    /// The outcome is unknown if the service may have executed the call, else not run.
    fn fail(&mut self, err: &PlatformError) -> Result<Response, Refusal> {
        self.is_counted = true;
        self.hub.check_upstream();
        if err.took_effect() == Effect::No {
            self.guard.undo_start();
            return Err(NotRunReason::Refused.into());
        }
        self.hub.metrics.count_unknown(answers::ANSWER_LOST);
        let (status, reason) = (StatusCode::BAD_GATEWAY, answers::ANSWER_LOST);
        Ok(answers::unknown(status, reason))
    }

    fn count_answered(&mut self) {
        if !self.is_counted {
            self.is_counted = true;
            self.hub.metrics.count_answered();
        }
    }

    fn count_cut(&mut self) {
        self.is_counted = true;
        self.hub.metrics.count_cut();
        self.hub.metrics.count_unknown(answers::ANSWER_LOST);
    }
}

impl Drop for CallRun {
    fn drop(&mut self) {
        if !self.is_counted {
            self.hub.metrics.count_unknown(CALLER_GONE);
        }
    }
}

/// The body of the service's answer. If the service's body is cut, this body is cut too.
struct CallBody {
    inner: Incoming,
    run: CallRun,
}

impl HttpBody for CallBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let this = &mut *self;
        let frame = ready!(Pin::new(&mut this.inner).poll_frame(cx));
        match &frame {
            Some(Ok(_)) if this.inner.is_end_stream() => this.run.count_answered(),
            Some(Ok(_)) => {}
            Some(Err(_)) => this.run.count_cut(),
            None => this.run.count_answered(),
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

impl Drop for CallBody {
    fn drop(&mut self) {
        // A response without a body is never polled, so the answer is counted here.
        if self.inner.is_end_stream() {
            self.run.count_answered();
        }
    }
}
