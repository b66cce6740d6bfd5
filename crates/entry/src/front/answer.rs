//! Answers of the entry itself to requests that no upstream answers.

use std::time::Duration;

use axum::Json;
use axum::response::{IntoResponse, Response};
use http::{HeaderName, HeaderValue, StatusCode, header};
use serde::Serialize;
use wagtailreel_core::{NotRunReason, Outcome, headers};
use wagtailreel_route::{RetryAfter, UnknownReason};

/// Name of the header with the time after which to send the request again, in milliseconds.
pub(crate) const RETRY_AFTER_MS: HeaderName = HeaderName::from_static(headers::RETRY_AFTER_MS);

/// Name of the header with the request's outcome.
pub(crate) const OUTCOME: HeaderName = HeaderName::from_static(headers::OUTCOME);

/// Name of the header with the reason of the outcome.
pub(crate) const REASON: HeaderName = HeaderName::from_static(headers::REASON);

/// Why a request gets no answer from an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Denial {
    /// The request is invalid and was not run.
    Bad(StatusCode, String),
    /// The request was not run. The duration is the time after which to send it again, if the upstream or
    /// the entry gave one.
    NotRun(NotRunReason, Option<Duration>),
    /// The request may have run: the entry has no proof for or against.
    Unknown(UnknownReason),
}

impl Denial {
    /// Creates the denial of a malformed request.
    pub(crate) fn bad<M>(message: M) -> Self
    where
        M: Into<String>,
    {
        Self::Bad(StatusCode::BAD_REQUEST, message.into())
    }

    /// Returns the outcome and the reason.
    pub(crate) fn outcome(&self) -> (Outcome, Option<NotRunReason>) {
        match self {
            Self::Bad(..) => (Outcome::NotRun, None),
            Self::NotRun(reason, _) => (Outcome::NotRun, Some(*reason)),
            Self::Unknown(_) => (Outcome::Unknown, None),
        }
    }
}

#[derive(Serialize)]
struct DenialBody {
    outcome: Outcome,
    #[serde(skip_serializing_if = "Option::is_none")]
    reason: Option<String>,
    error: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl IntoResponse for Denial {
    fn into_response(self) -> Response {
        let (outcome, _) = self.outcome();
        match self {
            Self::Bad(status, error) => respond(status, outcome, None, error, None),
            Self::NotRun(reason, hint) => {
                let retry_after = RetryAfter::for_reason(reason, hint, &mut rand::rng());
                respond(
                    status_of(reason),
                    outcome,
                    Some(reason.to_string()),
                    explain(reason).to_owned(),
                    retry_after.map(|RetryAfter(wait)| wait),
                )
            }
            Self::Unknown(reason) => respond(
                StatusCode::BAD_GATEWAY,
                outcome,
                Some(reason.to_string()),
                "the request may have run: find out before it is sent again".to_owned(),
                None,
            ),
        }
    }
}

/// Answers a request for a path that does not exist.
pub(crate) async fn no_route() -> Denial {
    let message = "no such path: use /v1/services/{service}/generate or .../call/{path}";
    Denial::Bad(StatusCode::NOT_FOUND, message.to_owned())
}

fn respond(
    status: StatusCode,
    outcome: Outcome,
    reason: Option<String>,
    error: String,
    retry_after: Option<Duration>,
) -> Response {
    let millis = retry_after.map(|wait| u64::try_from(wait.as_millis()).unwrap_or(u64::MAX));
    let body = DenialBody {
        outcome,
        reason: reason.clone(),
        error,
        retry_after_ms: millis,
    };
    let mut response = (status, Json(body)).into_response();
    let headers = response.headers_mut();
    let mut set = |name: HeaderName, value: String| {
        if let Ok(value) = HeaderValue::try_from(value) {
            headers.insert(name, value);
        }
    };
    set(OUTCOME, outcome.to_string());
    if let Some(reason) = reason {
        set(REASON, reason);
    }
    if let Some(millis) = millis {
        set(header::RETRY_AFTER, millis.div_ceil(1000).to_string());
        set(RETRY_AFTER_MS, millis.to_string());
    }
    if status == StatusCode::UNAUTHORIZED {
        set(header::WWW_AUTHENTICATE, "Bearer".to_owned());
    }
    response
}

fn status_of(reason: NotRunReason) -> StatusCode {
    match reason {
        NotRunReason::Limit | NotRunReason::Full => StatusCode::TOO_MANY_REQUESTS,
        NotRunReason::Closed
        | NotRunReason::Lease
        | NotRunReason::Leaving
        | NotRunReason::NoUpstream
        | NotRunReason::LogAway
        | NotRunReason::Cancelled
        | NotRunReason::Weights => StatusCode::SERVICE_UNAVAILABLE,
        NotRunReason::Deadline => StatusCode::GATEWAY_TIMEOUT,
        NotRunReason::Claimed | NotRunReason::Expired => StatusCode::CONFLICT,
        NotRunReason::Refused => StatusCode::BAD_GATEWAY,
    }
}

fn explain(reason: NotRunReason) -> &'static str {
    match reason {
        NotRunReason::Closed | NotRunReason::Lease => {
            "the service is switching to other weights: send the request again"
        }
        NotRunReason::Weights => "no upstream serves the wanted weights: send the request again",
        NotRunReason::Leaving => "this entry is leaving: send the request to another",
        NotRunReason::Full => "all upstreams are busy: send the request again later",
        NotRunReason::Limit => "the customer is over its limit: send fewer requests",
        NotRunReason::Cancelled => "the request was cancelled before it started",
        NotRunReason::Deadline => "the deadline passed before the request started",
        NotRunReason::NoUpstream => "no upstream can be reached: send the request again later",
        NotRunReason::Claimed => {
            "another request holds the order's key: ask what became of it, do not send it again"
        }
        NotRunReason::Expired => {
            "the order's key is too old: make sure that the order did not run, then take a new key"
        }
        NotRunReason::LogAway => "orders can't be claimed now: send the order again later",
        NotRunReason::Refused => "the upstream refused the request: mend it, or send it later",
    }
}
