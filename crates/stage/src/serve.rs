//! Serves chunks and manifests to other agents.

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

/// Chunks that are served at the same time. A chunk of 48 KB occupies a link of 9.4 Mbit/s for 42 ms, and
/// events of running answers queue behind it.
const MAX_CONCURRENT_CHUNKS: usize = 2;

/// Share of the VM's link that chunks may use. A stream's event is late if it waits longer than 120 ms
/// behind chunks. Without pacing, half of all streams were late during a rollout.
const LINK_SHARE: f64 = 0.75;

/// Bytes that are written to a connection at a time. They take 4 ms on a link of 9.4 Mbit/s.
const SLICE_BYTES: usize = 4096;

/// Limits the rate of served bytes over all connections.
#[derive(Debug)]
struct Pacer {
    bytes_per_second: f64,
    next: Mutex<Instant>,
}

impl Pacer {
    /// Reserves the next free time slot for `bytes`, and waits until it begins.
    async fn wait(&self, bytes: usize) {
        let slot = {
            let mut next = self.next.lock().unwrap_or_else(PoisonError::into_inner);
            let slot = (*next).max(Instant::now());
            // The length of a slice fits a float without loss.
            #[allow(clippy::cast_precision_loss)]
            let span = bytes as f64 / self.bytes_per_second;
            *next = slot + Duration::from_secs_f64(span);
            slot
        };
        tokio::time::sleep_until(slot.into()).await;
    }
}

/// Shared state of the listener for other agents.
#[derive(Debug)]
pub(crate) struct ChunkServer<E> {
    pub(crate) chunk_store: Arc<ChunkStore>,
    pub(crate) engine: E,
    permits: Arc<Semaphore>,
    pacer: Arc<Pacer>,
}

impl<E> ChunkServer<E> {
    /// Creates the server of a VM whose link carries `link` bits per second.
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
    // Chunks of loaded weights are no longer in memory. The requesting agent verifies the digest.
    match server.engine.read_staged(&model, chunk).await {
        Ok(Some(data)) => stream_chunk(data, permit, &server.pacer),
        Ok(None) => StatusCode::NOT_FOUND.into_response(),
        Err(_) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

/// Answers with a chunk, and holds `permit` until its last byte is taken.
fn stream_chunk(data: Bytes, permit: OwnedSemaphorePermit, pacer: &Arc<Pacer>) -> Response {
    let length = data.len();
    let pacer = Arc::clone(pacer);
    // The permit is released when the body is dropped, which is after its last byte was taken.
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
