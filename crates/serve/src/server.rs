//! A listener with its connections.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Weak};
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::timeout;
use tokio_util::task::TaskTracker;

use crate::handler::Handler;
use crate::handshakes::{allow_handshakes, refuse_handshakes};
use crate::listener::{HANDSHAKE_TIMEOUT, accept};
use crate::metrics::ConnectionCounters;
use crate::phase::{Phase, PhaseWatch};

/// Time without a new connection after which a server counts as quiet. A load balancer that still routes
/// callers to the server opens several connections in this time.
const QUIET_PERIOD: Duration = Duration::from_millis(400);

/// State shared by the connections of a server.
#[derive(Debug)]
pub(crate) struct Shared<F> {
    pub(crate) listener: String,
    pub(crate) handler: F,
    pub(crate) phase: PhaseWatch,
    pub(crate) counters: ConnectionCounters,
    /// Number of accepted connections.
    pub(crate) accepted: watch::Sender<u64>,
    /// New connections are refused, and no handshake is in progress.
    pub(crate) refuses_handshakes: Arc<AtomicBool>,
}

/// A listener with its connections.
///
/// Dropping the server closes the listener. The tasks of the connections go on.
#[derive(Debug)]
pub struct Server {
    phase: PhaseWatch,
    accepting: JoinHandle<()>,
    accepted: watch::Sender<u64>,
    refuses_handshakes: Arc<AtomicBool>,
    /// Can no longer be upgraded once the listener is closed.
    listener: Weak<TcpListener>,
    connections: TaskTracker,
}

impl Server {
    /// Starts to accept connections. `name` identifies the listener in logs and metrics.
    pub fn start<F>(
        name: &str,
        listener: TcpListener,
        handler: F,
        counters: ConnectionCounters,
    ) -> Self
    where
        F: Handler,
    {
        let phase = PhaseWatch::default();
        let accepted = watch::Sender::new(0);
        let refuses_handshakes = Arc::new(AtomicBool::new(false));
        let listener = Arc::new(listener);
        let connections = TaskTracker::new();
        // A closed tracker still accepts tasks; `wait` returns only for a closed one.
        connections.close();
        let cx = Arc::new(Shared {
            listener: name.to_owned(),
            handler,
            phase: phase.clone(),
            counters,
            accepted: accepted.clone(),
            refuses_handshakes: Arc::clone(&refuses_handshakes),
        });
        let weak = Arc::downgrade(&listener);
        let accepting = tokio::spawn(accept(cx, listener, connections.clone()));
        Self {
            phase,
            accepting,
            connections,
            accepted,
            refuses_handshakes,
            listener: weak,
        }
    }

    /// Advances the server to `phase`.
    pub fn enter(&self, phase: Phase) {
        self.phase.enter(phase);
    }

    /// Waits until no new connection has arrived for a while and no handshake is in progress.
    ///
    /// Open connections are not waited for: by the time they end, the load balancer may route callers here
    /// again. After the wait the kernel drops new connections, if the socket filter could be attached. The
    /// caller then enters [`Phase::Closing`].
    pub async fn quiet(&self) {
        let mut accepted = self.accepted.subscribe();
        // The sender lives as long as `self`, so an error can only be a time-out.
        loop {
            while timeout(QUIET_PERIOD, accepted.changed()).await.is_ok() {}
            let Some(listener) = self.listener.upgrade() else {
                return;
            };
            // Without the filter, new connections in this time are still noticed.
            let _ = refuse_handshakes(&listener);
            if timeout(HANDSHAKE_TIMEOUT, accepted.changed())
                .await
                .is_err()
            {
                self.refuses_handshakes.store(true, Ordering::Relaxed);
                return;
            }
            let _ = allow_handshakes(&listener);
        }
    }

    /// Waits until the listener is closed and every connection has ended.
    pub async fn ended(&mut self) {
        if !self.accepting.is_finished() {
            // The task returns once the phase is reached. An error means that it panicked, so it has ended
            // too.
            let _ = (&mut self.accepting).await;
        }
        self.connections.wait().await;
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}
