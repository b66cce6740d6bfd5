//! One request of a caller.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request};
use http_body_util::Full;
use wagtailreel_core::headers::{DEADLINE_MS, ORDER, PRIORITY, REQUEST};
use wagtailreel_core::{CustomerId, Digest, OrderKey, Priority, RequestId, ServiceName};

use crate::error::Result;
use crate::http_client::{request, url_of};

/// One request of a caller.
#[derive(Clone, Debug, Default)]
pub struct Ask {
    /// Service that is asked.
    pub service: ServiceName,
    /// Customer's key.
    pub key: String,
    /// Name of the customer, for the tools' own tables.
    pub customer: CustomerId,
    /// Id of the request; none leaves it to the entry.
    pub request: Option<RequestId>,
    /// What is asked.
    pub prompt: String,
    /// Tokens wanted.
    pub max_tokens: u32,
    /// Priority; none takes the service's.
    pub priority: Option<Priority>,
    /// How long the caller waits at most.
    pub deadline: Option<Duration>,
    /// Key of an order that runs at most once.
    pub order: Option<OrderKey>,
    /// Asks an engine itself, past entry and agent, for an answer from this bundle: what the
    /// system adds is measured against it.
    pub engine_bundle: Option<Digest>,
}

impl Ask {
    /// Makes an ordinary request.
    pub fn new(service: &str, key: &str, prompt: &str, max_tokens: u32) -> Self {
        Self {
            service: service.to_owned(),
            key: key.to_owned(),
            prompt: prompt.to_owned(),
            max_tokens,
            ..Self::default()
        }
    }

    /// Sets the id of the request.
    #[must_use]
    pub fn with_request(mut self, id: &str) -> Self {
        self.request = Some(id.to_owned());
        self
    }

    /// Sets the priority.
    #[must_use]
    pub fn with_priority(mut self, priority: Priority) -> Self {
        self.priority = Some(priority);
        self
    }

    /// Sets how long the caller waits at most.
    #[must_use]
    pub fn with_deadline(mut self, deadline: Duration) -> Self {
        self.deadline = Some(deadline);
        self
    }

    /// Makes it an order that runs at most once.
    #[must_use]
    pub fn with_order(mut self, key: &str) -> Self {
        self.order = Some(key.to_owned());
        self
    }

    /// Writes the HTTP request to the entry or engine at `target`.
    ///
    /// # Errors
    ///
    /// Returns an error if a text doesn't fit into a header or path.
    pub fn to_http(&self, target: SocketAddr) -> Result<Request<Full<Bytes>>> {
        if let Some(bundle) = self.engine_bundle {
            return self.to_engine(target, bundle);
        }
        let url = url_of(target, &format!("/v1/services/{}/generate", self.service));
        let body = serde_json::json!({"prompt": self.prompt, "max_tokens": self.max_tokens});
        let mut req = request(Method::POST, &url, Bytes::from(body.to_string()))?;
        let headers = req.headers_mut();
        set(
            headers,
            "authorization",
            Some(format!("Bearer {}", self.key)),
        );
        set(headers, "content-type", Some("application/json".to_owned()));
        set(headers, REQUEST, self.request.clone());
        set(headers, PRIORITY, self.priority.map(|it| it.to_string()));
        let deadline = self.deadline.map(|it| it.as_millis().to_string());
        set(headers, DEADLINE_MS, deadline);
        set(headers, ORDER, self.order.clone());
        Ok(req)
    }

    fn to_engine(&self, target: SocketAddr, bundle: Digest) -> Result<Request<Full<Bytes>>> {
        let url = url_of(target, "/v1/generate");
        let body = serde_json::json!({
            "request": self.request,
            "bundle": bundle,
            "prompt": self.prompt,
            "max_tokens": self.max_tokens,
            "priority": self.priority.unwrap_or_default(),
            "resume_from": 0,
        });
        let mut req = request(Method::POST, &url, Bytes::from(body.to_string()))?;
        let json = "application/json".to_owned();
        set(req.headers_mut(), "content-type", Some(json));
        Ok(req)
    }
}

/// Sets a header if there is a value that a header can carry.
pub(crate) fn set(headers: &mut HeaderMap, name: &'static str, value: Option<String>) {
    if let Some(value) = value.and_then(|text| text.parse().ok()) {
        headers.insert(name, value);
    }
}
