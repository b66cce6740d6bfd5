//! A listener with its connections.

use std::sync::Arc;

use http::HeaderValue;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::task::TaskTracker;

use crate::closing::KEPT;
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
    /// How long an idle connection is kept, as callers are told.
    pub(crate) kept: HeaderValue,
}

/// The connections of a server, by when they were accepted.
#[derive(Clone, Debug, Default)]
pub(crate) struct Connections {
    before_finishing: TaskTracker,
    later: TaskTracker,
}

impl Connections {
    /// Returns those that are accepted in `phase`.
    pub(crate) fn of(&self, phase: Phase) -> &TaskTracker {
        if phase < Phase::Finishing {
            &self.before_finishing
        } else {
            &self.later
        }
    }
}

/// A listener with its connections. Dropping it closes the listener and leaves the connections to the runtime.
#[derive(Debug)]
pub struct Server {
    phase: PhaseWatch,
    accepting: JoinHandle<()>,
    connections: Connections,
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
        let connections = Connections::default();
        let kept = format!("timeout={}", KEPT.as_secs());
        let cx = Arc::new(Shared {
            listener: name.to_owned(),
            front,
            phase: phase.clone(),
            counters,
            // Digits and letters make a header.
            kept: HeaderValue::try_from(kept).unwrap_or(HeaderValue::from_static("timeout=1")),
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

    /// Waits until every connection has ended that was accepted before [`Phase::Finishing`].
    pub async fn finished(&self) {
        self.connections.before_finishing.close();
        self.connections.before_finishing.wait().await;
    }

    /// Waits until the listener is closed and every connection has ended.
    pub async fn ended(&mut self) {
        if !self.accepting.is_finished() {
            // It ends by itself once the phase is reached; a panic in it ends it as well.
            let _ = (&mut self.accepting).await;
        }
        self.finished().await;
        self.connections.later.close();
        self.connections.later.wait().await;
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}
