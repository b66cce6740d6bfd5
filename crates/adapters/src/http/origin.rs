//! The origin of weights over HTTP.

use std::time::Duration;

use ::http::header::RANGE;
use ::http::{HeaderValue, Method, StatusCode};
use bytes::Bytes;
use snafu::ensure;
use wagtailreel_core::{Manifest, ModelRef};

use super::exchange::{build_request, call_json, collect_body, refusal, unusable};
use super::{BaseUrl, Body, HttpClient, encode_segment};
use crate::error::ProtocolSnafu;
use crate::{Origin, PlatformError};

/// How long the origin may give nothing before a transfer is given up.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// The origin of weights over HTTP.
#[derive(Clone, Debug)]
pub struct HttpOrigin {
    client: HttpClient,
    base: BaseUrl,
    stall: Duration,
}

impl HttpOrigin {
    /// Makes an adapter for the origin at `base`.
    pub fn new<U>(base: U) -> Self
    where
        U: Into<BaseUrl>,
    {
        Self {
            client: HttpClient::new(),
            base: base.into(),
            stall: STALL_TIMEOUT,
        }
    }

    /// Uses `client` and its pool in place of one of its own.
    pub fn with_client(mut self, client: HttpClient) -> Self {
        self.client = client;
        self
    }

    /// Sets how long the origin may give nothing before a transfer is given up.
    pub fn with_stall_timeout(mut self, stall: Duration) -> Self {
        self.stall = stall;
        self
    }
}

impl Origin for HttpOrigin {
    async fn manifest(&self, part: &ModelRef) -> Result<Manifest, PlatformError> {
        let path = part_path("manifests", part);
        let req = build_request(&self.base, Method::GET, &path, Body::empty())?;
        let manifest: Manifest = call_json(&self.client, &self.base, req, self.stall).await?;
        match manifest.check(&part.name, &part.version) {
            Ok(()) => Ok(manifest),
            Err(err) => ProtocolSnafu {
                peer: self.base.peer(),
                reason: err.to_string(),
            }
            .fail(),
        }
    }

    async fn range(
        &self,
        part: &ModelRef,
        start: u64,
        length: u64,
    ) -> Result<Bytes, PlatformError> {
        // A range over HTTP can't be empty.
        let Some(last) = length.checked_sub(1) else {
            return Ok(Bytes::new());
        };
        let path = part_path("blobs", part);
        let mut req = build_request(&self.base, Method::GET, &path, Body::empty())?;
        let range = format!("bytes={start}-{}", start.saturating_add(last));
        let range =
            HeaderValue::try_from(range).map_err(|err| unusable(&self.base, &err.into()))?;
        req.headers_mut().insert(RANGE, range);
        let response = self.client.request_within(req, self.stall).await?;
        if response.status() != StatusCode::PARTIAL_CONTENT {
            return Err(refusal(&self.base, response).await);
        }
        let limit = usize::try_from(length).unwrap_or(usize::MAX);
        let peer = self.base.peer();
        let bytes = collect_body(peer, response.into_body(), limit, self.stall).await?;
        ensure!(
            bytes.len() as u64 == length,
            ProtocolSnafu {
                peer,
                reason: format!("{} bytes instead of {length}", bytes.len()),
            }
        );
        Ok(bytes)
    }
}

/// Returns the path of `part` under `kind`.
fn part_path(kind: &str, part: &ModelRef) -> String {
    let name = encode_segment(&part.name);
    let version = encode_segment(&part.version);
    format!("/{kind}/{name}/{version}")
}
