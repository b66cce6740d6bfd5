//! Requests chunks and manifests from other agents.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use wagtailreel_adapters::{Body, HttpClient, collect_body};
use wagtailreel_core::ChunkIndex;
use wagtailreel_fleet::{ModelName, WeightsVersion};
use wagtailreel_spread::Failure;

use crate::ChunkManifest;

/// How long another agent may take to answer. The planner cancels a slow fetch earlier.
const CHUNK_TIMEOUT: Duration = Duration::from_millis(2500);

/// How long another agent may take to send a manifest before the next agent or the origin is asked.
const MANIFEST_TIMEOUT: Duration = Duration::from_millis(250);

/// How long an answer's body may stall.
const STALL_TIMEOUT: Duration = Duration::from_millis(1000);

/// Longest accepted chunk or manifest in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Reads a chunk from another agent. The caller verifies its digest.
pub(crate) async fn chunk(
    client: &HttpClient,
    peer: SocketAddr,
    model: &ModelName,
    version: WeightsVersion,
    chunk: ChunkIndex,
) -> Result<Bytes, Failure> {
    let path = format!("/v1/chunks/{model}/{version}/{chunk}");
    get(client, peer, &path, CHUNK_TIMEOUT).await
}

/// Reads a manifest from another agent: of `version`, or of the agent's newest version if none is given.
pub(crate) async fn manifest(
    client: &HttpClient,
    peer: SocketAddr,
    model: &ModelName,
    version: Option<WeightsVersion>,
) -> Option<ChunkManifest> {
    let query = version.map(|version| format!("?version={version}"));
    let path = format!("/v1/manifests/{model}{}", query.unwrap_or_default());
    let body = get(client, peer, &path, MANIFEST_TIMEOUT).await.ok()?;
    let manifest: ChunkManifest = serde_json::from_slice(&body).ok()?;
    let is_requested = manifest.model == *model && version.is_none_or(|it| it == manifest.version);
    is_requested.then_some(manifest)
}

async fn get(
    client: &HttpClient,
    peer: SocketAddr,
    path: &str,
    timeout: Duration,
) -> Result<Bytes, Failure> {
    let uri = format!("http://{peer}{path}");
    let Ok(req) = Request::get(&uri).body(Body::default()) else {
        return Err(Failure::Absent);
    };
    let response = client.request_within(req, timeout).await;
    let Ok(response) = response else {
        return Err(Failure::Broken);
    };
    match response.status() {
        StatusCode::OK => {}
        StatusCode::NOT_FOUND => return Err(Failure::Absent),
        _ => return Err(Failure::Busy { retry_after: None }),
    }
    let body = collect_body(&uri, response.into_body(), MAX_BODY_BYTES, STALL_TIMEOUT).await;
    // The chunk is fetched again, whatever truncated the body.
    body.or(Err(Failure::Broken))
}
