//! Responses that the agent itself makes, rather than forwards from an upstream.

use axum::Json;
use axum::body::Body;
use axum::response::{IntoResponse, Response};
use http::{HeaderValue, StatusCode};
use serde::Serialize;
use serde_json::json;
use wagtailreel_core::headers::{OUTCOME, REASON};
use wagtailreel_core::{NotRunReason, Outcome};

use crate::request_guard::Refusal;
use crate::requests::CancelState;

/// Reason for an unknown outcome: a request with the same id is or was running.
pub(crate) const DUPLICATE: &str = "duplicate";

/// Reason for an unknown outcome: the request was sent but its answer was lost.
pub(crate) const ANSWER_LOST: &str = "answer-lost";

/// Answer to a cancel.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct Cancelled {
    /// State of the request after the cancel.
    pub(crate) state: CancelState,
}

/// Answers a request that the agent refuses.
pub(crate) fn refused(refusal: Refusal) -> Response<Body> {
    match refusal {
        Refusal::NotRun(reason) => not_run(reason),
        Refusal::Duplicate => unknown(StatusCode::CONFLICT, DUPLICATE),
    }
}

/// Answers that this attempt of the request was not run.
pub(crate) fn not_run(reason: NotRunReason) -> Response<Body> {
    with_outcome(status_of(reason), Outcome::NotRun, &reason.to_string())
}

/// Answers a malformed request, which was not run.
pub(crate) fn bad_request(problem: &str) -> Response<Body> {
    let mut response = not_run(NotRunReason::Refused);
    *response.status_mut() = StatusCode::BAD_REQUEST;
    *response.body_mut() =
        Body::from(json!({ "outcome": "not-run", "reason": problem }).to_string());
    response
}

/// Answers a request for a route that this agent does not have, such as `/call` at an engine's agent.
pub(crate) async fn no_such_route() -> Response<Body> {
    let mut response = not_run(NotRunReason::Refused);
    *response.status_mut() = StatusCode::NOT_FOUND;
    response
}

/// Answers that the request may have been run.
pub(crate) fn unknown(status: StatusCode, reason: &str) -> Response<Body> {
    with_outcome(status, Outcome::Unknown, reason)
}

/// Returns the HTTP status of a reason.
fn status_of(reason: NotRunReason) -> StatusCode {
    match reason {
        NotRunReason::Limit | NotRunReason::Full => StatusCode::TOO_MANY_REQUESTS,
        NotRunReason::Deadline => StatusCode::GATEWAY_TIMEOUT,
        NotRunReason::Claimed | NotRunReason::Expired | NotRunReason::Cancelled => {
            StatusCode::CONFLICT
        }
        NotRunReason::Refused => StatusCode::BAD_GATEWAY,
        NotRunReason::Closed
        | NotRunReason::Weights
        | NotRunReason::Lease
        | NotRunReason::Leaving
        | NotRunReason::NoUpstream
        | NotRunReason::LogAway => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn with_outcome(status: StatusCode, outcome: Outcome, reason: &str) -> Response<Body> {
    let text = json!({ "outcome": outcome, "reason": reason });
    let mut response = (status, Json(text)).into_response();
    let headers = response.headers_mut();
    if let Ok(outcome) = HeaderValue::from_str(&outcome.to_string()) {
        headers.insert(OUTCOME, outcome);
    }
    if let Ok(reason) = HeaderValue::from_str(reason) {
        headers.insert(REASON, reason);
    }
    response
}
