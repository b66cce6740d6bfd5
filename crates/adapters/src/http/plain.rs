//! Plain services over HTTP.

use std::time::Duration;

use ::http::{Method, Request, Response};
use hyper::body::Incoming;

use super::exchange::{build_request, refusal, unusable};
use super::{BaseUrl, Body, HttpClient};
use crate::{PlainService, PlatformError};

/// How long a check of health is waited for.
const HEALTH_TIMEOUT: Duration = Duration::from_secs(2);

/// A plain service over HTTP.
#[derive(Clone, Debug)]
pub struct HttpPlainService {
    client: HttpClient,
    base: BaseUrl,
    timeout: Option<Duration>,
}

impl HttpPlainService {
    /// Makes an adapter for the plain service at `base`; a call waits as long as it takes.
    pub fn new<U>(base: U) -> Self
    where
        U: Into<BaseUrl>,
    {
        Self {
            client: HttpClient::new(),
            base: base.into(),
            timeout: None,
        }
    }

    /// Uses `client` and its pool in place of one of its own.
    pub fn with_client(mut self, client: HttpClient) -> Self {
        self.client = client;
        self
    }

    /// Sets how long the head of an answer is waited for.
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = Some(timeout);
        self
    }
}

impl PlainService for HttpPlainService {
    async fn call<B>(&self, req: Request<B>) -> Result<Response<Incoming>, PlatformError>
    where
        B: Into<Body> + Send,
    {
        let (mut head, body) = req.into_parts();
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        head.uri = self
            .base
            .join(path)
            .map_err(|err| unusable(&self.base, &err))?;
        let req = Request::from_parts(head, body.into());
        match self.timeout {
            Some(timeout) => self.client.request_within(req, timeout).await,
            None => self.client.request(req).await,
        }
    }

    async fn healthy(&self) -> Result<(), PlatformError> {
        let req = build_request(&self.base, Method::GET, "/healthz", Body::empty())?;
        let response = self.client.request_within(req, HEALTH_TIMEOUT).await?;
        if response.status().is_success() {
            return Ok(());
        }
        Err(refusal(&self.base, response).await)
    }
}
