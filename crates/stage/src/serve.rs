//! Gives chunks and manifests to other agents.

use std::sync::Arc;

use axum::body::Body;
use axum::extract::{Path, Query, State};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::{Json, Router};
use bytes::Bytes;
use http::StatusCode;
use serde::Deserialize;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use wagtailreel_core::ChunkIndex;
use wagtailreel_fleet::{ModelName, WeightsVersion};

use crate::StagedEngine;
use crate::shelf::Shelf;

/// Chunks that are given at once. A chunk of 48 KB holds a link of 9.4 Mbit/s for 42 ms, and events
/// of live answers wait behind it.
const GIVES_AT_ONCE: usize = 2;

/// What the listener for other agents needs.
#[derive(Debug)]
pub(crate) struct Giving<E> {
    pub(crate) shelf: Arc<Shelf>,
    pub(crate) engine: E,
    gives: Arc<Semaphore>,
}

impl<E> Giving<E> {
    pub(crate) fn new(shelf: Arc<Shelf>, engine: E) -> Self {
        Self {
            shelf,
            engine,
            gives: Arc::new(Semaphore::new(GIVES_AT_ONCE)),
        }
    }
}

/// Returns the routes for other agents.
pub(crate) fn router<E>(giving: Arc<Giving<E>>) -> Router
where
    E: StagedEngine,
{
    Router::new()
        .route("/v1/manifests/{model}", get(manifest::<E>))
        .route("/v1/chunks/{model}/{version}/{chunk}", get(chunk::<E>))
        .with_state(giving)
}

#[derive(Deserialize)]
struct Wanted {
    version: Option<WeightsVersion>,
}

async fn manifest<E>(
    State(giving): State<Arc<Giving<E>>>,
    Path(model): Path<ModelName>,
    Query(wanted): Query<Wanted>,
) -> Response {
    match giving.shelf.manifest(&model, wanted.version) {
        Some(manifest) => Json(manifest.as_ref().clone()).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn chunk<E>(
    State(giving): State<Arc<Giving<E>>>,
    Path((model, version, chunk)): Path<(ModelName, WeightsVersion, ChunkIndex)>,
) -> Response
where
    E: StagedEngine,
{
    let Ok(permit) = Arc::clone(&giving.gives).try_acquire_owned() else {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    };
    if let Some(data) = giving.shelf.get(&model, version, chunk) {
        return give(data, permit);
    }
    // What was loaded is no longer in memory; whoever asked compares it with its digest.
    match giving.engine.read_staged(&model, chunk).await {
        Ok(Some(data)) => give(data, permit),
        Ok(None) => StatusCode::NOT_FOUND.into_response(),
        Err(_) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

/// Answers with a chunk, and counts it as given until its last byte was taken.
fn give(data: Bytes, permit: OwnedSemaphorePermit) -> Response {
    let length = data.len();
    // The permit goes when the body is dropped, which is after its last byte was taken.
    let stream = futures::stream::unfold((Some(data), permit), |(data, permit)| async move {
        data.map(|data| (Ok::<_, std::convert::Infallible>(data), (None, permit)))
    });
    let mut response = Response::new(Body::from_stream(stream));
    let length = http::HeaderValue::from(length);
    response
        .headers_mut()
        .insert(http::header::CONTENT_LENGTH, length);
    response
}
