//! Fetches of single chunks, and the check of what they brought.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use futures::TryFutureExt as _;
use http::{Request, Response, StatusCode, Uri};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use wagtailreel_adapters::{Body, HttpClient, Origin, PlatformError, body_timeout, retry_after};
use wagtailreel_core::{Digest, ModelRef};
use wagtailreel_spread::Failure;

use crate::layout::Chunk;
use crate::metrics::Giver;
use crate::shared::Shared;

/// How long a peer may take to begin its answer, or to go on with it.
const STALL: Duration = Duration::from_secs(10);

/// Chunks up to this many bytes are hashed in place; longer ones would stall the runtime.
const HASH_IN_PLACE: usize = 64 * 1024;

/// Smallest range drawn from the origin while the link has a limit, in bytes.
const SMALLEST_RANGE: u64 = 1024 * 1024;

/// A range drawn from the origin while the link has a limit takes up to about so long.
const RANGE_SPAN: f64 = 0.25;

/// Why a fetch brought nothing.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Trouble {
    pub(crate) failure: Failure,
    pub(crate) text: String,
}

impl Trouble {
    fn new(failure: Failure, text: String) -> Self {
        Self { failure, text }
    }

    /// Takes what the platform says.
    fn of(err: &PlatformError) -> Self {
        let failure = match err.status() {
            Some(StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE) => {
                Failure::Busy {
                    retry_after: err.retry_after(),
                }
            }
            Some(StatusCode::NOT_FOUND | StatusCode::RANGE_NOT_SATISFIABLE) => Failure::Absent,
            _ => Failure::Broken,
        };
        Self::new(failure, err.to_string())
    }
}

/// Fetches a chunk from the origin, and verifies it.
pub(crate) async fn from_origin<O>(
    shared: &Arc<Shared>,
    origin: &O,
    part: &ModelRef,
    chunk: &Chunk,
) -> Result<Bytes, Trouble>
where
    O: Origin,
{
    shared.metrics.origin_draws.inc();
    let mut buf = BytesMut::new();
    let mut done = 0;
    while done < chunk.length {
        let length = range_length(shared).min(chunk.length - done);
        shared.ingress.take(as_usize(length)).await;
        let range = origin.range(part, chunk.start + done, length);
        let bytes = range.map_err(|err| Trouble::of(&err)).await?;
        shared.metrics.came(Giver::Origin, bytes.len() as u64);
        done += length;
        if length == chunk.length {
            return verified(chunk, bytes).await;
        }
        buf.reserve(as_usize(chunk.length).saturating_sub(buf.len()));
        buf.extend_from_slice(&bytes);
    }
    verified(chunk, buf.freeze()).await
}

/// Fetches a chunk from the peer at `addr`, and verifies it.
pub(crate) async fn from_peer(
    shared: &Arc<Shared>,
    client: &HttpClient,
    addr: SocketAddr,
    giver: Giver,
    chunk: &Chunk,
) -> Result<Bytes, Trouble> {
    let req = get(addr, &format!("/chunks/{}", chunk.digest))?;
    let response = client
        .request_within(req, STALL)
        .map_err(|err| Trouble::of(&err))
        .await?;
    if response.status() != StatusCode::OK {
        return Err(refusal(addr, &response));
    }
    let body = response.into_body();
    let bytes = read_body(shared, addr, giver, body, as_usize(chunk.length)).await?;
    verified(chunk, bytes).await
}

/// Makes a request to a peer.
pub(crate) fn get(addr: SocketAddr, path: &str) -> Result<Request<Body>, Trouble> {
    let uri = Uri::builder()
        .scheme("http")
        .authority(addr.to_string())
        .path_and_query(path)
        .build();
    let req = uri.and_then(|uri| Request::get(uri).body(Body::empty()));
    req.map_err(|err| {
        let text = format!("no request to {addr} can be written ({err}): check its address");
        Trouble::new(Failure::Broken, text)
    })
}

/// Says why a peer gave nothing.
fn refusal(addr: SocketAddr, response: &Response<Incoming>) -> Trouble {
    let status = response.status();
    let failure = match status {
        StatusCode::NOT_FOUND => Failure::Absent,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => Failure::Busy {
            retry_after: retry_after(response.headers()),
        },
        _ => Failure::Broken,
    };
    Trouble::new(failure, format!("{addr} refused with {status}"))
}

/// Reads a body of `length` bytes.
///
/// Each piece waits for its turn on the link before the next is read, so that a full link holds
/// the giver back and not a buffer of the own VM.
async fn read_body(
    shared: &Shared,
    addr: SocketAddr,
    giver: Giver,
    mut body: Incoming,
    length: usize,
) -> Result<Bytes, Trouble> {
    let mut buf = BytesMut::with_capacity(length);
    // Time in which the next piece was awaited; the time that pieces wait for their turn is not the giver's.
    let mut waited = Duration::ZERO;
    loop {
        let since = Instant::now();
        let Some(piece) = next_piece(addr, &mut body).await? else {
            break;
        };
        waited += since.elapsed();
        if waited > body_timeout(STALL, buf.len()) {
            let text = format!("{addr} gave {} of {length} bytes in {waited:?}", buf.len());
            return Err(Trouble::new(Failure::Broken, text));
        }
        shared.metrics.came(giver, piece.len() as u64);
        if buf.len() + piece.len() > length {
            let text = format!("{addr} gave more than the chunk's {length} bytes");
            return Err(Trouble::new(Failure::Corrupt, text));
        }
        shared.ingress.take(piece.len()).await;
        buf.extend_from_slice(&piece);
    }
    Ok(buf.freeze())
}

/// Reads the next piece of a body; none at its end.
async fn next_piece(addr: SocketAddr, body: &mut Incoming) -> Result<Option<Bytes>, Trouble> {
    let broken = |reason: String| Trouble::new(Failure::Broken, reason);
    loop {
        let frame = tokio::time::timeout(STALL, body.frame()).await;
        let frame = frame.map_err(|late| broken(format!("{addr} stalls: {late}")))?;
        let Some(frame) = frame else {
            return Ok(None);
        };
        let frame = frame.map_err(|err| broken(format!("the answer of {addr} broke: {err}")))?;
        if let Ok(data) = frame.into_data() {
            return Ok(Some(data));
        }
    }
}

/// Gives `bytes` back if they are the chunk's.
async fn verified(chunk: &Chunk, bytes: Bytes) -> Result<Bytes, Trouble> {
    if bytes.len() as u64 == chunk.length && digest_of(&bytes).await == Some(chunk.digest) {
        return Ok(bytes);
    }
    let text = format!("other bytes than those of chunk {}", chunk.digest.short());
    Err(Trouble::new(Failure::Corrupt, text))
}

/// Computes a digest without stalling the runtime; none if the runtime is shutting down.
async fn digest_of(bytes: &Bytes) -> Option<Digest> {
    if bytes.len() <= HASH_IN_PLACE {
        return Some(Digest::of(bytes));
    }
    let bytes = bytes.clone();
    let hashing = tokio::task::spawn_blocking(move || Digest::of(&bytes));
    hashing.await.ok()
}

/// Returns how much to draw at once, so that a limited link isn't overrun for long.
fn range_length(shared: &Shared) -> u64 {
    match shared.ingress.rate() {
        Some(rate) => ((rate * RANGE_SPAN) as u64).max(SMALLEST_RANGE),
        None => u64::MAX,
    }
}

/// Makes a length of a chunk a length in memory; the memory's limit was checked before.
fn as_usize(length: u64) -> usize {
    usize::try_from(length).unwrap_or(usize::MAX)
}
