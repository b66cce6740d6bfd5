//! Serves what the own VM has to its peers.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use axum::extract::{Path, Query, State};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::{Json, Router};
use bytes::Bytes;
use futures::Stream;
use futures::stream::unfold;
use http::{HeaderMap, HeaderValue, StatusCode, header};
use serde::Deserialize;
use wagtailreel_core::headers::RETRY_AFTER_MS;
use wagtailreel_core::{Digest, Manifest};

use crate::gives::Give;
use crate::shared::Shared;

/// Bytes that a reader gets before the next has its turn.
const SLICE: usize = 64 * 1024;

/// Longest time that a question may wait for news.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// When to come back if the link has no limit to reckon with.
const BUSY: Duration = Duration::from_millis(30);

/// Shortest and longest time to come back.
const BUSY_RANGE: (Duration, Duration) = (Duration::from_millis(10), Duration::from_secs(2));

/// What a peer asks with.
#[derive(Debug, Deserialize)]
struct HaveQuery {
    /// Version that the peer knows.
    since: Option<u64>,
    /// How long to wait for another, in milliseconds.
    #[serde(default)]
    wait_ms: u64,
}

/// Makes the routes for peers.
pub(crate) fn router(shared: Arc<Shared>) -> Router {
    Router::new()
        .route("/weights/{digest}/have", get(have))
        .route("/chunks/{digest}", get(chunk))
        .route("/manifests/{name}/{version}", get(manifest))
        .with_state(shared)
}

/// Says what is there of a bundle, once it is news.
async fn have(
    State(shared): State<Arc<Shared>>,
    Path(digest): Path<String>,
    Query(query): Query<HaveQuery>,
) -> Response {
    let Ok(bundle) = digest.parse::<Digest>() else {
        return no_digest();
    };
    let wait = Duration::from_millis(query.wait_ms).min(MAX_WAIT);
    let answer = shared.haves.answer(&bundle, query.since, wait).await;
    Json(answer).into_response()
}

/// Gives the manifest of weights that are here whole and verified, to a peer that can't reach the
/// origin.
async fn manifest(
    State(shared): State<Arc<Shared>>,
    Path((name, version)): Path<(String, String)>,
) -> Response {
    let is_wanted = |it: &&Manifest| it.name == name && it.version == version;
    let staged = shared.staged();
    let mut parts = staged.values().flat_map(|layout| &layout.bundle.parts);
    match parts.find(is_wanted) {
        Some(manifest) => Json(manifest).into_response(),
        None => {
            let text = "the weights aren't here: ask another VM";
            (StatusCode::NOT_FOUND, text).into_response()
        }
    }
}

/// Gives a chunk.
async fn chunk(State(shared): State<Arc<Shared>>, Path(digest): Path<String>) -> Response {
    let Ok(digest) = digest.parse::<Digest>() else {
        return no_digest();
    };
    let Some(bytes) = shared.store.get(&digest) else {
        return (
            StatusCode::NOT_FOUND,
            "the chunk isn't here: ask another VM",
        )
            .into_response();
    };
    let Some(give) = shared.gives.begin() else {
        shared.metrics.busy.inc();
        return busy(&shared, bytes.len());
    };
    let length = HeaderValue::from(bytes.len());
    let body = Body::from_stream(slices(shared, give, bytes));
    ([(header::CONTENT_LENGTH, length)], body).into_response()
}

/// Cuts a chunk into slices, each of which waits for its turn on the link.
fn slices(
    shared: Arc<Shared>,
    give: Give,
    bytes: Bytes,
) -> impl Stream<Item = Result<Bytes, Infallible>> + Send + 'static {
    unfold((shared, give, bytes), |(shared, give, mut left)| async {
        if left.is_empty() {
            return None;
        }
        let slice = left.split_to(left.len().min(SLICE));
        shared.egress.take(slice.len()).await;
        give.moved();
        shared.metrics.bytes_out.inc_by(slice.len() as u64);
        Some((Ok(slice), (shared, give, left)))
    })
}

/// Sends a peer away until a place may be free. In the time that the link takes for one chunk,
/// one of those on their way, which share the link, gets through on average.
fn busy(shared: &Shared, length: usize) -> Response {
    let wait = shared.egress.rate().map_or(BUSY, |rate| {
        Duration::from_secs_f64(length as f64 / rate / 2.0).clamp(BUSY_RANGE.0, BUSY_RANGE.1)
    });
    let millis = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
    let mut headers = HeaderMap::new();
    headers.insert(header::RETRY_AFTER, millis.div_ceil(1000).into());
    headers.insert(RETRY_AFTER_MS, millis.into());
    let text = "the link is busy: come back later";
    (StatusCode::SERVICE_UNAVAILABLE, headers, text).into_response()
}

/// Refuses a path without a digest.
fn no_digest() -> Response {
    let text = "the path names no digest: write 64 hexadecimal digits";
    (StatusCode::BAD_REQUEST, text).into_response()
}
