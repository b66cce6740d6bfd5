//! When an order that failed is given again.

use std::time::{Duration, Instant};

use rand::RngExt as _;

use super::Loader;

/// Wait before an order is given again, at first.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Longest wait before an order is given again.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(15);

/// When a failed order may be given again, and why it failed.
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

    /// Takes note of a failure: the next try comes later each time, with jitter.
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
