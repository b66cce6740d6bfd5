//! Requests to a model engine: `/run` and `/cancel`.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Instant;

use axum::body::{Body, Bytes};
use axum::extract::rejection::BytesRejection;
use axum::extract::{DefaultBodyLimit, Path, State};
use axum::response::Response;
use axum::routing::post;
use axum::{Json, Router};
use futures::Stream as _;
use http::header::{CACHE_CONTROL, CONTENT_TYPE};
use http::{HeaderMap, HeaderValue, StatusCode};
use serde::Deserialize;
use wagtailreel_adapters::{Effect, Engine, EngineEvent, GenerateRequest, PlatformError};
use wagtailreel_core::headers::{EPOCH, WEIGHTS};
use wagtailreel_core::{NotRunReason, RequestId};
use wagtailreel_switch::Admission;

use crate::answers::{self, Cancelled};
use crate::headers::RequestHeaders;
use crate::hub::Hub;
use crate::request_guard::{Refusal, RequestGuard};
use crate::requests::CancelState;
use crate::tokens::TokenBody;

/// Maximum size of a request's body, in bytes. The entries apply a limit of their own to callers.
pub(crate) const BODY_LIMIT: usize = 16 * 1024 * 1024;

/// Maximum number of tokens of an answer if the caller sets none.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// Reason for an unknown outcome: the engine's stream broke off.
const STREAM_CUT: &str = "cut";

/// Reason for an unknown outcome: the caller disconnected before the end of the answer.
pub(crate) const CALLER_GONE: &str = "caller-gone";

/// Body of a `/run` request.
#[derive(Deserialize)]
struct CallerRequest {
    prompt: String,
    #[serde(default = "default_max_tokens")]
    max_tokens: u32,
}

const fn default_max_tokens() -> u32 {
    DEFAULT_MAX_TOKENS
}

/// State of the handlers: the hub and the engine.
#[derive(Clone, Debug)]
pub(crate) struct EngineApp<E> {
    /// State that all requests share.
    pub(crate) hub: Arc<Hub>,
    /// The engine, which receives only requests that the gate has admitted.
    pub(crate) engine: E,
}

/// Returns the routes of an engine's agent.
pub(crate) fn router<E>(app: EngineApp<E>) -> Router
where
    E: Engine + Unpin,
{
    Router::new()
        .route("/run/{request}", post(run::<E>))
        .route("/cancel/{request}", post(cancel::<E>))
        .layer(DefaultBodyLimit::max(BODY_LIMIT))
        .with_state(app)
}

/// Runs one request.
async fn run<E>(
    State(app): State<EngineApp<E>>,
    Path(request): Path<RequestId>,
    headers: HeaderMap,
    body: Result<Bytes, BytesRejection>,
) -> Response
where
    E: Engine + Unpin,
{
    let arrived = Instant::now();
    let req_headers = match RequestHeaders::read(&request, &headers, arrived) {
        Ok(req_headers) => req_headers,
        Err(name) => return app.hub.refuse_bad(name),
    };
    let caller = body
        .ok()
        .and_then(|body| serde_json::from_slice(&body).ok());
    let Some(caller) = caller else {
        return app.hub.refuse_bad("body");
    };
    match start(&app, request, req_headers, caller, arrived).await {
        Ok(response) => response,
        Err(refusal) => app.hub.refuse(refusal),
    }
}

/// Passes a request through the gate and sends it to the engine.
async fn start<E>(
    app: &EngineApp<E>,
    request: RequestId,
    req_headers: RequestHeaders,
    caller: CallerRequest,
    arrived: Instant,
) -> Result<Response, Refusal>
where
    E: Engine + Unpin,
{
    let mut guard = app.hub.enter(req_headers.req)?;
    let admission = guard.admission();
    let req = GenerateRequest {
        request: request.clone(),
        bundle: admission.weights,
        prompt: caller.prompt,
        max_tokens: caller.max_tokens,
        priority: req_headers.priority,
        resume_from: req_headers.resume_from,
    };
    guard.start()?;
    app.hub.metrics.observe_admit(arrived.elapsed());
    let mut run = Run::new(app, request, guard);
    match app.engine.generate(&req).await {
        Ok(tokens) => {
            run.tokens = Some(tokens);
            Ok(stream_response(
                TokenBody::new(run, req_headers.resume_from),
                admission,
            ))
        }
        Err(err) => run.fail(&err),
    }
}

/// Builds the response that streams the tokens.
fn stream_response<E>(tokens: TokenBody<E>, admission: Admission) -> Response
where
    E: Engine + Unpin,
{
    let mut response = Response::new(Body::from_stream(tokens));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    headers.insert(EPOCH, HeaderValue::from(admission.epoch));
    if let Ok(weights) = HeaderValue::from_str(&admission.weights.to_string()) {
        headers.insert(WEIGHTS, weights);
    }
    response
}

