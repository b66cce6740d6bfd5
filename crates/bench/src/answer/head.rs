//! The head of an answer: a stream goes on, anything else has its outcome in the headers.

use std::time::Duration;

use http::{HeaderMap, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use wagtailreel_core::Outcome;
use wagtailreel_core::headers::{OUTCOME, REASON, RETRY_AFTER_MS};

use super::ending::{Ending, malformed};
use super::stream::State;

/// Reads the head: a stream goes on, anything else has its outcome in the headers.
pub(super) async fn read_head(response: http::Response<Incoming>) -> State {
    let (head, body) = response.into_parts();
    if head.status == StatusCode::OK {
        return State::Open(body);
    }
    let text = match body.collect().await {
        Ok(body) => String::from_utf8_lossy(&body.to_bytes()).into_owned(),
        Err(_) => String::new(),
    };
    let outcome = header(&head.headers, OUTCOME);
    let reason = header(&head.headers, REASON).unwrap_or_default();
    let ending = match outcome.as_deref().map(Outcome::from_wire) {
        Some(Some(Outcome::NotRun)) => Ending::NotRun {
            reason,
            retry_after: retry_after(&head.headers),
            status: head.status,
        },
        Some(Some(Outcome::Unknown)) => Ending::Unknown { reason },
        Some(_) => malformed("an outcome header that doesn't fit its status"),
        None => Ending::Refused {
            status: head.status,
            body: text,
        },
    };
    State::Ended(ending)
}

/// Reads when to come back; both headers have to be there.
fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    header(headers, "retry-after")?.parse::<u64>().ok()?;
    let ms = header(headers, RETRY_AFTER_MS)?.parse().ok()?;
    Some(Duration::from_millis(ms))
}

fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_owned())
}
