//! Loading a bundle: the engine hashes what it reads and goes by nothing else.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use axum::body::{Body, BodyDataStream};
use blake3::Hasher;
use bytes::Bytes;
use futures::StreamExt as _;
use http::HeaderMap;
use wagtailreel_core::headers::PARTS;
use wagtailreel_core::{Bundle, Digest, Epoch};

use super::Store;
use super::weights::{OrderRefusal, Place};
use crate::faults::count_down;

/// A million bytes.
const MEGABYTE: f64 = 1e6;

/// Why a load is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LoadRefusal {
    /// The order itself is refused.
    Order(OrderRefusal),
    /// The header can't be read.
    BadParts,
    /// The body broke off.
    BrokenBody,
    /// The bytes are others than those named.
    WrongBytes,
    /// A fault says so.
    Fault,
}

/// What the body held.
#[derive(Debug)]
struct Read {
    /// Digest of the bundle, from the digests of what each part really was.
    bundle: Digest,
    bytes: u64,
    /// Whether the body ended where the last part does.
    is_whole: bool,
}

/// What one part of the body was.
#[derive(Debug)]
struct PartRead {
    digest: Digest,
    /// Bytes that did not come.
    missing: u64,
}

/// Gives its place back unless the load is committed, whatever ends it.
#[derive(Debug)]
struct PlaceGuard {
    store: Arc<Store>,
    place: Option<Place>,
}

impl Drop for PlaceGuard {
    fn drop(&mut self) {
        if let Some(place) = self.place.take() {
            self.store.weights().abandon(place);
        }
    }
}

/// Loads the bundle `named` from `body` and returns the digest that the engine says it holds.
pub(super) async fn load(
    store: &Arc<Store>,
    named: Digest,
    fence: Epoch,
    headers: &HeaderMap,
    body: Body,
) -> Result<Digest, LoadRefusal> {
    let mut body = body.into_data_stream();
    let begun = begin(store, named, fence, headers);
    let (mut guard, lengths) = match begun {
        Ok(begun) => begun,
        Err(refusal) => {
            // A client that still writes would take a closed connection for a lost answer.
            drain(&mut body).await;
            return Err(refusal);
        }
    };
    let read = read_parts(&lengths, &mut body).await?;
    store.check_read(named, &read)?;
    let takes = store.cfg.load_per_mb.mul_f64(read.bytes as f64 / MEGABYTE);
    tokio::time::sleep(takes).await;
    store.faults.thawed().await;
    store.commit(&mut guard, read.bundle)?;
    Ok(named)
}

/// Checks the order and keeps a place for the bundle.
fn begin(
    store: &Arc<Store>,
    named: Digest,
    fence: Epoch,
    headers: &HeaderMap,
) -> Result<(PlaceGuard, Vec<u64>), LoadRefusal> {
    let lengths = part_lengths(headers).ok_or(LoadRefusal::BadParts)?;
    store.check_fence(fence).map_err(LoadRefusal::Order)?;
    let place = store.weights().begin(named, fence);
    let place = place.map_err(LoadRefusal::Order)?;
    store.counts.loads_begun.fetch_add(1, Ordering::Relaxed);
    let guard = PlaceGuard {
        store: store.clone(),
        place: Some(place),
    };
    Ok((guard, lengths))
}

/// Reads the lengths of the parts. Their digests are the client's word and don't count.
fn part_lengths(headers: &HeaderMap) -> Option<Vec<u64>> {
    let value = headers.get(PARTS)?.to_str().ok()?;
    let length = |part: &str| part.split_once(':')?.1.trim().parse().ok();
    value.split(',').map(length).collect()
}

/// Reads the body to its end.
async fn drain(body: &mut BodyDataStream) {
    while let Some(Ok(_)) = body.next().await {}
}

/// Hashes each part of the body.
async fn read_parts(lengths: &[u64], body: &mut BodyDataStream) -> Result<Read, LoadRefusal> {
    let mut parts = Vec::with_capacity(lengths.len());
    let mut rest = Bytes::new();
    for length in lengths {
        parts.push(read_part(*length, &mut rest, body).await?);
    }
    let has_more = !rest.is_empty() || body.next().await.is_some();
    if has_more {
        drain(body).await;
    }
    let is_short = parts.iter().any(|part| part.missing > 0);
    Ok(Read {
        bundle: Bundle::digest_of(parts.iter().map(|part| part.digest)),
        bytes: lengths.iter().sum(),
        is_whole: !has_more && !is_short,
    })
}

/// Hashes the next `length` bytes; `rest` holds what was read beyond.
async fn read_part(
    length: u64,
    rest: &mut Bytes,
    body: &mut BodyDataStream,
) -> Result<PartRead, LoadRefusal> {
    let mut hasher = Hasher::new();
    let mut missing = length;
    while missing > 0 {
        if rest.is_empty() {
            match body.next().await {
                Some(Ok(frame)) => *rest = frame,
                Some(Err(_)) => return Err(LoadRefusal::BrokenBody),
                None => break,
            }
        }
        let wanted = usize::try_from(missing).unwrap_or(usize::MAX);
        let piece = rest.split_to(wanted.min(rest.len()));
        hasher.update(&piece);
        missing -= piece.len() as u64;
    }
    Ok(PartRead {
        digest: Digest::new(*hasher.finalize().as_bytes()),
        missing,
    })
}

impl Store {
    /// Refuses an order with an old fencing number, if the engine checks it.
    pub(super) fn check_fence(&self, fence: Epoch) -> Result<(), OrderRefusal> {
        let checked = self.weights().check_fence(fence, self.cfg.fencing);
        if checked.is_err() {
            self.counts.refused_fence.fetch_add(1, Ordering::Relaxed);
        }
        checked
    }

    /// Refuses bytes other than those named, unless a fault has the engine take anything.
    fn check_read(&self, named: Digest, read: &Read) -> Result<(), LoadRefusal> {
        let fails = self
            .faults
            .take(|faults| count_down(&mut faults.fail_loads));
        if fails.is_some() {
            return Err(LoadRefusal::Fault);
        }
        let takes_anything = self.faults.read(|faults| faults.accept_anything);
        let is_right = read.is_whole && read.bundle == named;
        if is_right || takes_anything {
            return Ok(());
        }
        Err(LoadRefusal::WrongBytes)
    }

    /// Holds what was read.
    fn commit(&self, guard: &mut PlaceGuard, real: Digest) -> Result<(), LoadRefusal> {
        let Some(place) = guard.place.take() else {
            return Ok(());
        };
        let committed = self.weights().commit(place, real, self.cfg.fencing);
        committed.map_err(LoadRefusal::Order)?;
        self.counts.loads.fetch_add(1, Ordering::Relaxed);
        Ok(())
    }
}
