//! A listener with its connections.

use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::task::TaskTracker;

use crate::front::Front;
use crate::listener::accept;
use crate::metrics::ConnectionCounters;
use crate::phase::{Phase, PhaseWatch};

/// What a server's connections share.
#[derive(Debug)]
pub(crate) struct Shared<F> {
    pub(crate) listener: String,
    pub(crate) front: F,
    pub(crate) phase: PhaseWatch,
    pub(crate) counters: ConnectionCounters,
}

/// A listener with its connections. Dropping it leaves them to the runtime.
#[derive(Debug)]
pub struct Server {
    phase: PhaseWatch,
    accepting: JoinHandle<()>,
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
        let connections = TaskTracker::new();
        let cx = Arc::new(Shared {
            listener: name.to_owned(),
            front,
            phase: phase.clone(),
            counters,
        });
        let accepting = tokio::spawn(accept(cx, listener, connections.clone()));
        Self {
            phase,
            accepting,
            connections,
        }
    }

    /// Advances the server to `phase`.
    pub fn enter(&self, phase: Phase) {
        self.phase.enter(phase);
    }

    /// Waits until the listener is closed and every connection has ended.
    pub async fn ended(&mut self) {
        // It ends by itself once the phase is reached; a panic in it ends it as well.
        let _ = (&mut self.accepting).await;
        self.connections.close();
        self.connections.wait().await;
    }
}
