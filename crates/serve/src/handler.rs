//! Handlers of the requests of a server.

use std::error::Error;
use std::time::Duration;

use axum::Router;
use bytes::Bytes;
use http::{Request, Response};
use http_body::Body;
use hyper::service::Service as _;
use hyper_util::service::TowerToHyperService;

use crate::body::RequestBody;

/// Default time for which a connection can be idle, or take to send a head.
const DEFAULT_IDLE: Duration = Duration::from_secs(60);

/// Default maximum size of a head; the default of the HTTP library.
const DEFAULT_HEAD_BYTES: usize = 408 * 1024;

/// Limits of one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Longest time for which the connection can be idle, or take to send a head.
    pub idle: Duration,
    /// Maximum size of a head, in bytes.
    pub head: usize,
    /// Longest time for which the peer may read nothing of a response of which more is to come; without it there
    /// is no limit. The idle time bounds it for a response that is complete at the server.
    pub unread: Option<Duration>,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            idle: DEFAULT_IDLE,
            head: DEFAULT_HEAD_BYTES,
            unread: None,
        }
    }
}

/// The body of a response.
pub trait ResponseBody:
    Body<Data = Bytes, Error: Into<Box<dyn Error + Send + Sync>>> + Send + 'static
{
}

impl<B> ResponseBody for B where
    B: Body<Data = Bytes, Error: Into<Box<dyn Error + Send + Sync>>> + Send + 'static
{
}

/// Answers the requests of a server.
pub trait Handler: Send + Sync + 'static {
    /// Returns the limits of a connection that has just been accepted.
    fn limits(&self) -> Limits {
        Limits::default()
    }

    /// Answers a request.
    fn answer(
        &self,
        req: Request<RequestBody>,
    ) -> impl Future<Output = Response<impl ResponseBody + use<Self>>> + Send + use<Self>;
}

/// Handler that passes requests to a router.
#[derive(Clone, Debug)]
pub struct Routes {
    router: TowerToHyperService<Router>,
}

impl Routes {
    /// Creates a handler for `router`.
    pub fn new(router: Router) -> Self {
        Self {
            router: TowerToHyperService::new(router),
        }
    }
}

impl Handler for Routes {
    fn answer(
        &self,
        req: Request<RequestBody>,
    ) -> impl Future<Output = Response<impl ResponseBody + use<>>> + Send + use<> {
        let answering = self.router.call(req);
        async move {
            let Ok(response) = answering.await;
            response
        }
    }
}
