//! HTTP routes on which neighbours read copies of the mirror's records.

use std::sync::Arc;
use std::time::Duration;

use axum::extract::{Path, Query, State};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::{Json, Router};
use http::{HeaderValue, StatusCode};
use serde::Deserialize;
use wagtailreel_core::Offset;
use wagtailreel_fleet::{Era, Topic};

use crate::Mirror;
use crate::mirror::{CopyError, RecordsCopy};
use crate::wire::READING_HEADER;

/// Longest wait for new records that a neighbour may request.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Query parameters of a read.
#[derive(Debug, Deserialize)]
struct ReadParams {
    /// Offset of the first record.
    #[serde(default)]
    from: Offset,
    /// The newest era that the reader knows; older builds name none.
    era: Option<Era>,
    /// How long to wait for the first record, in milliseconds.
    #[serde(default)]
    wait_ms: u64,
    /// Age limit of the records, in milliseconds; if they are older, the answer comes without waiting.
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
    let copy = mirror
        .newest(topic, params.era.unwrap_or_default(), params.wait())
        .await;
    answer(copy, mirror.is_reading(topic))
}

async fn read(
    State(mirror): State<Arc<Mirror>>,
    Path(topic): Path<Topic>,
    Query(params): Query<ReadParams>,
) -> Response {
    let (from, era) = (params.from, params.era);
    let read = mirror.read(topic, from, era, params.wait(), params.age_limit());
    let copy = read.await;
    answer(copy, mirror.is_reading(topic))
}

/// Makes the answer, with a header if a read that is expected to bring newer records is in progress.
fn answer(copy: Result<RecordsCopy, CopyError>, is_reading: bool) -> Response {
    let mut response = match copy {
        Ok(copy) => copy.records.answer(copy.age),
        Err(CopyError::NothingRead) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
        Err(CopyError::EarlierEra) => StatusCode::CONFLICT.into_response(),
        Err(CopyError::Expired(first)) => (StatusCode::GONE, Json(first)).into_response(),
    };
    if is_reading {
        let yes = HeaderValue::from_static("yes");
        response.headers_mut().insert(READING_HEADER, yes);
    }
    response
}
