//! Gives chunks and manifests to other agents.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

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
use crate::chunk_store::ChunkStore;

/// Chunks that are given at once. A chunk of 48 KB holds a link of 9.4 Mbit/s for 42 ms, and events
/// of live answers wait behind it.
const MAX_CONCURRENT_CHUNKS: usize = 2;

/// Share of the VM's link that chunks may take. A stream's event that waits longer than 120 ms
/// behind chunks is late; unpaced, half of all streams were during a rollout.
const LINK_SHARE: f64 = 0.75;

/// Bytes that are handed to a connection at once: 4 ms of a link of 9.4 Mbit/s.
const SLICE_BYTES: usize = 4096;

/// Spaces out what is given, over all connections.
#[derive(Debug)]
struct Pacer {
    bytes_per_second: f64,
    next: Mutex<Instant>,
}

impl Pacer {
    /// Takes the next free time for `bytes`, and waits for it.
    async fn wait(&self, bytes: usize) {
        let slot = {
            let mut next = self.next.lock().unwrap_or_else(PoisonError::into_inner);
            let slot = (*next).max(Instant::now());
            // A slice's length needs no more digits than a float has.
            #[allow(clippy::cast_precision_loss)]
            let span = bytes as f64 / self.bytes_per_second;
            *next = slot + Duration::from_secs_f64(span);
            slot
        };
        tokio::time::sleep_until(slot.into()).await;
    }
}

/// What the listener for other agents needs.
#[derive(Debug)]
pub(crate) struct ChunkServer<E> {
    pub(crate) chunk_store: Arc<ChunkStore>,
    pub(crate) engine: E,
    permits: Arc<Semaphore>,
    pacer: Arc<Pacer>,
}

impl<E> ChunkServer<E> {
    /// Makes the giving of a VM whose link carries `link` bits a second.
    pub(crate) fn new(chunk_store: Arc<ChunkStore>, engine: E, link: f64) -> Self {
        Self {
            chunk_store,
            engine,
            permits: Arc::new(Semaphore::new(MAX_CONCURRENT_CHUNKS)),
            pacer: Arc::new(Pacer {
                bytes_per_second: link / 8.0 * LINK_SHARE,
                next: Mutex::new(Instant::now()),
            }),
        }
    }
}

/// Returns the routes for other agents.
pub(crate) fn router<E>(server: Arc<ChunkServer<E>>) -> Router
where
    E: StagedEngine,
{
    Router::new()
        .route("/v1/manifests/{model}", get(manifest::<E>))
        .route("/v1/chunks/{model}/{version}/{chunk}", get(chunk::<E>))
        .with_state(server)
}

#[derive(Deserialize)]
struct ManifestQuery {
    version: Option<WeightsVersion>,
}

async fn manifest<E>(
    State(server): State<Arc<ChunkServer<E>>>,
    Path(model): Path<ModelName>,
    Query(query): Query<ManifestQuery>,
) -> Response {
    match server.chunk_store.manifest(&model, query.version) {
        Some(manifest) => Json(manifest.as_ref().clone()).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn chunk<E>(
    State(server): State<Arc<ChunkServer<E>>>,
    Path((model, version, chunk)): Path<(ModelName, WeightsVersion, ChunkIndex)>,
) -> Response
where
    E: StagedEngine,
{
    let Ok(permit) = Arc::clone(&server.permits).try_acquire_owned() else {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    };
    if let Some(data) = server.chunk_store.get(&model, version, chunk) {
        return stream_chunk(data, permit, &server.pacer);
    }
    // What was loaded is no longer in memory; whoever asked compares it with its digest.
    match server.engine.read_staged(&model, chunk).await {
        Ok(Some(data)) => stream_chunk(data, permit, &server.pacer),
        Ok(None) => StatusCode::NOT_FOUND.into_response(),
        Err(_) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

/// Answers with a chunk, and counts it as given until its last byte was taken.
fn stream_chunk(data: Bytes, permit: OwnedSemaphorePermit, pacer: &Arc<Pacer>) -> Response {
    let length = data.len();
    let pacer = Arc::clone(pacer);
    // The permit goes when the body is dropped, which is after its last byte was taken.
    let state = (data, permit, pacer);
    let stream = futures::stream::unfold(state, |(mut data, permit, pacer)| async move {
        if data.is_empty() {
            return None;
        }
        let slice = data.split_to(SLICE_BYTES.min(data.len()));
        pacer.wait(slice.len()).await;
        Some((
            Ok::<_, std::convert::Infallible>(slice),
            (data, permit, pacer),
        ))
    });
    let mut response = Response::new(Body::from_stream(stream));
    let length = http::HeaderValue::from(length);
    response
        .headers_mut()
        .insert(http::header::CONTENT_LENGTH, length);
    response
}
