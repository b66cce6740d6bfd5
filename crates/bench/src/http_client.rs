//! A small HTTP client over loopback.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tokio::time::timeout;

use crate::error::{HttpSnafu, Result, StatusSnafu};

/// Time within which an ordinary exchange is finished.
const EXCHANGE_BOUND: Duration = Duration::from_secs(30);

/// Time within which a connection is made.
const CONNECT_BOUND: Duration = Duration::from_secs(5);

/// Idle connections that are kept for one address.
const IDLE_CONNECTIONS: usize = 4096;

/// Bytes of an answer that an error shows.
const SHOWN: usize = 500;

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Fetched {
    /// Status of the answer.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// Body of the answer.
    pub body: Bytes,
}

impl Fetched {
    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the header `name` as text, if it is there.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// A client that keeps its connections; clones share them.
#[derive(Clone, Debug)]
pub struct HttpClient {
    inner: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// Makes a client with no connection yet.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_BOUND));
        let inner = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(IDLE_CONNECTIONS)
            // A request that a caller sends once must arrive once.
            .retry_canceled_requests(false)
            .build(connector);
        Self { inner }
    }

    /// Sends a request and returns the answer's head with the body still to come.
    ///
    /// # Errors
    ///
    /// Returns [`BenchError::Http`](crate::BenchError::Http) if no answer comes.
    pub async fn send(&self, req: Request<Full<Bytes>>) -> Result<Response<Incoming>> {
        let url = req.uri().to_string();
        self.inner.request(req).await.map_err(|source| {
            let detail = chain(&source);
            HttpSnafu { url, detail }.build()
        })
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Returns [`BenchError::Http`](crate::BenchError::Http) if no whole answer comes in time.
    pub async fn fetch(&self, req: Request<Full<Bytes>>) -> Result<Fetched> {
        let url = req.uri().to_string();
        let whole = async {
            let (head, body) = self.send(req).await?.into_parts();
            let body = body.collect().await.map_err(|source| {
                let detail = chain(&source);
                let url = url.clone();
                HttpSnafu { url, detail }.build()
            })?;
            Ok(Fetched {
                status: head.status,
                headers: head.headers,
                body: body.to_bytes(),
            })
        };
        match timeout(EXCHANGE_BOUND, whole).await {
            Ok(fetched) => fetched,
            Err(_) => HttpSnafu {
                url: &url,
                detail: format!("no whole answer within {EXCHANGE_BOUND:?}"),
            }
            .fail(),
        }
    }

    /// Fetches `url` and wants a success.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer comes or its status is not a success.
    pub async fn get(&self, url: &str) -> Result<Fetched> {
        let fetched = self.fetch(request(Method::GET, url, Bytes::new())?).await?;
        if fetched.status.is_success() {
            return Ok(fetched);
        }
        StatusSnafu {
            url,
            status: fetched.status,
            body: fetched.text().chars().take(SHOWN).collect::<String>(),
        }
        .fail()
    }
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new()
    }
}

/// Makes a request without headers.
///
/// # Errors
///
/// Returns [`BenchError::Http`](crate::BenchError::Http) if `url` is none.
pub fn request(method: Method, url: &str, body: Bytes) -> Result<Request<Full<Bytes>>> {
    let built = Request::builder()
        .method(method)
        .uri(url)
        .body(Full::new(body));
    built.map_err(|source| {
        let detail = source.to_string();
        HttpSnafu { url, detail }.build()
    })
}

/// Returns the URL of `path` at `addr`.
pub fn url_of(addr: SocketAddr, path: &str) -> String {
    format!("http://{addr}{path}")
}

/// Writes an error with all its causes: the outermost alone says too little.
pub(crate) fn chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(source) = cause {
        text.push_str(": ");
        text.push_str(&source.to_string());
        cause = source.source();
    }
    text
}
