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

/// How long no connection comes before a server counts as quiet. A balancer that still sends callers
/// sends several in this time.
const QUIET_PERIOD: Duration = Duration::from_millis(400);

/// What a server's connections share.
#[derive(Debug)]
pub(crate) struct Shared<F> {
    pub(crate) listener: String,
    pub(crate) handler: F,
    pub(crate) phase: PhaseWatch,
    pub(crate) counters: ConnectionCounters,
    /// How many connections were accepted.
    pub(crate) accepted: watch::Sender<u64>,
    /// New connections are refused, and no handshake is under way any more.
    pub(crate) refuses_handshakes: Arc<AtomicBool>,
}

/// A listener with its connections. Dropping it closes the listener and leaves the connections to the runtime.
#[derive(Debug)]
pub struct Server {
    phase: PhaseWatch,
    accepting: JoinHandle<()>,
    accepted: watch::Sender<u64>,
    refuses_handshakes: Arc<AtomicBool>,
    /// None once the listener is closed.
    listener: Weak<TcpListener>,
    connections: TaskTracker,
}

impl Server {
    /// Starts to accept connections; `name` is the listener's in lines and metrics.
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
        // It still takes connections, and may be waited for from now on.
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

    /// Waits until no new connection has come for a while, and none is under way.
    ///
    /// Connections that are open don't count: the balancer may send callers again by the time they end. From then
    /// on the kernel drops new ones, where it takes a filter: the next phase is [`Phase::Closing`].
    pub async fn quiet(&self) {
        let mut accepted = self.accepted.subscribe();
        // The sender lives as long as `self`, so that only time ends the waits.
        loop {
            while timeout(QUIET_PERIOD, accepted.changed()).await.is_ok() {}
            let Some(listener) = self.listener.upgrade() else {
                return;
            };
            // Where the kernel takes no filter, callers that come in the meantime are still seen.
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