/// Cancels one request.
async fn cancel<E>(
    State(app): State<EngineApp<E>>,
    Path(request): Path<RequestId>,
    headers: HeaderMap,
) -> Json<Cancelled>
where
    E: Engine + Unpin,
{
    let state = app.hub.cancel(&request, &headers);
    if state == CancelState::Started {
        // The engine's answer is ignored: the state `started` holds whatever the engine answers.
        let _ = app.engine.cancel(&request).await;
    }
    Json(Cancelled { state })
}

/// A request that was sent to the engine.
///
/// Invariant: if the run is dropped before the request has ended, because the entry disconnected or
/// the stream was cut, the request is cancelled at the engine. The request counts as running until
/// the engine has answered the cancel.
pub(crate) struct Run<E>
where
    E: Engine,
{
    hub: Arc<Hub>,
    engine: E,
    request: RequestId,
    started: Instant,
    last_token: Option<Instant>,
    forwarded: u64,
    /// The engine's stream, once the engine has answered. The stream stays open until a cancel is
    /// answered, so that the engine gets the cancel and not only a closed connection.
    tokens: Option<E::Tokens>,
    admission: Admission,
    counted: bool,
    /// `None` once the request has ended.
    guard: Option<RequestGuard>,
}

impl<E> Run<E>
where
    E: Engine,
{
    fn new(app: &EngineApp<E>, request: RequestId, guard: RequestGuard) -> Self {
        Self {
            hub: Arc::clone(&app.hub),
            engine: app.engine.clone(),
            request,
            started: Instant::now(),
            last_token: None,
            forwarded: 0,
            tokens: None,
            admission: guard.admission(),
            counted: false,
            guard: Some(guard),
        }
    }

    /// Returns the epoch and weights that the request was admitted to.
    pub(crate) fn admission(&self) -> Admission {
        self.admission
    }

    /// Polls the engine's stream.
    pub(crate) fn poll_tokens(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<EngineEvent, PlatformError>>> {
        match &mut self.tokens {
            Some(tokens) => Pin::new(tokens).poll_next(cx),
            None => Poll::Ready(None),
        }
    }

    /// Counts a token that is forwarded.
    pub(crate) fn count_token(&mut self) {
        self.forwarded += 1;
    }

    /// Records the time at which one or several tokens were forwarded together.
    pub(crate) fn record_token_time(&mut self, now: Instant) {
        match self.last_token.replace(now) {
            Some(last) => self.hub.token_gaps.add(now.saturating_duration_since(last)),
            None => {
                let delay = now.saturating_duration_since(self.started);
                self.hub.metrics.observe_first_token(delay);
            }
        }
    }

    /// Ends the request as answered completely.
    pub(crate) fn end_answered(&mut self) {
        self.hub.metrics.count_answered();
        self.guard = None;
    }

    /// Ends the request with an unknown outcome, for an answer that must not be trusted.
    pub(crate) fn end_unknown(&mut self, reason: &str) {
        self.count_unknown(reason);
        self.guard = None;
    }

    /// Counts the request as cut. The drop of this run cancels the request at the engine.
    pub(crate) fn mark_cut(&mut self) {
        self.hub.metrics.count_cut();
        self.count_unknown(STREAM_CUT);
    }

    fn count_unknown(&mut self, reason: &str) {
        self.counted = true;
        self.hub.metrics.count_unknown(reason);
    }

    /// Answers a request whose call to the engine failed.
    ///
    /// The outcome is unknown if the engine may have started the request, else not run.
    fn fail(mut self, err: &PlatformError) -> Result<Response, Refusal> {
        if err.took_effect() == Effect::Maybe {
            self.count_unknown(answers::ANSWER_LOST);
            // The drop of `self` cancels the request, which the engine may have started.
            return Ok(answers::unknown(
                StatusCode::BAD_GATEWAY,
                answers::ANSWER_LOST,
            ));
        }
        if let Some(mut guard) = self.guard.take() {
            guard.undo_start();
        }
        let reason = match err.status() {
            Some(StatusCode::NOT_FOUND) => {
                self.hub.bundle_missing(self.admission.epoch);
                NotRunReason::Weights
            }
            Some(StatusCode::TOO_MANY_REQUESTS) => NotRunReason::Full,
            Some(_) => NotRunReason::Refused,
            None => {
                self.hub.check_upstream();
                NotRunReason::Refused
            }
        };
        Err(reason.into())
    }
}

impl<E> Drop for Run<E>
where
    E: Engine,
{
    fn drop(&mut self) {
        self.hub.metrics.count_tokens(self.forwarded);
        let Some(guard) = self.guard.take() else {
            return;
        };
        if !self.counted {
            self.hub.metrics.count_unknown(CALLER_GONE);
        }
        let (engine, request) = (self.engine.clone(), std::mem::take(&mut self.request));
        let tokens = self.tokens.take();
        // Without a runtime the process is exiting, and the engine sees the connection close.
        let Ok(runtime) = tokio::runtime::Handle::try_current() else {
            return;
        };
        runtime.spawn(async move {
            // An error is ignored: if the engine does not know the request or is unreachable, there is
            // nothing to cancel.
            let _ = engine.cancel(&request).await;
            drop(tokens);
            drop(guard);
        });
    }
}
