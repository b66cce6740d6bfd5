//! Exponential backoff between retries.

use std::time::Duration;

use rand::RngExt as _;

/// First wait after a failure.
const INITIAL_WAIT: Duration = Duration::from_millis(50);

/// Longest wait. Bounds the time until the entry notices that a service works again.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// Doubles the wait with each failure, and draws each wait at random from its upper half.
#[derive(Debug)]
pub(crate) struct Backoff {
    next: Duration,
}

impl Backoff {
    /// Creates a backoff that has seen no failure.
    pub(crate) fn new() -> Self {
        Self { next: INITIAL_WAIT }
    }

    /// Returns how long to wait after another failure, at least `at_least`.
    pub(crate) fn failed(&mut self, at_least: Option<Duration>) -> Duration {
        let wait = self.next;
        self.next = (self.next * 2).min(MAX_WAIT);
        let spread = rand::rng().random_range(0.5..1.0);
        wait.mul_f64(spread).max(at_least.unwrap_or_default())
    }

    /// Sets the next wait to the first one, after a success.
    pub(crate) fn reset(&mut self) {
        self.next = INITIAL_WAIT;
    }
}
