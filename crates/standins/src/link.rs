//! A link whose rate all readers share.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// How far the link may catch up after timers that ran late.
const CATCH_UP: Duration = Duration::from_millis(10);

/// Time that one slice should take on the link.
const SLICE_TIME: Duration = Duration::from_millis(2);

/// Shortest slice in bytes.
const MIN_SLICE: usize = 2 * 1024;

/// Longest slice in bytes.
const MAX_SLICE: usize = 64 * 1024;

/// A link with a rate over all its readers.
///
/// Each slice takes the next free time on the link, in the order in which the slices were asked
/// for. A reader asks for its next slice only when the last has passed, so that readers in
/// parallel take turns.
#[derive(Debug)]
pub(crate) struct Link {
    free_at: Mutex<Instant>,
}

impl Link {
    pub(crate) fn new() -> Self {
        Self {
            free_at: Mutex::new(Instant::now()),
        }
    }

    /// Returns the length of a slice in bytes at `rate` bytes a second; 0 is no limit.
    pub(crate) fn slice_length(rate: u64) -> usize {
        if rate == 0 {
            return MAX_SLICE;
        }
        let bytes = u128::from(rate) * SLICE_TIME.as_millis() / 1000;
        usize::try_from(bytes).map_or(MAX_SLICE, |bytes| bytes.clamp(MIN_SLICE, MAX_SLICE))
    }

    /// Waits until `bytes` have passed the link at `rate` bytes a second; 0 is no limit.
    pub(crate) async fn pass(&self, bytes: usize, rate: u64) {
        if rate == 0 {
            return;
        }
        let until = self.reserve(bytes, rate);
        tokio::time::sleep_until(until).await;
    }

    /// Takes the next free time on the link and returns when it ends.
    fn reserve(&self, bytes: usize, rate: u64) -> Instant {
        let takes = Duration::from_secs_f64(bytes as f64 / rate as f64);
        let now = Instant::now();
        let earliest = now.checked_sub(CATCH_UP).unwrap_or(now);
        let mut free_at = self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
        *free_at = earliest.max(*free_at) + takes;
        *free_at
    }
}
