//! How much later than predicted first events come.

use std::time::{Duration, Instant};

/// Share of the requests that begin within what was predicted and the correction.
const SHARE: f64 = 0.8;

/// How far requests move the correction in a second, in seconds, however many they are: it follows a
/// change of 100 ms within two seconds. A step for each request would leave an entry that sees seven a
/// second, as with 99 entries, a third of that pace.
const RATE: f64 = 0.2;

/// Least step of one request, in seconds, which many at the same moment make together.
const LEAST_STEP: f64 = 0.01;

/// Largest step of one request, in seconds. A single one says little.
const MOST_STEP: f64 = 0.05;

/// Time after which half of what was learned is forgotten, once nothing new is learned. Without it a
/// correction that lets nobody wait any more would never be learned anew, and callers be refused long
/// after an overload.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// Time without anything new after which forgetting begins. Under load an entry learns several times
/// a second, and forgetting in between would keep the correction below what is seen.
const REMEMBERED: Duration = Duration::from_secs(1);

/// Largest correction, in seconds. What is further off says nothing of the next request.
const MOST: f64 = 1.0;

/// How much later than predicted first events come, by what was seen lately.
///
/// Load pattern: more is asked than can be served, and every engine is full. The mean wait for a slot
/// is within most objectives then, but half of those that waited began late, and a late answer is worth
/// little. A quantile of what was seen takes the place of a margin that fits one load only.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Correction {
    at_once: Quantile,
    waiting: Quantile,
}

/// A quantile of what was seen over what was predicted, in seconds, and when it was learned last.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Quantile {
    over: f64,
    at: Option<Instant>,
}

impl Quantile {
    /// Returns what is left of it at `now`.
    fn at(&self, now: Instant) -> f64 {
        let Some(at) = self.at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(at);
        let age = age.saturating_sub(REMEMBERED);
        self.over * 0.5f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }

    fn learn(&mut self, over: f64, now: Instant) {
        let known = self.at(now);
        let since = self
            .at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let step = (RATE * since.as_secs_f64()).clamp(LEAST_STEP, MOST_STEP);
        let moved = if over > known { SHARE } else { SHARE - 1.0 };
        self.over = (known + step * moved).clamp(0.0, MOST);
        self.at = Some(now);
    }
}

impl Correction {
    /// Takes that a first event that was predicted for `expected` came after `seen`; `is_queued` says
    /// whether the request had to wait for a slot.
    pub fn learn(&mut self, is_queued: bool, expected: Duration, seen: Duration, now: Instant) {
        let over = seen.as_secs_f64() - expected.as_secs_f64();
        if is_queued {
            self.waiting.learn(over, now);
        } else {
            self.at_once.learn(over, now);
        }
    }

    /// Returns within what time a first event that was predicted for `expected` most likely comes.
    pub fn apply(&self, is_queued: bool, expected: Duration, now: Instant) -> Duration {
        let quantile = if is_queued {
            self.waiting
        } else {
            self.at_once
        };
        expected + Duration::from_secs_f64(quantile.at(now))
    }
}
