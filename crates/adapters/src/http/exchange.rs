//! Parts that every exchange with an outside system shares.

use std::time::{Duration, Instant};

use ::http::{HeaderMap, Method, Request, Response, header};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};
use serde::de::DeserializeOwned;
use snafu::{IntoError as _, ResultExt as _, ensure};
use wagtailreel_core::headers::RETRY_AFTER_MS;

use super::{BaseUrl, Body, HttpClient};
use crate::PlatformError;
use crate::error::{
    BrokenBodySnafu, LostSnafu, ProtocolSnafu, RefusedSnafu, TimeoutSnafu, TransportError,
};

/// Longest text of a refusal that is kept, in bytes.
const MAX_REFUSAL: usize = 4096;

/// How long the text of a refusal is waited for.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest JSON answer that is taken, in bytes.
const MAX_JSON: usize = 64 * 1024 * 1024;

/// How many times its stall time a body may take in all, apart from what its bytes take at [`MIN_RATE`].
const MAX_STALLS: u32 = 6;

/// Slowest rate in bytes per second at which a long body may arrive. The slowest link of a platform carries
/// 9.4 Mbit/s for all its connections.
const MIN_RATE: f64 = 16.0 * 1024.0;

/// Longest buffer in bytes that is allocated before the first byte of a body arrives.
const MAX_INITIAL_CAPACITY: usize = 64 * 1024;

/// Returns how long a body may take of which `received` bytes have arrived, and whose frames may be `stall`
/// apart. A body that arrives one byte at a time never stalls.
pub fn body_timeout(stall: Duration, received: usize) -> Duration {
    // The length of a body fits a float without loss.
    #[allow(clippy::cast_precision_loss)]
    let at_min_rate = Duration::from_secs_f64(received as f64 / MIN_RATE);
    stall.saturating_mul(MAX_STALLS).saturating_add(at_min_rate)
}

/// Reads when to come back from an answer's headers: milliseconds first, else whole seconds.
pub fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let number = |name| headers.get(name)?.to_str().ok()?.trim().parse::<u64>().ok();
    let millis = number(RETRY_AFTER_MS).map(Duration::from_millis);
    millis.or_else(|| number(header::RETRY_AFTER.as_str()).map(Duration::from_secs))
}

/// Reads a body of at most `limit` bytes whole; gives up when nothing comes for `stall`, or when the body
/// takes longer than its [`body_timeout`].
///
/// # Errors
///
/// Returns [`PlatformError::Lost`] if the body breaks off, stalls or is too slow, and
/// [`PlatformError::Protocol`] if it is longer than `limit`.
pub async fn collect_body(
    peer: &str,
    mut body: Incoming,
    limit: usize,
    stall: Duration,
) -> Result<Bytes, PlatformError> {
    let expected = body.size_hint().lower();
    let capacity = usize::try_from(expected).unwrap_or(limit).min(limit);
    let mut buf = BytesMut::with_capacity(capacity.min(MAX_INITIAL_CAPACITY));
    let since = Instant::now();
    loop {
        let left = body_timeout(stall, buf.len()).saturating_sub(since.elapsed());
        let wait = stall.min(left);
        // A body whose next frame is always there would otherwise never time out.
        let next = if wait.is_zero() {
            None
        } else {
            tokio::time::timeout(wait, body.frame()).await.ok()
        };
        let Some(next) = next else {
            let after = since.elapsed();
            let source: TransportError = TimeoutSnafu { after }.build();
            return Err(LostSnafu { peer }.into_error(source));
        };
        let Some(frame) = next else {
            return Ok(buf.freeze());
        };
        let frame = frame.context(BrokenBodySnafu).context(LostSnafu { peer })?;
        if let Ok(data) = frame.into_data() {
            ensure!(
                buf.len() + data.len() <= limit,
                ProtocolSnafu {
                    peer,
                    reason: format!("the answer is longer than {limit} bytes"),
                }
            );
            buf.extend_from_slice(&data);
        }
    }
}

/// Makes a request to `path`, which is encoded already.
pub(super) fn build_request(
    base: &BaseUrl,
    method: Method,
    path: &str,
    body: Body,
) -> Result<Request<Body>, PlatformError> {
    let uri = base.join(path).map_err(|err| unusable(base, &err))?;
    let mut req = Request::new(body);
    *req.method_mut() = method;
    *req.uri_mut() = uri;
    Ok(req)
}

/// Makes the error for a request that can't be written down.
pub(super) fn unusable(base: &BaseUrl, err: &::http::Error) -> PlatformError {
    let reason = format!("the request can't be written: {err}");
    refused_locally(base, reason)
}

/// Makes the error for a request that is never sent, since it can't be answered.
fn refused_locally(base: &BaseUrl, reason: String) -> PlatformError {
    RefusedSnafu {
        peer: base.peer(),
        status: ::http::StatusCode::BAD_REQUEST,
        retry_after: None,
        body: reason,
    }
    .build()
}

/// Turns an answer that is no success into an error.
pub(super) async fn refusal(base: &BaseUrl, response: Response<Incoming>) -> PlatformError {
    let status = response.status();
    let retry_after = retry_after(response.headers());
    let body = refusal_text(base, response.into_body()).await;
    RefusedSnafu {
        peer: base.peer(),
        status,
        retry_after,
        body,
    }
    .build()
}

/// Reads the text of a refusal; the refusal stands even if its text can't be read.
async fn refusal_text(base: &BaseUrl, body: Incoming) -> String {
    match collect_body(base.peer(), body, MAX_REFUSAL, REFUSAL_TIMEOUT).await {
        Ok(bytes) => String::from_utf8_lossy(&bytes).into_owned(),
        Err(_) => "(no text)".to_owned(),
    }
}

/// Reads a JSON answer.
pub(super) async fn read_json<T>(
    base: &BaseUrl,
    body: Incoming,
    stall: Duration,
) -> Result<T, PlatformError>
where
    T: DeserializeOwned,
{
    let bytes = collect_body(base.peer(), body, MAX_JSON, stall).await?;
    parse_json(base, &bytes)
}

/// Reads JSON that an outside system sent.
pub(super) fn parse_json<T>(base: &BaseUrl, bytes: &[u8]) -> Result<T, PlatformError>
where
    T: DeserializeOwned,
{
    serde_json::from_slice(bytes).map_err(|err| unreadable(base, &err))
}

/// Makes the error of JSON that can't be read.
pub(super) fn unreadable(base: &BaseUrl, err: &serde_json::Error) -> PlatformError {
    ProtocolSnafu {
        peer: base.peer(),
        reason: err.to_string(),
    }
    .build()
}

/// Sends a request and reads the JSON of a successful answer.
pub(super) async fn call_json<T>(
    client: &HttpClient,
    base: &BaseUrl,
    req: Request<Body>,
    timeout: Duration,
) -> Result<T, PlatformError>
where
    T: DeserializeOwned,
{
    let response = client.request_within(req, timeout).await?;
    if !response.status().is_success() {
        return Err(refusal(base, response).await);
    }
    read_json(base, response.into_body(), timeout).await
}
