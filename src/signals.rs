//! Waiting for signals.

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Waits for SIGTERM or SIGINT.
///
/// Where a handler can't be set, it waits for the other signal alone.
pub(crate) async fn wait_for_end() {
    let interrupt = tokio::signal::ctrl_c();
    match signal(SignalKind::terminate()) {
        Ok(mut terminate) => {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt => {}
            }
        }
        Err(e) => {
            log::warn!("SIGTERM can't be handled: {e}");
            // An error here means that SIGINT can't be handled either; the process then ends.
            let _ = interrupt.await;
        }
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
