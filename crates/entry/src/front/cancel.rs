//! Requests to agents to cancel an attempt.

use std::net::SocketAddr;
use std::time::Duration;

use http::{HeaderValue, Method, Request, Uri};
use serde::Deserialize;
use wagtailreel_adapters::{Body, HttpClient, collect_body, encode_segment};
use wagtailreel_core::Incarnation;
use wagtailreel_route::CancelState;

use crate::front::dispatch::INCARNATION;

/// Longest time that an agent may take to answer a cancel.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest answer to a cancel, in bytes.
const CANCEL_LIMIT: usize = 4096;

#[derive(Deserialize)]
struct CancelAnswer {
    state: String,
}

/// Asks the agent at `addr` to cancel the attempt `id`; returns `None` if the agent gives no valid answer.
///
/// The cancel names the `incarnation` that got the attempt. A later incarnation does not know what the
/// earlier one ran, and must not answer `not-run` for a request that it never received.
pub(crate) async fn send_cancel(
    client: &HttpClient,
    addr: SocketAddr,
    incarnation: Incarnation,
    id: &str,
) -> Option<CancelState> {
    let uri = format!("http://{addr}/cancel/{}", encode_segment(id));
    let mut req = Request::new(Body::empty());
    *req.method_mut() = Method::POST;
    *req.uri_mut() = Uri::try_from(uri).ok()?;
    req.headers_mut()
        .insert(INCARNATION, HeaderValue::from(incarnation));
    let response = client.request_within(req, CANCEL_TIMEOUT).await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    let body = response.into_body();
    let body = collect_body("agent", body, CANCEL_LIMIT, CANCEL_TIMEOUT).await;
    let answer: CancelAnswer = serde_json::from_slice(&body.ok()?).ok()?;
    match answer.state.as_str() {
        "not-run" => Some(CancelState::NotRun),
        "started" => Some(CancelState::Started),
        "done" => Some(CancelState::Done),
        _ => None,
    }
}
