//! The protocol of the origin.

use std::net::IpAddr;
use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use axum::body::Body;
use axum::extract::{Path, State};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Extension, Json, Router};
use bytes::{Bytes, BytesMut};
use futures::stream;
use http::{HeaderMap, StatusCode, header};
use std::convert::Infallible;
use wagtailreel_core::{Manifest, ModelRef};

use super::model::Stored;
use super::{OriginModel, Store};
use crate::admin::{error, refuse, with_admin};
use crate::link::Link;
use crate::server::{Peer, Port};

pub(super) fn router(port: &Port, store: &Arc<Store>) -> Router {
    let contract = Router::new()
        .route("/manifests/{name}/{version}", get(manifest))
        .route("/blobs/{name}/{version}", get(blob))
        .with_state(store.clone());
    let models = Router::new()
        .route("/standin/models", post(add_model))
        .with_state(store.clone());
    let counted = store.clone();
    with_admin(contract, port, &store.faults, move || counted.stats()).merge(models)
}

async fn add_model(
    State(store): State<Arc<Store>>,
    Json(model): Json<OriginModel>,
) -> Result<Json<Manifest>, Response> {
    let added = store.add(&model).map(Json);
    added.map_err(|err| error(StatusCode::BAD_REQUEST, &err.to_string()))
}

async fn manifest(State(store): State<Arc<Store>>, Path(path): Path<(String, String)>) -> Response {
    let Some(stored) = store.find(&part(path)) else {
        return error(StatusCode::NOT_FOUND, "no such part");
    };
    store.manifests.fetch_add(1, Ordering::Relaxed);
    let json = stored.json.clone();
    ([(header::CONTENT_TYPE, "application/json")], json).into_response()
}

async fn blob(
    State(store): State<Arc<Store>>,
    Extension(Peer(peer)): Extension<Peer>,
    Path(path): Path<(String, String)>,
    headers: HeaderMap,
) -> Response {
    let Some(stored) = store.find(&part(path)) else {
        return error(StatusCode::NOT_FOUND, "no such part");
    };
    let Some(range) = parse_range(&headers, stored.data.len()) else {
        return error(StatusCode::RANGE_NOT_SATISFIABLE, "bad range");
    };
    let (refuse_share, retry_after) = store
        .faults
        .read(|faults| (faults.refuse_share, faults.retry_after));
    if store.chance.hits(refuse_share) {
        store.refused.fetch_add(1, Ordering::Relaxed);
        return refuse(StatusCode::TOO_MANY_REQUESTS, "rate", retry_after);
    }
    store.ranges.fetch_add(1, Ordering::Relaxed);
    let total = stored.data.len();
    let content_range = format!("bytes {}-{}/{total}", range.start, range.end - 1);
    let headers = [
        (header::CONTENT_RANGE, content_range),
        (header::CONTENT_LENGTH, range.len().to_string()),
    ];
    let transfer = Transfer::new(store, stored, peer.ip(), range);
    let body = stream::unfold(transfer, |mut transfer| async move {
        let slice = transfer.next_slice().await?;
        Some((Ok::<Bytes, Infallible>(slice), transfer))
    });
    let body = Body::from_stream(body);
    (StatusCode::PARTIAL_CONTENT, headers, body).into_response()
}

fn part((name, version): (String, String)) -> ModelRef {
    ModelRef { name, version }
}

/// Reads `Range: bytes=a-b` within `length` bytes.
fn parse_range(headers: &HeaderMap, length: usize) -> Option<Range<usize>> {
    let value = headers.get(header::RANGE)?.to_str().ok()?;
    let (start, last) = value.strip_prefix("bytes=")?.split_once('-')?;
    let start: usize = start.parse().ok()?;
    let last: usize = last.parse().ok()?;
    let end = last.checked_add(1)?;
    (start < end && end <= length).then_some(start..end)
}

/// One range on its way to a reader.
struct Transfer {
    store: Arc<Store>,
    stored: Arc<Stored>,
    reader: IpAddr,
    left: Bytes,
    /// Bytes to give before a stall, and how long it is.
    stall: Option<(usize, Duration)>,
}

impl Transfer {
    fn new(store: Arc<Store>, stored: Arc<Stored>, reader: IpAddr, range: Range<usize>) -> Self {
        let mut left = stored.data.slice(range);
        let corrupt_share = store.faults.read(|faults| faults.corrupt_share);
        if store.chance.hits(corrupt_share) {
            store.corrupted.fetch_add(1, Ordering::Relaxed);
            left = flip_byte(&left, store.chance.below(left.len()));
        }
        let stall = store.draw_stall(reader);
        let stall = stall.map(|pause| (left.len() / 2, pause));
        Self {
            store,
            stored,
            reader,
            left,
            stall,
        }
    }

    /// Returns the next bytes once they have passed the link.
    async fn next_slice(&mut self) -> Option<Bytes> {
        if self.left.is_empty() {
            return None;
        }
        self.stall_if_due().await;
        self.store.faults.thawed().await;
        let fault = self.store.faults.read(|faults| faults.rate);
        let rate = fault.unwrap_or(self.store.rate);
        let length = Link::slice_length(rate).min(self.left.len());
        let slice = self.left.split_to(length);
        self.store.link.pass(length, rate).await;
        let label = &self.stored.label;
        self.store.count(label, self.reader, length as u64);
        Some(slice)
    }

    /// Stalls once, as soon as half of the range was given.
    async fn stall_if_due(&mut self) {
        if let Some((left, pause)) = self.stall
            && self.left.len() <= left
        {
            self.stall = None;
            tokio::time::sleep(pause).await;
        }
    }
}

/// Returns `bytes` with one byte changed.
fn flip_byte(bytes: &Bytes, at: usize) -> Bytes {
    let mut bytes = BytesMut::from(bytes.as_ref());
    if let Some(byte) = bytes.get_mut(at) {
        *byte ^= 0xFF;
    }
    bytes.freeze()
}

impl Store {
    /// Decides whether a range to `reader` stalls, and for how long.
    fn draw_stall(&self, reader: IpAddr) -> Option<Duration> {
        let (share, named, pause) = self.faults.read(|faults| {
            let named = faults.stall_readers.contains(&reader);
            (faults.stall_share, named, faults.stall)
        });
        let stalls = named || self.chance.hits(share);
        stalls.then(|| {
            self.stalled.fetch_add(1, Ordering::Relaxed);
            pause
        })
    }
}
