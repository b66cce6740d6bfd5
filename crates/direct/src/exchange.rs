//! The exchange in progress on a connection, shared by the connection and its socket.

use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use crate::head_scan::{HeadPace, HeadProgress, HeadScan};

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
    head: Mutex<(HeadScan, HeadPace)>,
}

impl Exchange {
    /// Records that the first byte of a request is about to be sent.
    pub(crate) fn begin(&self) {
        *self.0.head.lock().unwrap_or_else(PoisonError::into_inner) = Default::default();
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
    /// Returns an error if the head of the answer is too long, or arrives for too long.
    pub(crate) fn on_read(&self, data: &[u8]) -> io::Result<()> {
        if !self.0.awaits_head.load(Ordering::Acquire) {
            return Ok(());
        }
        let (progress, is_slow) = {
            let mut head = self.0.head.lock().unwrap_or_else(PoisonError::into_inner);
            let (scan, pace) = &mut *head;
            let progress = scan.push(data);
            let is_partial = progress == Ok(HeadProgress::Partial);
            (progress, pace.on_read(is_partial, Instant::now()))
        };
        let reason = match progress {
            Ok(HeadProgress::Complete) => {
                self.0.awaits_head.store(false, Ordering::Release);
                return Ok(());
            }
            Ok(_) if !is_slow => return Ok(()),
            Ok(_) => "the head of the answer arrives for too long",
            Err(_) => "the head of the answer is too long",
        };
        self.0.is_endless.store(true, Ordering::Release);
        Err(io::Error::new(io::ErrorKind::InvalidData, reason))
    }
}
