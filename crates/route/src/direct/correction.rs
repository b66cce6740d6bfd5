//! Correction of predictions by the delays that were observed.

use std::time::{Duration, Instant};

/// Share of the requests that begin within the prediction plus the correction.
const TARGET_QUANTILE: f64 = 0.8;

/// Change of the correction per second, in seconds, whatever the number of requests: it follows a change of
/// 100 ms within two seconds. With a fixed step per request, an entry that sees seven requests a second, as
/// one of 99 entries does, would follow at a third of that speed.
const CHANGE_PER_SECOND: f64 = 0.2;

/// Smallest step of one request, in seconds. Many requests at the same moment add up their steps.
const MIN_STEP: f64 = 0.01;

/// Largest step of one request, in seconds. A single request says little.
const MAX_STEP: f64 = 0.05;

/// Half-life of the correction once no requests are observed. Without it, a correction so high that no
/// request may wait any more would never be learned anew, and requests would be refused long after an
/// overload.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// Time without observations after which the decay begins. Under load an entry observes several requests a
/// second, and decay in between would keep the correction below the observed delays.
const DECAY_DELAY: Duration = Duration::from_secs(1);

/// Largest correction, in seconds. Larger deviations say nothing about the next request.
const MAX_CORRECTION: f64 = 1.0;

/// Correction of predicted first events by the delays that were observed recently.
///
/// Load pattern: under overload every engine is full. The mean wait for a slot is within most objectives
/// then, but half of the requests that waited began late, and a late answer is worth little. A quantile of
/// the observed delays is used instead of a margin, which would fit one load only.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Correction {
    at_once: Quantile,
    waiting: Quantile,
}

/// A quantile of the observed delay over the prediction, in seconds, and the time of the last observation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Quantile {
    over: f64,
    at: Option<Instant>,
}

impl Quantile {
    /// Returns the quantile after its decay until `now`.
    fn at(&self, now: Instant) -> f64 {
        let Some(at) = self.at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(at);
        let age = age.saturating_sub(DECAY_DELAY);
        self.over * 0.5f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }

    fn learn(&mut self, over: f64, now: Instant) {
        let known = self.at(now);
        let since = self
            .at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let step = (CHANGE_PER_SECOND * since.as_secs_f64()).clamp(MIN_STEP, MAX_STEP);
        let moved = if over > known {
            TARGET_QUANTILE
        } else {
            TARGET_QUANTILE - 1.0
        };
        self.over = (known + step * moved).clamp(0.0, MAX_CORRECTION);
        self.at = Some(now);
    }
}

impl Correction {
    /// Records that a first event that was predicted after `expected` came after `seen`. `is_queued` tells
    /// whether the request had to wait for a slot.
    pub fn learn(&mut self, is_queued: bool, expected: Duration, seen: Duration, now: Instant) {
        let over = seen.as_secs_f64() - expected.as_secs_f64();
        if is_queued {
            self.waiting.learn(over, now);
        } else {
            self.at_once.learn(over, now);
        }
    }

    /// Returns the time within which a first event predicted after `expected` is likely to come.
    pub fn apply(&self, is_queued: bool, expected: Duration, now: Instant) -> Duration {
        let quantile = if is_queued {
            self.waiting
        } else {
            self.at_once
        };
        expected + Duration::from_secs_f64(quantile.at(now))
    }
}
