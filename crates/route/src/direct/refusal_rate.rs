//! When callers that were refused are to come back.

use std::time::{Duration, Instant};

/// Time after which what was refused counts for a third: about as long as callers stay away.
const MEMORY: Duration = Duration::from_secs(1);

/// Share of its time that a caller may be sent away for. Callers heed no longer pause than a third.
const LONGEST_SHARE: f64 = 0.3;

/// How much of what came lately was refused for want of room.
///
/// Load pattern: a burst, or engines lost, for longer than a slot takes to get free. Who is sent away
/// for one slot's time comes back into the same crowd and is refused for good; a lone refusal is
/// worth a quick return. So the pause grows with the share that is refused.
#[derive(Clone, Debug)]
pub struct RefusalRate {
    asked: f64,
    refused: f64,
    at: Instant,
}

impl RefusalRate {
    /// Makes the account of a service that nobody asked yet.
    pub const fn new(now: Instant) -> Self {
        Self {
            asked: 0.0,
            refused: 0.0,
            at: now,
        }
    }

    /// Takes a request that found room, or did not.
    pub fn count(&mut self, is_refused: bool, now: Instant) {
        let passed = now.saturating_duration_since(self.at);
        let keep = (-passed.as_secs_f64() / MEMORY.as_secs_f64()).exp();
        self.at = now;
        self.asked = self.asked * keep + 1.0;
        self.refused *= keep;
        if is_refused {
            self.refused += 1.0;
        }
    }

    /// Returns how long a refused caller that has `left` is to stay away, where the next place gets
    /// free in `free_in`.
    pub fn retry_after(&self, free_in: Duration, left: Duration) -> Duration {
        let share = (self.refused / self.asked.max(1.0)).clamp(0.0, 1.0);
        let longest = left.mul_f64(LONGEST_SHARE);
        (free_in + longest.mul_f64(share)).min(longest)
    }
}
