//! How much later than predicted first events come.

use std::time::Duration;

/// Share of the requests that begin within what was predicted and the correction.
const SHARE: f64 = 0.8;

/// How far one request moves the correction, in seconds. At 20 requests a second it follows a change
/// of 100 ms within two seconds.
const STEP: f64 = 0.01;

/// Largest correction, in seconds. What is further off says nothing of the next request.
const MOST: f64 = 1.0;

/// How much later than predicted first events come, by what was seen lately.
///
/// Load pattern: more is asked than can be served, and every engine is full. The mean wait for a slot
/// is within most objectives then, but half of those that waited began late, and a late answer is worth
/// little. A quantile of what was seen takes the place of a margin that fits one load only.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Correction {
    at_once: f64,
    waiting: f64,
}

impl Correction {
    /// Takes that a first event that was predicted for `expected` came after `seen`; `waits` says
    /// whether the request had to wait for a slot.
    pub fn learn(&mut self, waits: bool, expected: Duration, seen: Duration) {
        let over = seen.as_secs_f64() - expected.as_secs_f64();
        let quantile = if waits {
            &mut self.waiting
        } else {
            &mut self.at_once
        };
        let moved = if over > *quantile { SHARE } else { SHARE - 1.0 };
        *quantile = (*quantile + STEP * moved).clamp(0.0, MOST);
    }

    /// Returns within what time a first event that was predicted for `expected` most likely comes.
    pub fn apply(&self, waits: bool, expected: Duration) -> Duration {
        let quantile = if waits { self.waiting } else { self.at_once };
        expected + Duration::from_secs_f64(quantile)
    }
}
