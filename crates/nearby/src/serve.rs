//! Gives neighbours copies of what was read.

use std::sync::Arc;
use std::time::Duration;

use axum::extract::{Path, Query, State};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::{Json, Router};
use http::{HeaderValue, StatusCode};
use serde::Deserialize;
use wagtailreel_core::Offset;
use wagtailreel_fleet::Topic;

use crate::Mirror;
use crate::mirror::{CopyError, RecordsCopy};
use crate::wire::READING_HEADER;

/// Longest wait for news that a neighbour may ask for.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// What a neighbour wants to read.
#[derive(Debug, Deserialize)]
struct ReadParams {
    /// Place of the first record.
    #[serde(default)]
    from: Offset,
    /// How long to wait for it, in milliseconds.
    #[serde(default)]
    wait_ms: u64,
    /// Oldest knowledge that is of use, in milliseconds; who is behind says so without waiting.
    oldest_ms: Option<u64>,
}

impl ReadParams {
    fn wait(&self) -> Duration {
        Duration::from_millis(self.wait_ms).min(MAX_WAIT)
    }

    fn age_limit(&self) -> Duration {
        self.oldest_ms.map_or(Duration::MAX, Duration::from_millis)
    }
}

/// Returns the routes on which neighbours read.
pub fn router(mirror: Arc<Mirror>) -> Router {
    Router::new()
        .route("/v1/registry/{topic}", get(read))
        .route("/v1/registry/{topic}/newest", get(newest))
        .with_state(mirror)
}

async fn newest(
    State(mirror): State<Arc<Mirror>>,
    Path(topic): Path<Topic>,
    Query(params): Query<ReadParams>,
) -> Response {
    let copy = mirror.newest(topic, params.wait()).await;
    answer(copy, mirror.is_reading(topic))
}

async fn read(
    State(mirror): State<Arc<Mirror>>,
    Path(topic): Path<Topic>,
    Query(params): Query<ReadParams>,
) -> Response {
    let read = mirror.read(topic, params.from, params.wait(), params.age_limit());
    let copy = read.await;
    answer(copy, mirror.is_reading(topic))
}

/// Makes the answer, which says whether a read that will make what is known younger is under way.
fn answer(copy: Result<RecordsCopy, CopyError>, is_reading: bool) -> Response {
    let mut response = match copy {
        Ok(copy) => copy.records.answer(copy.age),
        Err(CopyError::NothingRead) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
        Err(CopyError::Expired(first)) => (StatusCode::GONE, Json(first)).into_response(),
    };
    if is_reading {
        let yes = HeaderValue::from_static("yes");
        response.headers_mut().insert(READING_HEADER, yes);
    }
    response
}
