//! The exchange in progress on a connection, shared by the connection and its socket.

use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::watch;

use crate::head_scan::{HeadProgress, HeadScan};

/// Maximum time from the first byte of a head to its last. A head fits a few packets, and a lost packet is sent
/// again within a second.
const HEAD_TIMEOUT: Duration = Duration::from_secs(1);

/// The exchange in progress on a connection.
#[derive(Clone, Debug, Default)]
pub(crate) struct Exchange(Arc<State>);

#[derive(Debug, Default)]
struct State {
    /// A request is in progress.
    is_active: AtomicBool,
    /// The head of the answer is not complete.
    awaits_head: AtomicBool,
    /// The upstream sends bytes that are no answer.
    is_endless: AtomicBool,
    scan: Mutex<HeadScan>,
    /// Since when a part of a head has arrived.
    partial_since: watch::Sender<Option<Instant>>,
}

impl Exchange {
    /// Records that the first byte of a request is about to be sent.
    pub(crate) fn begin(&self) {
        *self.0.scan.lock().unwrap_or_else(PoisonError::into_inner) = HeadScan::default();
        self.0.partial_since.send_replace(None);
        self.0.awaits_head.store(true, Ordering::Release);
        self.0.is_active.store(true, Ordering::Release);
    }

    /// Records that the response was read completely.
    pub(crate) fn end(&self) {
        self.0.is_active.store(false, Ordering::Release);
    }

    /// Returns whether a request is in progress.
    pub(crate) fn is_active(&self) -> bool {
        self.0.is_active.load(Ordering::Acquire)
    }

    /// Returns whether the upstream sends a head without end.
    pub(crate) fn is_endless(&self) -> bool {
        self.0.is_endless.load(Ordering::Acquire)
    }

    /// Records bytes that were read from the upstream.
    ///
    /// # Errors
    ///
    /// Returns an error if the head of the answer is too long.
    pub(crate) fn on_read(&self, data: &[u8]) -> io::Result<()> {
        if !self.0.awaits_head.load(Ordering::Acquire) {
            return Ok(());
        }
        let progress = {
            let mut scan = self.0.scan.lock().unwrap_or_else(PoisonError::into_inner);
            scan.push(data)
        };
        let Ok(progress) = progress else {
            self.0.is_endless.store(true, Ordering::Release);
            let reason = "the head of the answer is too long";
            return Err(io::Error::new(io::ErrorKind::InvalidData, reason));
        };
        if progress == HeadProgress::Complete {
            self.0.awaits_head.store(false, Ordering::Release);
        }
        let is_partial = progress == HeadProgress::Partial;
        self.0.partial_since.send_if_modified(|since| {
            let is_changed = since.is_some() != is_partial;
            if is_changed {
                *since = is_partial.then(Instant::now);
            }
            is_changed
        });
        Ok(())
    }

    /// Waits until a head has been arriving for longer than it may.
    pub(crate) async fn head_timeout(&self) {
        let mut partial_since = self.0.partial_since.subscribe();
        loop {
            let since = *partial_since.borrow_and_update();
            let late = async {
                match since {
                    Some(since) => tokio::time::sleep_until((since + HEAD_TIMEOUT).into()).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                // The sender lives as long as `self`.
                _ = partial_since.changed() => {}
                () = late => {
                    self.0.is_endless.store(true, Ordering::Release);
                    return;
                }
            }
        }
    }
}
