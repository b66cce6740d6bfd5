//! The pooled HTTP client that the adapters share.

use std::error::Error as _;
use std::fmt;
use std::time::Duration;

use ::http::uri::Authority;
use ::http::{Request, Response};
use hyper::body::Incoming;
use hyper_util::client::legacy::connect::{HttpConnector, capture_connection};
use hyper_util::client::legacy::{Client, Error as ClientError};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use snafu::IntoError as _;

use super::Body;
use crate::error::{
    ConnectSnafu, ExchangeSnafu, LostSnafu, NoConnectionSnafu, ProtocolSnafu, TimeoutSnafu,
    UnreachableSnafu, UnsentSnafu,
};
use crate::{PlatformError, TransportError, is_final};

/// How long a connection may take to be made, unless told otherwise.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How long an unused connection is kept. Servers of this system may close one that was idle for longer
/// than 2 s while they end, and a request that crosses the close gets no answer.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Unused connections kept per peer.
const MAX_IDLE_PER_PEER: usize = 256;

/// A pooled HTTP/1.1 client. Clones share the pool.
#[derive(Clone)]
pub struct HttpClient {
    inner: Client<HttpConnector, Body>,
}

impl fmt::Debug for HttpClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HttpClient").finish_non_exhaustive()
    }
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new()
    }
}

impl HttpClient {
    /// Makes a client with a pool of its own.
    pub fn new() -> Self {
        Self::with_connect_timeout(CONNECT_TIMEOUT)
    }

    /// Makes a client that gives up connecting after `timeout`.
    pub fn with_connect_timeout(timeout: Duration) -> Self {
        Self::build(timeout, MAX_IDLE_PER_PEER)
    }

    /// Makes a client that closes each connection after one exchange, for peers that take few.
    ///
    /// An unused connection counts at the peer, and goes on counting for long after this VM has lost
    /// its power.
    pub fn without_reuse() -> Self {
        Self::build(CONNECT_TIMEOUT, 0)
    }

    fn build(connect_timeout: Duration, max_idle: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(connect_timeout));
        let inner = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(max_idle)
            .build(connector);
        Self { inner }
    }

    /// Sends `req` and returns the answer's head with its body still to be read, whatever its
    /// status, as long as that may be a final one. Waits as long as it takes.
    ///
    /// A request of which no byte was sent is sent again over another connection; no other is.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Unreachable`] if nothing was sent, [`PlatformError::Lost`] if
    /// something was and no answer came, and [`PlatformError::Protocol`] if its status is none of a
    /// final answer.
    pub async fn request(&self, req: Request<Body>) -> Result<Response<Incoming>, PlatformError> {
        let authority = req.uri().authority().cloned();
        match self.inner.request(req).await {
            Ok(response) if is_final(response.status()) => Ok(response),
            Ok(response) => ProtocolSnafu {
                peer: peer_name(authority.as_ref()),
                reason: format!(
                    "{} is no status of a final answer",
                    response.status().as_u16()
                ),
            }
            .fail(),
            Err(err) => Err(classify(peer_name(authority.as_ref()), err)),
        }
    }

    /// Does the same as [`request`](Self::request), but waits at most `timeout` for the answer's
    /// head.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`request`](Self::request); a timeout before there was a
    /// connection is [`PlatformError::Unreachable`], a later one [`PlatformError::Lost`].
    pub async fn request_within(
        &self,
        mut req: Request<Body>,
        timeout: Duration,
    ) -> Result<Response<Incoming>, PlatformError> {
        let authority = req.uri().authority().cloned();
        let connection = capture_connection(&mut req);
        match tokio::time::timeout(timeout, self.request(req)).await {
            Ok(result) => result,
            Err(_) => {
                let peer = peer_name(authority.as_ref());
                // The client notes the connection before it hands the request to it, and the
                // request was dropped with the timeout: without a connection nothing was sent.
                if connection.connection_metadata().is_none() {
                    let source = NoConnectionSnafu { after: timeout }.build();
                    Err(UnreachableSnafu { peer }.into_error(source))
                } else {
                    let source = TimeoutSnafu { after: timeout }.build();
                    Err(LostSnafu { peer }.into_error(source))
                }
            }
        }
    }
}

/// Names the peer for messages.
pub(super) fn peer_name(authority: Option<&Authority>) -> String {
    authority.map_or_else(|| "(no address)".to_owned(), ToString::to_string)
}

/// Tells a request that was never sent from one that may have been.
fn classify(peer: String, err: ClientError) -> PlatformError {
    if err.is_connect() {
        let source: TransportError = ConnectSnafu.into_error(err);
        return UnreachableSnafu { peer }.into_error(source);
    }
    if is_unsent(&err) {
        let source: TransportError = UnsentSnafu.into_error(err);
        return UnreachableSnafu { peer }.into_error(source);
    }
    let source: TransportError = ExchangeSnafu.into_error(err);
    LostSnafu { peer }.into_error(source)
}

/// Says whether the connection gave the request back before it wrote any of it.
///
/// For HTTP/1.1 `hyper` calls a request canceled, or the connection closed, only as long as the
/// request still waits to be taken up by the connection.
fn is_unsent(err: &ClientError) -> bool {
    err.source()
        .and_then(|source| source.downcast_ref::<hyper::Error>())
        .is_some_and(|source| source.is_canceled() || source.is_closed())
}
