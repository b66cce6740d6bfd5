//! How long fetches usually take, and how long a source is left alone.

use std::time::{Duration, Instant};

/// Weight of what was known against a new duration.
const MEMORY: u32 = 3;

/// Most doublings of a pause.
const DOUBLINGS: u32 = 5;

/// The usual duration of fetches.
#[derive(Debug)]
pub(crate) struct Pace {
    guess: Duration,
    /// None until a fetch has succeeded.
    usual: Option<Duration>,
    /// Fetches given up since one succeeded.
    given_up: u32,
}

impl Pace {
    /// Makes a pace from a first guess.
    pub(crate) const fn new(guess: Duration) -> Self {
        Self {
            guess,
            usual: None,
            given_up: 0,
        }
    }

    /// Returns the usual duration; none until a fetch has succeeded.
    pub(crate) const fn usual(&self) -> Option<Duration> {
        self.usual
    }

    /// Returns the duration from which limits are made.
    ///
    /// It doubles with each fetch that is given up, so that a guess far too short can't give up
    /// every fetch for ever.
    pub(crate) fn timeout_base(&self) -> Duration {
        let usual = self.usual.unwrap_or(self.guess);
        usual.saturating_mul(1 << self.given_up.min(DOUBLINGS))
    }

    /// Takes in the duration of a fetch that succeeded.
    pub(crate) fn observe(&mut self, taken: Duration) {
        let usual = self.usual.unwrap_or(taken);
        self.usual = Some((usual * MEMORY + taken) / (MEMORY + 1));
        self.given_up = 0;
    }

    /// Takes in that a fetch was given up.
    pub(crate) const fn give_up(&mut self) {
        self.given_up = self.given_up.saturating_add(1);
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
    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }

    /// Leaves the source alone until `now + length`, without counting a failure.
    pub(crate) fn extend(&mut self, now: Instant, length: Duration) {
        let until = now + length;
        self.until = Some(self.until.map_or(until, |before| before.max(until)));
    }

    /// Counts a failure and leaves the source alone for `first`, doubled with each failure
    /// before, but no longer than `most`; `jitter` is a jitter from 0 to 1 that is added.
    pub(crate) fn fail(&mut self, now: Instant, first: Duration, most: Duration, jitter: f64) {
        let length = first.saturating_mul(1 << self.failures.min(DOUBLINGS));
        self.failures = self.failures.saturating_add(1);
        self.extend(now, length.min(most).mul_f64(1.0 + jitter));
    }
}
