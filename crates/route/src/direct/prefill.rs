//! How long an engine still reads the prompts that it has.

use std::time::{Duration, Instant};

/// The prompts that an engine is to read, one after the other, as the time at which it is done.
///
/// Load pattern: prompts of mixed size, where two long ones at one engine start late though few
/// requests run there. A count of requests can't tell them from short ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PrefillQueue {
    until: Option<Instant>,
}

impl PrefillQueue {
    /// Adds a prompt that takes `prefill_time`.
    pub fn add(&mut self, prefill_time: Duration, now: Instant) {
        self.until = Some(now + self.left(now) + prefill_time);
    }

    /// Takes that `left` is left to read.
    pub fn set(&mut self, left: Duration, now: Instant) {
        self.until = Some(now + left);
    }

    /// Returns how long the engine still reads.
    pub fn left(&self, now: Instant) -> Duration {
        let until = self.until.unwrap_or(now);
        until.saturating_duration_since(now)
    }
}
