//! `POST /v1/services/{service}/generate`: prompts, answered by a stream of tokens.

use std::sync::Arc;
use std::time::{Duration, Instant};

use axum::body::Body;
use axum::extract::{Path, State};
use axum::response::{IntoResponse, Response};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
use serde::Deserialize;
use wagtailreel_core::{NotRunReason, ServiceKind, headers};
use wagtailreel_fold::KeyProblem;

use crate::claims::{ClaimError, ClaimTicket};
use crate::front::answer::Denial;
use crate::front::dispatch::{Dispatch, Payload};
use crate::front::head::{RequestHead, authenticate, read_body, read_head};
use crate::front::stream::AnswerStream;
use crate::shared::Shared;

/// Longest time that an order may wait for its claim.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);

/// Header with the caller's name for the request.
const REQUEST: HeaderName = HeaderName::from_static(headers::REQUEST);

#[derive(Deserialize)]
struct Prompt {
    prompt: String,
    max_tokens: Option<u32>,
}

/// Answers a prompt.
pub(crate) async fn generate(
    State(cx): State<Arc<Shared>>,
    Path(service): Path<String>,
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
        run(&cx, head, body).await
    };
    match run.await {
        Ok(response) => response,
        Err(denial) => deny(&cx, &service, &customer, &headers, denial),
    }
}

async fn run(cx: &Arc<Shared>, head: RequestHead, body: bytes::Bytes) -> Result<Response, Denial> {
    if head.document.kind != ServiceKind::Engine {
        return Err(Denial::bad("the service is plain: use /call/{path}"));
    }
    let prompt: Prompt = serde_json::from_slice(&body).map_err(|err| {
        Denial::bad(format!(
            "the body is not `{{\"prompt\", \"max_tokens\"}}`: {err}"
        ))
    })?;
    if prompt.max_tokens == Some(0) {
        return Err(Denial::bad("`max_tokens` is 0: ask for at least one"));
    }
    let name = head.name.clone();
    let in_flight = cx.requests.token();
    let dispatch = begin(cx, head, Payload::Generate(body)).await?;
    let mut dispatch = dispatch.with_prompt(&prompt.prompt);
    let opened = dispatch.open().await?;
    let answer = AnswerStream::new(dispatch, opened, in_flight);
    let mut response = Response::new(answer.into_body());
    let headers = response.headers_mut();
    let stream = HeaderValue::from_static("text/event-stream");
    headers.insert(header::CONTENT_TYPE, stream);
    let no_store = HeaderValue::from_static("no-store");
    headers.insert(header::CACHE_CONTROL, no_store);
    set_name(headers, &name);
    Ok(response)
}

/// Admits a request and claims its order's key, if it has one.
///
/// The claim comes last, so that a request that is not admitted causes no write to the log.
pub(crate) async fn begin(
    cx: &Arc<Shared>,
    head: RequestHead,
    payload: Payload,
) -> Result<Dispatch, Denial> {
    let admitted = head.service.admit(head.priority, head.deadline).await;
    let admission = admitted.map_err(|(reason, wait)| Denial::NotRun(reason, Some(wait)))?;
    let claim = claim(cx, &head).await?;
    Ok(Dispatch::new(cx, head, payload, admission, claim))
}

async fn claim(cx: &Shared, head: &RequestHead) -> Result<Option<ClaimTicket>, Denial> {
    let Some(key) = &head.order else {
        return Ok(None);
    };
    let until = Instant::now() + CLAIM_TIMEOUT;
    let until = head.deadline.map_or(until, |deadline| deadline.min(until));
    let claim = cx.claims.claim(head.service.name(), key, &head.id, until);
    match claim.await {
        Ok(ticket) => Ok(Some(ticket)),
        Err(problem) => Err(deny_claim(problem)),
    }
}

fn deny_claim(problem: ClaimError) -> Denial {
    match problem {
        ClaimError::Claimed => Denial::NotRun(NotRunReason::Claimed, None),
        ClaimError::LogAway | ClaimError::Key(KeyProblem::Unseen) => {
            Denial::NotRun(NotRunReason::LogAway, None)
        }
        ClaimError::Key(KeyProblem::Expired) => Denial::NotRun(NotRunReason::Expired, None),
        ClaimError::Key(problem) => Denial::Bad(StatusCode::BAD_REQUEST, problem.to_string()),
    }
}

/// Counts a denial and answers with it.
pub(crate) fn deny(
    cx: &Shared,
    service: &str,
    customer: &str,
    headers: &HeaderMap,
    denial: Denial,
) -> Response {
    // A service name that is not in the configuration must not become a label: callers could create any
    // number of time series.
    let known = cx.services.get(service).is_some();
    let service = if known { service } else { "unknown" };
    let (outcome, reason) = denial.outcome();
    cx.metrics.outcome(service, customer, outcome, reason);
    let mut response = denial.into_response();
    if let Some(name) = headers.get(REQUEST) {
        response.headers_mut().insert(REQUEST, name.clone());
    }
    if cx.is_leaving() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Adds the header with the request's name.
pub(crate) fn set_name(headers: &mut HeaderMap, name: &str) {
    if let Ok(name) = HeaderValue::try_from(name) {
        headers.insert(REQUEST, name);
    }
}
