//! Backoff of commands that failed.

use std::time::{Duration, Instant};

use rand::RngExt as _;

use super::Loader;

/// Delay before the first retry of a command, before jitter.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Upper bound of the delay before a retry.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(15);

/// When a failed command may be retried, and why it failed.
#[derive(Clone, Debug)]
pub(super) struct Retry {
    at: Instant,
    failures: u32,
    pub(super) why: String,
}

impl Loader {
    pub(super) fn is_backing_off(&self, now: Instant) -> bool {
        self.retry.as_ref().is_some_and(|retry| now < retry.at)
    }

    /// Records a failure. The delay doubles with each failure and carries jitter.
    pub(super) fn record_failure(&mut self, now: Instant, why: String) {
        let failures = self.retry.as_ref().map_or(0, |retry| retry.failures);
        let max_delay = INITIAL_RETRY_DELAY
            .saturating_mul(1 << failures.min(10))
            .min(MAX_RETRY_DELAY);
        let delay = max_delay.mul_f64(self.rng.random_range(0.5..1.0));
        self.retry = Some(Retry {
            at: now + delay,
            failures: failures.saturating_add(1),
            why,
        });
    }
}
