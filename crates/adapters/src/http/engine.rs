//! Engines over HTTP.

use std::fmt::Write as _;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use ::http::header::CONTENT_TYPE;
use ::http::{HeaderValue, Method};
use bytes::Bytes;
use futures::Stream;
use hyper::body::{Body as _, Incoming};
use serde::Deserialize;
use snafu::IntoError as _;
use wagtailreel_core::headers::PARTS;
use wagtailreel_core::{Bundle, Digest, Epoch};

use super::exchange::{build_request, call_json, parse_json, refusal, unreadable, unusable};
use super::token::read_token;
use super::{BaseUrl, Body, HttpClient, encode_segment};
use crate::error::{BrokenBodySnafu, CutSnafu, LostSnafu, ProtocolSnafu};
use crate::{
    CacheEvents, CancelState, Engine, EngineEvent, EngineStatus, GenerateRequest, PlatformError,
    SseDecoder, SseEvent,
};

/// How long a small answer is waited for.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// How long the head of a stream of tokens is waited for.
const STREAM_TIMEOUT: Duration = Duration::from_secs(30);

/// How long an engine may take to read and load a bundle.
const LOAD_TIMEOUT: Duration = Duration::from_secs(600);

/// Name of the event that closes an answer.
const END: &[u8] = b"end";

/// An engine over HTTP.
#[derive(Clone, Debug)]
pub struct HttpEngine {
    client: HttpClient,
    base: BaseUrl,
    timeout: Duration,
    stream_timeout: Duration,
    load_timeout: Duration,
}

#[derive(Deserialize)]
struct Loaded {
    bundle: Digest,
}

#[derive(Deserialize)]
struct Cancelled {
    state: CancelState,
}

#[derive(Deserialize)]
struct EndData {
    tokens: u32,
    bundle: Digest,
}

impl HttpEngine {
    /// Makes an adapter for the engine at `base`.
    pub fn new<U>(base: U) -> Self
    where
        U: Into<BaseUrl>,
    {
        Self {
            client: HttpClient::new(),
            base: base.into(),
            timeout: ANSWER_TIMEOUT,
            stream_timeout: STREAM_TIMEOUT,
            load_timeout: LOAD_TIMEOUT,
        }
    }

    /// Uses `client` and its pool in place of one of its own.
    pub fn with_client(mut self, client: HttpClient) -> Self {
        self.client = client;
        self
    }

    /// Sets how long a small answer (status, cancel, unload) is waited for.
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sets how long the head of a stream of tokens is waited for.
    pub fn with_stream_timeout(mut self, timeout: Duration) -> Self {
        self.stream_timeout = timeout;
        self
    }

    /// Sets how long an engine may take to read and load a bundle.
    pub fn with_load_timeout(mut self, timeout: Duration) -> Self {
        self.load_timeout = timeout;
        self
    }

    /// Returns the path of a bundle's weights.
    fn weights_path(bundle: Digest, fence: Epoch) -> String {
        format!("/v1/weights/{bundle}?fence={fence}")
    }
}

impl Engine for HttpEngine {
    type Tokens = TokenStream;

    async fn load<S>(&self, bundle: &Bundle, fence: Epoch, body: S) -> Result<Digest, PlatformError>
    where
        S: Stream<Item = Result<Bytes, io::Error>> + Send + 'static,
    {
        let path = Self::weights_path(bundle.digest(), fence);
        let body = Body::from_stream(body, Some(bundle.length()));
        let parts = HeaderValue::try_from(parts_value(bundle))
            .map_err(|err| unusable(&self.base, &err.into()))?;
        let mut req = build_request(&self.base, Method::POST, &path, body)?;
        req.headers_mut().insert(PARTS, parts);
        let loaded: Loaded = call_json(&self.client, &self.base, req, self.load_timeout).await?;
        Ok(loaded.bundle)
    }

    async fn unload(&self, bundle: Digest, fence: Epoch) -> Result<(), PlatformError> {
        let path = Self::weights_path(bundle, fence);
        let req = build_request(&self.base, Method::DELETE, &path, Body::empty())?;
        let response = self.client.request_within(req, self.timeout).await?;
        if response.status().is_success() {
            return Ok(());
        }
        Err(refusal(&self.base, response).await)
    }

    async fn status(&self) -> Result<EngineStatus, PlatformError> {
        let req = build_request(&self.base, Method::GET, "/v1/status", Body::empty())?;
        call_json(&self.client, &self.base, req, self.timeout).await
    }

