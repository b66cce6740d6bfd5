//! When refused callers should retry.

use std::time::{Duration, Instant};

/// Time after which a refusal counts for about a third, which is about as long as callers wait before they
/// retry.
const DECAY_TIME: Duration = Duration::from_secs(1);

/// Largest share of a caller's remaining time that it may be told to wait. Callers do not heed a longer pause
/// than a third.
const MAX_RETRY_SHARE: f64 = 0.3;

/// Share of the recent requests that were refused for lack of capacity.
///
/// Load pattern: a burst, or a loss of engines, lasts longer than a slot takes to become free. A caller that
/// is told to wait for the time of one slot retries together with all others and is refused for good, whereas
/// after a single refusal a quick retry pays. So the pause grows with the share of refused requests.
#[derive(Clone, Debug)]
pub struct RefusalRate {
    received: f64,
    refused: f64,
    at: Instant,
}

impl RefusalRate {
    /// Creates the rate of a service without requests so far.
    pub const fn new(now: Instant) -> Self {
        Self {
            received: 0.0,
            refused: 0.0,
            at: now,
        }
    }

    /// Records a request, and whether it was refused.
    pub fn count(&mut self, is_refused: bool, now: Instant) {
        let passed = now.saturating_duration_since(self.at);
        let keep = (-passed.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        self.at = now;
        self.received = self.received * keep + 1.0;
        self.refused *= keep;
        if is_refused {
            self.refused += 1.0;
        }
    }

    /// Returns how long a refused caller with `left` of its time remaining should wait, if the next slot
    /// becomes free in `free_in`.
    pub fn retry_after(&self, free_in: Duration, left: Duration) -> Duration {
        let share = (self.refused / self.received.max(1.0)).clamp(0.0, 1.0);
        let longest = left.mul_f64(MAX_RETRY_SHARE);
        (free_in + longest.mul_f64(share)).min(longest)
    }
}
