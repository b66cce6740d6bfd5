//! Connections to upstreams.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use rustix::net::sockopt;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use wagtailreel_fleet::UpstreamStart;

use crate::exchange::Exchange;
use crate::socket::Socket;

/// Timeout of connecting to an upstream. The longest one-way delay is 3 ms. A lost SYN is retransmitted only
/// after a second, and by then another upstream has answered.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for which sent data or a keep-alive probe may stay unacknowledged before the kernel closes the
/// connection. With 2 s, one lost probe ended the requests of a VM that was silent for 1 s.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(4);

/// Time after the last received byte at which the kernel sends the first keep-alive probe.
const PROBE_IDLE: Duration = Duration::from_secs(1);

/// Time between two keep-alive probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of keep-alive probes that have to be lost.
const PROBES: u32 = 3;

// Linux ignores the number of probes if there is a user timeout, and counts that from the last received byte.
const _: () = assert!(
    TCP_USER_TIMEOUT.as_millis()
        >= PROBE_IDLE.as_millis() + PROBE_INTERVAL.as_millis() * PROBES as u128,
    "the user timeout ends before all keep-alive probes are lost"
);

/// Keep-alive time of an idle connection if the upstream announces none.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(2);

/// Longest keep-alive time of an idle connection, whatever the upstream states. A time that no clock reaches can't be
/// added to the current one.
const MAX_KEEP_ALIVE: Duration = Duration::from_secs(3600);

/// Time before the upstream's keep-alive timeout at which the entry stops reusing a connection. Of a request
/// that is sent while the upstream closes the connection, the entry can't tell whether it ran.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);

/// Longest idle time of a connection that is reused for a non-idempotent request.
const MAX_IDLE_TIME_NON_REPEATABLE: Duration = Duration::from_millis(300);

/// Maximum number of idle connections for each upstream. An engine runs 16 requests at once.
const MAX_IDLE_PER_UPSTREAM: usize = 16;

/// A connection to an upstream. Dropping it closes it at once; while a request is in progress, the connection
/// is reset, which cancels the request.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    exchange: Exchange,
    addr: SocketAddr,
    /// The start of the upstream that the connection was opened to. After a restart the connection is dead,
    /// even if its close never arrived.
    start: UpstreamStart,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Why a request got no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendError {
    /// No byte was sent.
    NotSent,
    /// The request may have been sent.
    Lost,
    /// The request may have been sent, and the upstream sends a head without end.
    NoAnswer,
}

impl SendError {
    /// Returns the reason for the log.
    pub(crate) const fn why(self) -> &'static str {
        match self {
            Self::NotSent => "connection-closed",
            Self::Lost => "connection-broke",
            Self::NoAnswer => "endless-head",
        }
    }
}

impl Connection {
    /// Opens a connection.
    pub(crate) async fn open(addr: SocketAddr, start: UpstreamStart) -> Result<Self, SendError> {
        let connecting = TcpStream::connect(addr);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await;
        let Ok(Ok(stream)) = stream else {
            return Err(SendError::NotSent);
        };
        Self::from_stream(stream, addr, start).await
    }

    /// Creates a connection on an open stream.
    pub(crate) async fn from_stream(
        stream: TcpStream,
        addr: SocketAddr,
        start: UpstreamStart,
    ) -> Result<Self, SendError> {
        set_socket_options(&stream);
        let exchange = Exchange::default();
        let socket = Socket::new(stream, exchange.clone());
        let handshake = http1::Builder::new().handshake(TokioIo::new(socket));
        let Ok((sender, conn)) = handshake.await else {
            return Err(SendError::NotSent);
        };
        let task = tokio::spawn(async move {
            // The request on the connection gets the error as well.
            let _ = conn.await;
        });
        Ok(Self {
            sender,
            exchange,
            addr,
            start,
            task: task.abort_handle(),
        })
    }

    /// Sends a request and waits for the response head.
    pub(crate) async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        if self.sender.ready().await.is_err() {
            return Err(SendError::NotSent);
        }
        self.exchange.begin();
        match self.sender.try_send_request(req).await {
            Ok(response) => Ok(response),
            // hyper returns a request only if no byte of it was written.
            Err(mut err) => match err.take_message() {
                Some(_) => Err(SendError::NotSent),
                None if self.exchange.is_endless() => Err(SendError::NoAnswer),
                None => Err(SendError::Lost),
            },
        }
    }

    /// Records that the response was read completely, so that dropping the connection closes it in order.
    pub(crate) fn response_read(&self) {
        self.exchange.end();
    }
}

/// Sets the socket options by which the kernel detects a dead connection.
fn set_socket_options(stream: &TcpStream) {
    // Errors are ignored: without these options a connection still works, but its failure is detected later.
    let _ = stream.set_nodelay(true);
    let timeout_ms = u32::try_from(TCP_USER_TIMEOUT.as_millis()).unwrap_or(u32::MAX);
    let _ = sockopt::set_tcp_user_timeout(stream, timeout_ms);
    let _ = sockopt::set_socket_keepalive(stream, true);
    let _ = sockopt::set_tcp_keepidle(stream, PROBE_IDLE);
    let _ = sockopt::set_tcp_keepintvl(stream, PROBE_INTERVAL);
    let _ = sockopt::set_tcp_keepcnt(stream, PROBES);
}

#[derive(Debug)]
struct Idle {
    conn: Connection,
    since: Instant,
    until: Instant,
}

/// Idle connections to the upstreams of one service.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: Mutex<BTreeMap<SocketAddr, Vec<Idle>>>,
}

impl Pool {
    /// Returns the most recently used idle connection to the given start of the upstream at `addr`, and drops
    /// those that can't be used.
    ///
    /// A request that is not `repeatable` gets only a connection that was idle for a short time.
    pub(crate) fn check_out(
        &self,
        addr: SocketAddr,
        start: UpstreamStart,
        repeatable: bool,
    ) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.lock();
        let kept = idle.get_mut(&addr)?;
        while let Some(last) = kept.pop() {
            let is_fresh =
                now.saturating_duration_since(last.since) <= MAX_IDLE_TIME_NON_REPEATABLE;
            let is_usable =
                last.until > now && !last.conn.sender.is_closed() && last.conn.start == start;
            if is_usable && (repeatable || is_fresh) {
                return Some(last.conn);
            }
        }
        None
    }

    /// Returns a connection whose response was read completely to the pool, for the `keep_alive` time of the
    /// upstream.
    pub(crate) fn check_in(&self, conn: Connection, keep_alive: Option<Duration>) {
        let now = Instant::now();
        let keep_alive = keep_alive
            .unwrap_or(DEFAULT_KEEP_ALIVE)
            .min(MAX_KEEP_ALIVE)
            .saturating_sub(KEEP_ALIVE_MARGIN);
        if keep_alive.is_zero() || conn.sender.is_closed() {
            return;
        }
        let mut idle = self.lock();
        let kept = idle.entry(conn.addr).or_default();
        kept.retain(|it| it.until > now && !it.conn.sender.is_closed());
        if kept.len() < MAX_IDLE_PER_UPSTREAM {
            kept.push(Idle {
                conn,
                since: now,
                until: now + keep_alive,
            });
        }
    }

    /// Closes expired connections, and those to upstreams for which `is_known` returns `false`.
    pub(crate) fn prune<F>(&self, is_known: F)
    where
        F: Fn(&SocketAddr) -> bool,
    {
        let now = Instant::now();
        let mut idle = self.lock();
        idle.retain(|addr, kept| {
            kept.retain(|it| it.until > now && !it.conn.sender.is_closed());
            !kept.is_empty() && is_known(addr)
        });
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
