//! Waiting for the signal that ends a process.

use tokio::signal::unix::{SignalKind, signal};

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
