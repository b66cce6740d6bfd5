//! Phases of the shutdown of a server.

use tokio::sync::watch;

/// Phase of the shutdown of a server. Phases only advance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
pub enum Phase {
    /// Connections are accepted and kept open.
    #[default]
    #[display("serving")]
    Serving,
    /// Connections are accepted, and each response carries `Connection: close`. A connection is closed once
    /// it was idle for longer than its caller may reuse it.
    #[display("leaving")]
    Leaving,
    /// The listener is closed. Requests on connections accepted before are still answered.
    #[display("closing")]
    Closing,
    /// Connections are closed as soon as they have no request in progress. A request whose head stays
    /// incomplete is refused.
    #[display("ending")]
    Ending,
}

/// The current phase of a server, shared with its connections.
#[derive(Clone, Debug, Default)]
pub(crate) struct PhaseWatch {
    tx: watch::Sender<Phase>,
}

impl PhaseWatch {
    pub(crate) fn now(&self) -> Phase {
        *self.tx.borrow()
    }

    /// Advances to `phase`. A phase before the current one has no effect.
    pub(crate) fn enter(&self, phase: Phase) {
        self.tx.send_if_modified(|now| {
            let advances = phase > *now;
            *now = phase.max(*now);
            advances
        });
    }

    /// Waits until `phase` or a later one is reached.
    pub(crate) async fn reached(&self, phase: Phase) {
        let mut rx = self.tx.subscribe();
        // The sender lives as long as `self`.
        let _ = rx.wait_for(|now| *now >= phase).await;
    }
}
