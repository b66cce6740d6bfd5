//! Average duration of fetches, and backoff of sources that fail.

use std::time::{Duration, Instant};

/// Weight of the previous average against a new duration, which has weight 1.
const HISTORY_WEIGHT: u32 = 3;

/// Maximum doublings of a time-out or of a backoff.
const MAX_DOUBLINGS: u32 = 5;

/// Moving average of the duration of fetches, from which their time-outs are derived.
#[derive(Debug)]
pub(crate) struct FetchTime {
    initial: Duration,
    /// `None` until a fetch has succeeded.
    average: Option<Duration>,
    /// Fetches that have timed out since the last success.
    timeouts: u32,
}

impl FetchTime {
    /// Makes an estimate that starts from `initial`.
    pub(crate) const fn new(initial: Duration) -> Self {
        Self {
            initial,
            average: None,
            timeouts: 0,
        }
    }

    /// Returns the average duration, or `None` until a fetch has succeeded.
    pub(crate) const fn average(&self) -> Option<Duration> {
        self.average
    }

    /// Returns the duration from which time-outs are derived.
    ///
    /// The duration doubles with each time-out, up to [`MAX_DOUBLINGS`] times, so that an initial
    /// estimate that is far too short does not make every fetch time out for ever.
    pub(crate) fn timeout_base(&self) -> Duration {
        let average = self.average.unwrap_or(self.initial);
        average.saturating_mul(1 << self.timeouts.min(MAX_DOUBLINGS))
    }

    /// Records the duration of a fetch that succeeded.
    pub(crate) fn observe(&mut self, duration: Duration) {
        let average = self.average.unwrap_or(duration);
        self.average = Some((average * HISTORY_WEIGHT + duration) / (HISTORY_WEIGHT + 1));
        self.timeouts = 0;
    }

    /// Records that a fetch timed out.
    pub(crate) const fn record_timeout(&mut self) {
        self.timeouts = self.timeouts.saturating_add(1);
    }
}

/// Backoff of a source: when the next fetch from it may start.
#[derive(Debug, Default)]
pub(crate) struct Backoff {
    until: Option<Instant>,
    failures: u32,
}

impl Backoff {
    /// Returns whether a fetch from the source may start.
    pub(crate) fn is_over(&self, now: Instant) -> bool {
        self.until.is_none_or(|until| until <= now)
    }

    /// Ends the backoff and resets the count of failures.
    pub(crate) fn reset(&mut self) {
        *self = Self::default();
    }

    /// Extends the backoff at least until `now + delay`, without counting a failure.
    pub(crate) fn extend(&mut self, now: Instant, delay: Duration) {
        let until = now + delay;
        self.until = Some(self.until.map_or(until, |before| before.max(until)));
    }

    /// Counts a failure and backs off for `first`, doubled with each earlier failure and at most `max`.
    /// `jitter`, from 0 to 1, lengthens the result by that share, also beyond `max`.
    pub(crate) fn record_failure(
        &mut self,
        now: Instant,
        first: Duration,
        max: Duration,
        jitter: f64,
    ) {
        let delay = first.saturating_mul(1 << self.failures.min(MAX_DOUBLINGS));
        self.failures = self.failures.saturating_add(1);
        self.extend(now, delay.min(max).mul_f64(1.0 + jitter));
    }
}
