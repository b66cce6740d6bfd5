//! Prefill work that an engine still has to do.

use std::time::{Duration, Instant};

/// The prompts queued for prefill at an engine, kept as the time at which the last one is done.
///
/// Load pattern: prompts vary in size, and requests behind two long ones at one engine begin late although
/// few requests run there. A count of requests cannot tell long prompts from short ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PrefillQueue {
    until: Option<Instant>,
}

impl PrefillQueue {
    /// Adds a prompt with the given prefill time.
    pub fn add(&mut self, prefill_time: Duration, now: Instant) {
        self.until = Some(now + self.left(now) + prefill_time);
    }

    /// Sets the remaining prefill time to `left`.
    pub fn set(&mut self, left: Duration, now: Instant) {
        self.until = Some(now + left);
    }

    /// Returns the remaining prefill time.
    pub fn left(&self, now: Instant) -> Duration {
        let until = self.until.unwrap_or(now);
        until.saturating_duration_since(now)
    }
}
