//! How long fetches usually take, and how long a source is left alone.

use std::time::{Duration, Instant};

/// Weight of what was known against a new duration.
const HISTORY_WEIGHT: u32 = 3;

/// Most doublings of a pause.
const MAX_DOUBLINGS: u32 = 5;

/// The usual duration of fetches.
#[derive(Debug)]
pub(crate) struct FetchTime {
    initial: Duration,
    /// None until a fetch has succeeded.
    average: Option<Duration>,
    /// Fetches given up since one succeeded.
    timeouts: u32,
}

impl FetchTime {
    /// Makes a pace from a first guess.
    pub(crate) const fn new(initial: Duration) -> Self {
        Self {
            initial,
            average: None,
            timeouts: 0,
        }
    }

    /// Returns the usual duration; none until a fetch has succeeded.
    pub(crate) const fn average(&self) -> Option<Duration> {
        self.average
    }

    /// Returns the duration from which limits are made.
    ///
    /// It doubles with each fetch that is given up, so that a guess far too short can't give up
    /// every fetch for ever.
    pub(crate) fn timeout_base(&self) -> Duration {
        let average = self.average.unwrap_or(self.initial);
        average.saturating_mul(1 << self.timeouts.min(MAX_DOUBLINGS))
    }

    /// Takes in the duration of a fetch that succeeded.
    pub(crate) fn observe(&mut self, duration: Duration) {
        let average = self.average.unwrap_or(duration);
        self.average = Some((average * HISTORY_WEIGHT + duration) / (HISTORY_WEIGHT + 1));
        self.timeouts = 0;
    }

    /// Takes in that a fetch was given up.
    pub(crate) const fn record_timeout(&mut self) {
        self.timeouts = self.timeouts.saturating_add(1);
    }
}

/// When a source may be asked again.
#[derive(Debug, Default)]
pub(crate) struct Backoff {
    until: Option<Instant>,
    failures: u32,
}

impl Backoff {
    /// Says whether the source may be asked.
    pub(crate) fn is_over(&self, now: Instant) -> bool {
        self.until.is_none_or(|until| until <= now)
    }

    /// Ends the pause and forgets the failures.
    pub(crate) fn reset(&mut self) {
        *self = Self::default();
    }

    /// Leaves the source alone until `now + delay`, without counting a failure.
    pub(crate) fn extend(&mut self, now: Instant, delay: Duration) {
        let until = now + delay;
        self.until = Some(self.until.map_or(until, |before| before.max(until)));
    }

    /// Counts a failure and leaves the source alone for `first`, doubled with each failure
    /// before, but no longer than `max`; `jitter` is a jitter from 0 to 1 that is added.
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
