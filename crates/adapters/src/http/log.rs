//! The log service over HTTP.

use std::time::Duration;

use ::http::header::CONTENT_TYPE;
use ::http::{HeaderValue, Method, StatusCode};
use serde::Deserialize;
use wagtailreel_core::Offset;

use super::exchange::{build_request, call_json, collect_body, parse_json, read_json, refusal};
use super::{BaseUrl, Body, HttpClient, encode_segment};
use crate::error::GoneSnafu;
use crate::{LogPage, LogService, PlatformError};

/// How long an answer is waited for, over and above a wait that was asked for.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest record in bytes, as the log takes it.
const MAX_RECORD: usize = 1024 * 1024;

/// Most bytes of a page round each record, and round them all.
const RECORD_FRAME: usize = 256;

/// The log service over HTTP.
#[derive(Clone, Debug)]
pub struct HttpLog {
    client: HttpClient,
    base: BaseUrl,
    timeout: Duration,
}

#[derive(Deserialize)]
struct Appended {
    offset: Offset,
}

#[derive(Deserialize)]
struct Kept {
    first: Offset,
    next: Offset,
}

impl HttpLog {
    /// Makes an adapter for the log service at `base`.
    pub fn new<U>(base: U) -> Self
    where
        U: Into<BaseUrl>,
    {
        Self {
            client: HttpClient::new(),
            base: base.into(),
            timeout: ANSWER_TIMEOUT,
        }
    }

    /// Uses `client` and its pool in place of one of its own.
    pub fn with_client(mut self, client: HttpClient) -> Self {
        self.client = client;
        self
    }

    /// Sets how long an answer is waited for, over and above a wait that was asked for.
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }
}

impl LogService for HttpLog {
    async fn append(&self, stream: &str, record: Vec<u8>) -> Result<Offset, PlatformError> {
        let path = format!("/streams/{}/records", encode_segment(stream));
        let mut req = build_request(&self.base, Method::POST, &path, Body::from(record))?;
        let json = HeaderValue::from_static("application/json");
        req.headers_mut().insert(CONTENT_TYPE, json);
        let appended: Appended = call_json(&self.client, &self.base, req, self.timeout).await?;
        Ok(appended.offset)
    }

    async fn read(
        &self,
        stream: &str,
        from: Offset,
        limit: usize,
        wait: Duration,
    ) -> Result<LogPage, PlatformError> {
        let path = format!(
            "/streams/{}/records?from={from}&limit={limit}&wait_ms={}",
            encode_segment(stream),
            wait.as_millis()
        );
        let req = build_request(&self.base, Method::GET, &path, Body::empty())?;
        let timeout = self.timeout + wait;
        let response = self.client.request_within(req, timeout).await?;
        match response.status() {
            StatusCode::OK => {
                let peer = self.base.peer();
                let most = longest_page(limit);
                let json = collect_body(peer, response.into_body(), most, self.timeout).await?;
                parse_json(&self.base, &json)
            }
            StatusCode::GONE => {
                let kept: Kept = read_json(&self.base, response.into_body(), self.timeout).await?;
                GoneSnafu {
                    first: kept.first,
                    next: kept.next,
                }
                .fail()
            }
            _ => Err(refusal(&self.base, response).await),
        }
    }
}

/// Returns the most bytes that a page of `limit` records may have.
fn longest_page(limit: usize) -> usize {
    limit
        .saturating_add(1)
        .saturating_mul(MAX_RECORD + RECORD_FRAME)
}
