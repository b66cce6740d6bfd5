//! Waiting for signals.

use tokio::signal::unix::{Signal, SignalKind, signal};

/// The signals that end the process: SIGTERM and SIGINT.
#[derive(Debug)]
pub(crate) struct EndSignals {
    signals: Vec<Signal>,
}

impl EndSignals {
    /// Begins to take the signals. Before that they end the process at once, with what it has begun.
    pub(crate) fn new() -> Self {
        let kinds = [
            ("SIGTERM", SignalKind::terminate()),
            ("SIGINT", SignalKind::interrupt()),
        ];
        let mut signals = Vec::new();
        for (name, kind) in kinds {
            match signal(kind) {
                Ok(taken) => signals.push(taken),
                Err(e) => log::warn!("{name} can't be handled, and ends the process at once: {e}"),
            }
        }
        Self { signals }
    }

    /// Waits for the first of them; for ever where none can be taken.
    pub(crate) async fn wait(&mut self) {
        let waits = self.signals.iter_mut().map(|it| Box::pin(it.recv()));
        let waits: Vec<_> = waits.collect();
        if waits.is_empty() {
            std::future::pending::<()>().await;
        }
        futures::future::select_all(waits).await;
    }
}

/// Signals that the settings file has changed.
#[derive(Debug)]
pub(crate) struct Hangup {
    signals: Option<Signal>,
}

impl Hangup {
    /// Begins to take SIGHUP, which would end the process otherwise.
    pub(crate) fn new() -> Self {
        let signals = match signal(SignalKind::hangup()) {
            Ok(signals) => Some(signals),
            Err(e) => {
                log::warn!("SIGHUP can't be handled: {e}");
                None
            }
        };
        Self { signals }
    }

    /// Waits for the next one; for ever where none can be taken.
    pub(crate) async fn wait(&mut self) {
        match &mut self.signals {
            Some(signals) => {
                signals.recv().await;
            }
            None => std::future::pending().await,
        }
    }
}
