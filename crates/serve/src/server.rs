//! A listener with its connections.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::task::TaskTracker;

use crate::front::Front;
use crate::listener::accept;
use crate::metrics::ConnectionCounters;
use crate::phase::{Phase, PhaseWatch};

/// How long a server has no connection before it counts as quiet. A balancer that still sends callers
/// sends several in this time.
const QUIET: Duration = Duration::from_millis(100);

/// What a server's connections share.
#[derive(Debug)]
pub(crate) struct Shared<F> {
    pub(crate) listener: String,
    pub(crate) front: F,
    pub(crate) phase: PhaseWatch,
    pub(crate) counters: ConnectionCounters,
    /// Connections that were accepted.
    pub(crate) accepted: Arc<AtomicU64>,
}

/// A listener with its connections. Dropping it closes the listener and leaves the connections to the runtime.
#[derive(Debug)]
pub struct Server {
    phase: PhaseWatch,
    accepting: JoinHandle<()>,
    accepted: Arc<AtomicU64>,
    connections: TaskTracker,
}

impl Server {
    /// Starts to accept connections; `name` is the listener's in lines and metrics.
    pub fn start<F>(
        name: &str,
        listener: TcpListener,
        front: F,
        counters: ConnectionCounters,
    ) -> Self
    where
        F: Front,
    {
        let phase = PhaseWatch::default();
        let accepted = Arc::new(AtomicU64::new(0));
        let connections = TaskTracker::new();
        // It still takes connections, and may be waited for from now on.
        connections.close();
        let cx = Arc::new(Shared {
            listener: name.to_owned(),
            front,
            phase: phase.clone(),
            counters,
            accepted: Arc::clone(&accepted),
        });
        let accepting = tokio::spawn(accept(cx, listener, connections.clone()));
        Self {
            phase,
            accepting,
            connections,
            accepted,
        }
    }

    /// Advances the server to `phase`.
    pub fn enter(&self, phase: Phase) {
        self.phase.enter(phase);
    }

    /// Waits until there has been no connection for a while.
    pub async fn quiet(&self) {
        loop {
            self.connections.wait().await;
            let before = self.accepted.load(Ordering::Relaxed);
            tokio::time::sleep(QUIET).await;
            if self.accepted.load(Ordering::Relaxed) == before {
                return;
            }
        }
    }

    /// Waits until the listener is closed and every connection has ended.
    pub async fn ended(&mut self) {
        if !self.accepting.is_finished() {
            // It ends by itself once the phase is reached; a panic in it ends it as well.
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
