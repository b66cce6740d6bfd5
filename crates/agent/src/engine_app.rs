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
use crate::headers::Wanted;
use crate::hub::Hub;
use crate::request_guard::{Refusal, RequestGuard};
use crate::requests::CancelState;
use crate::tokens::TokenBody;

/// Longest body of a request, in bytes. The entries hold callers to a limit of their own.
pub(crate) const BODY_LIMIT: usize = 16 * 1024 * 1024;

/// Tokens of an answer if the caller does not say.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// Reason of a request whose stream the engine broke off.
const CUT: &str = "cut";

/// Reason of a request whose caller went before the end of its answer.
pub(crate) const CALLER_GONE: &str = "caller-gone";

/// What a caller sends.
#[derive(Deserialize)]
struct CallerRequest {
    prompt: String,
    #[serde(default = "default_max_tokens")]
    max_tokens: u32,
}

const fn default_max_tokens() -> u32 {
    DEFAULT_MAX_TOKENS
}

/// The agent's shared parts and its engine.
#[derive(Clone, Debug)]
pub(crate) struct EngineApp<E> {
    /// What every request shares.
    pub(crate) hub: Arc<Hub>,
    /// The engine behind the gate.
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
    let wanted = match Wanted::read(&request, &headers, arrived) {
        Ok(wanted) => wanted,
        Err(name) => return app.hub.refuse_bad(name),
    };
    let caller = body
        .ok()
        .and_then(|body| serde_json::from_slice(&body).ok());
    let Some(caller) = caller else {
        return app.hub.refuse_bad("body");
    };
    match start(&app, request, wanted, caller, arrived).await {
        Ok(response) => response,
        Err(refusal) => app.hub.refuse(refusal),
    }
}

/// Takes a request through the gate and to the engine.
async fn start<E>(
    app: &EngineApp<E>,
    request: RequestId,
    wanted: Wanted,
    caller: CallerRequest,
    arrived: Instant,
) -> Result<Response, Refusal>
where
    E: Engine + Unpin,
{
    let mut guard = app.hub.enter(wanted.req)?;
    let admission = guard.admission();
    let req = GenerateRequest {
        request: request.clone(),
        bundle: admission.weights,
        prompt: caller.prompt,
        max_tokens: caller.max_tokens,
        priority: wanted.priority,
        resume_from: wanted.resume_from,
    };
    guard.start()?;
    app.hub.metrics.observe_admit(arrived.elapsed());
    let mut run = Run::new(app, request, guard);
    match app.engine.generate(&req).await {
        Ok(tokens) => {
            run.tokens = Some(tokens);
            Ok(answer(TokenBody::new(run, wanted.resume_from), admission))
        }
        Err(err) => run.fail(&err),
    }
}

/// Answers with the stream of tokens.
fn answer<E>(tokens: TokenBody<E>, admission: Admission) -> Response
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
        // The answer does not depend on it: the request was started, whatever the engine says.
        let _ = app.engine.cancel(&request).await;
    }
    Json(Cancelled { state })
}

/// A request that the engine has been given.
///
/// Invariant: dropped without an end, because the entry has gone or the stream was cut, it is
/// cancelled at the engine, and counted as running until the engine has answered to that.
pub(crate) struct Run<E>
where
    E: Engine,
{
    hub: Arc<Hub>,
    engine: E,
    request: RequestId,
    started: Instant,
    last_token: Option<Instant>,
    passed: u64,
    /// The engine's stream, once there is one. It is kept open until a cancel was answered, so
    /// that the engine hears the order and not just a closed connection.
    tokens: Option<E::Tokens>,
    admission: Admission,
    counted: bool,
    /// None once the request has ended.
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
            passed: 0,
            tokens: None,
            admission: guard.admission(),
            counted: false,
            guard: Some(guard),
        }
    }

    /// Returns what the request was admitted to.
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

    /// Counts a token that passes.
    pub(crate) fn count_token(&mut self) {
        self.passed += 1;
    }

    /// Takes note of when tokens passed, one or several at once.
    pub(crate) fn note_tokens(&mut self, now: Instant) {
        match self.last_token.replace(now) {
            Some(last) => self.hub.token_gaps.add(now.saturating_duration_since(last)),
            None => {
                let delay = now.saturating_duration_since(self.started);
                self.hub.metrics.observe_first_token(delay);
            }
        }
    }

    /// Ends the request: it was answered whole.
    pub(crate) fn end_answered(&mut self) {
        self.hub.metrics.count_answered();
        self.guard = None;
    }

    /// Ends the request: its answer is not to be trusted.
    pub(crate) fn end_unknown(&mut self, reason: &str) {
        self.count_unknown(reason);
        self.guard = None;
    }

    /// Counts the request as cut; it is cancelled when this is dropped.
    pub(crate) fn cut(&mut self) {
        self.hub.metrics.count_cut();
        self.count_unknown(CUT);
    }

    fn count_unknown(&mut self, reason: &str) {
        self.counted = true;
        self.hub.metrics.count_unknown(reason);
    }

    /// Answers a request that the engine did not take, or may have taken.
    fn fail(mut self, err: &PlatformError) -> Result<Response, Refusal> {
        if err.took_effect() == Effect::Maybe {
            self.count_unknown(answers::ANSWER_LOST);
            // Dropped with its passage: the engine is told to cancel what it may have started.
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
        self.hub.metrics.count_tokens(self.passed);
        let Some(guard) = self.guard.take() else {
            return;
        };
        if !self.counted {
            self.hub.metrics.count_unknown(CALLER_GONE);
        }
        let (engine, request) = (self.engine.clone(), std::mem::take(&mut self.request));
        let tokens = self.tokens.take();
        // Without a runtime the process is ending, and the engine sees the connection close.
        let Ok(runtime) = tokio::runtime::Handle::try_current() else {
            return;
        };
        runtime.spawn(async move {
            // The engine may not know the request or be gone: then there is nothing to cancel.
            let _ = engine.cancel(&request).await;
            drop(tokens);
            drop(guard);
        });
    }
}