    async fn generate(&self, req: &GenerateRequest) -> Result<TokenStream, PlatformError> {
        let json = serde_json::to_vec(req).map_err(|err| {
            ProtocolSnafu {
                peer: self.base.peer(),
                reason: format!("the request can't be written: {err}"),
            }
            .build()
        })?;
        let mut req = build_request(&self.base, Method::POST, "/v1/generate", Body::from(json))?;
        let json = HeaderValue::from_static("application/json");
        req.headers_mut().insert(CONTENT_TYPE, json);
        let response = self.client.request_within(req, self.stream_timeout).await?;
        if !response.status().is_success() {
            return Err(refusal(&self.base, response).await);
        }
        Ok(TokenStream::new(self.base.clone(), response.into_body()))
    }

    async fn cancel(&self, request: &str) -> Result<CancelState, PlatformError> {
        let path = format!("/v1/cancel/{}", encode_segment(request));
        let req = build_request(&self.base, Method::POST, &path, Body::empty())?;
        let answer: Cancelled = call_json(&self.client, &self.base, req, self.timeout).await?;
        Ok(answer.state)
    }

    async fn cache_events(&self, since: u64) -> Result<CacheEvents, PlatformError> {
        let path = format!("/v1/cache-events?since={since}");
        let req = build_request(&self.base, Method::GET, &path, Body::empty())?;
        call_json(&self.client, &self.base, req, self.timeout).await
    }
}

/// Writes the parts of `bundle` with their lengths.
fn parts_value(bundle: &Bundle) -> String {
    let mut value = String::new();
    for part in &bundle.parts {
        if !value.is_empty() {
            value.push(',');
        }
        // Writing to a String does not fail.
        let _ = write!(value, "{}:{}", part.digest, part.length());
    }
    value
}

/// The answer of an engine over HTTP, event by event.
///
/// It ends after [`EngineEvent::End`] or after an error; an answer that stops without an end is
/// an error, never a short answer.
#[derive(Debug)]
pub struct TokenStream {
    base: BaseUrl,
    body: Incoming,
    decoder: SseDecoder,
    over: bool,
}

impl TokenStream {
    fn new(base: BaseUrl, body: Incoming) -> Self {
        Self {
            base,
            body,
            decoder: SseDecoder::new(),
            over: false,
        }
    }

    /// Returns the next event that is here already.
    fn next_decoded(&mut self) -> Result<Option<EngineEvent>, PlatformError> {
        let event = self.decoder.next_event().map_err(|err| {
            ProtocolSnafu {
                peer: self.base.peer(),
                reason: err.to_string(),
            }
            .build()
        })?;
        event
            .map(|event| parse_event(&self.base, event))
            .transpose()
    }

    /// Takes the next frame of the body; false if there is none.
    fn poll_body(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), PlatformError>> {
        let peer = self.base.peer();
        match std::task::ready!(Pin::new(&mut self.body).poll_frame(cx)) {
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    self.decoder.push(data);
                }
                Poll::Ready(Ok(()))
            }
            Some(Err(err)) => {
                let source = BrokenBodySnafu.into_error(err);
                Poll::Ready(Err(LostSnafu { peer }.into_error(source)))
            }
            None => Poll::Ready(Err(LostSnafu { peer }.into_error(CutSnafu.build()))),
        }
    }
}

impl Stream for TokenStream {
    type Item = Result<EngineEvent, PlatformError>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let this = &mut *self;
        if this.over {
            return Poll::Ready(None);
        }
        loop {
            match this.next_decoded() {
                Ok(Some(event)) => {
                    this.over = matches!(event, EngineEvent::End { .. });
                    return Poll::Ready(Some(Ok(event)));
                }
                Ok(None) => {}
                Err(err) => {
                    this.over = true;
                    return Poll::Ready(Some(Err(err)));
                }
            }
            if let Err(err) = std::task::ready!(this.poll_body(cx)) {
                this.over = true;
                return Poll::Ready(Some(Err(err)));
            }
        }
    }
}

/// Reads one event of an answer.
fn parse_event(base: &BaseUrl, event: SseEvent) -> Result<EngineEvent, PlatformError> {
    if event.name == END {
        let data: EndData = parse_json(base, &event.data)?;
        return Ok(EngineEvent::End {
            tokens: data.tokens,
            bundle: data.bundle,
        });
    }
    let (index, data) = read_token(event.data).map_err(|err| unreadable(base, &err))?;
    Ok(EngineEvent::Token { index, data })
}
