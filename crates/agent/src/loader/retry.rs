//! When an order that failed is given again.

use std::time::{Duration, Instant};

use rand::RngExt as _;

use super::Loader;

/// Wait before an order is given again, at first.
const FIRST_RETRY: Duration = Duration::from_millis(250);

/// Longest wait before an order is given again.
const LONGEST_RETRY: Duration = Duration::from_secs(15);

/// When a failed order may be given again, and why it failed.
#[derive(Clone, Debug)]
pub(super) struct Retry {
    at: Instant,
    failures: u32,
    pub(super) why: String,
}

impl Loader {
    pub(super) fn waits(&self, now: Instant) -> bool {
        self.retry.as_ref().is_some_and(|retry| now < retry.at)
    }

    /// Takes note of a failure: the next try comes later each time, with jitter.
    pub(super) fn fail(&mut self, now: Instant, why: String) {
        let failures = self.retry.as_ref().map_or(0, |retry| retry.failures);
        let longest = FIRST_RETRY
            .saturating_mul(1 << failures.min(10))
            .min(LONGEST_RETRY);
        let wait = longest.mul_f64(self.rng.random_range(0.5..1.0));
        self.retry = Some(Retry {
            at: now + wait,
            failures: failures.saturating_add(1),
            why,
        });
    }
}
