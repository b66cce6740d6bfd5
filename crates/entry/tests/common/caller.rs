//! A caller of an entry.

use std::net::SocketAddr;

use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use wagtailreel_adapters::{Body, HttpClient, SseDecoder};

use super::{KEY, SERVICE};

pub(crate) struct Request {
    inner: http::request::Builder,
    body: String,
}

impl Request {
    fn new(method: &str, addr: SocketAddr, path: &str) -> Self {
        let inner = http::Request::builder()
            .method(method)
            .uri(format!("http://{addr}{path}"));
        Self {
            inner,
            body: String::new(),
        }
    }

    pub(crate) fn get(addr: SocketAddr, path: &str) -> Self {
        Self::new("GET", addr, path)
    }

    pub(crate) fn post(addr: SocketAddr, path: &str) -> Self {
        Self::new("POST", addr, path)
    }

    /// Returns a request to generate `tokens` tokens.
    pub(crate) fn generate(addr: SocketAddr, tokens: u32) -> Self {
        let path = format!("/v1/services/{SERVICE}/generate");
        let body = format!("{{\"prompt\": \"in memory\", \"max_tokens\": {tokens}}}");
        Self::post(addr, &path).with_bearer(KEY).with_body(&body)
    }

    pub(crate) fn with_bearer(self, token: &str) -> Self {
        self.with("authorization", &format!("Bearer {token}"))
    }

    /// Replaces the caller's key.
    pub(crate) fn with_bearer_only(mut self, token: &str) -> Self {
        if let Some(headers) = self.inner.headers_mut() {
            headers.remove("authorization");
        }
        self.with_bearer(token)
    }

    pub(crate) fn with(mut self, name: &str, value: &str) -> Self {
        self.inner = self.inner.header(name, value);
        self
    }

    pub(crate) fn with_body(mut self, body: &str) -> Self {
        body.clone_into(&mut self.body);
        self
    }

    /// Sends the request and returns the response once its head has arrived.
    pub(crate) async fn open(self) -> http::Response<Incoming> {
        let req = self.inner.body(Body::from(self.body)).unwrap();
        HttpClient::new().request(req).await.unwrap()
    }

    /// Sends the request and returns the whole answer.
    pub(crate) async fn send(self) -> Answer {
        let whole = async { Answer::read(self.open().await).await };
        let answer = tokio::time::timeout(super::WAIT_TIMEOUT, whole).await;
        answer.expect("an answer")
    }
}

/// An answer, as far as it was received.
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) headers: http::HeaderMap,
    pub(crate) body: Vec<u8>,
    /// Whether the body was received to its end.
    pub(crate) is_whole: bool,
}

impl Answer {
    pub(crate) async fn read(response: http::Response<Incoming>) -> Self {
        let (head, mut body) = response.into_parts();
        let mut bytes = Vec::new();
        let mut is_whole = true;
        while let Some(frame) = body.frame().await {
            match frame {
                Ok(frame) => bytes.extend_from_slice(&frame.into_data().unwrap()),
                Err(_) => {
                    is_whole = false;
                    break;
                }
            }
        }
        Self {
            status: head.status.as_u16(),
            headers: head.headers,
            body: bytes,
            is_whole,
        }
    }

    pub(crate) fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    pub(crate) fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .map_or("", |value| value.to_str().unwrap())
    }

    /// Returns status, outcome and reason in one line.
    pub(crate) fn verdict(&self) -> String {
        let outcome = self.header("wagtailreel-outcome");
        let reason = self.header("wagtailreel-reason");
        format!("{} {outcome} {reason}", self.status)
    }

    /// Returns the stream's events with their data, one per line.
    pub(crate) fn session(&self) -> String {
        let mut decoder = SseDecoder::new();
        decoder.push(&self.body);
        let mut lines = Vec::new();
        while let Some(event) = decoder.next_event().unwrap() {
            let name = String::from_utf8_lossy(&event.name).into_owned();
            let data = String::from_utf8_lossy(&event.data).into_owned();
            lines.push(format!("{name} {data}"));
        }
        assert!(
            !decoder.is_mid_event(),
            "the body ends within an event: {}",
            self.text()
        );
        lines.join("\n")
    }
}
