//! How much transfers of weights slow down the agent's own answers.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Weight of a new sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.3;

/// Slowdown up to which there is no pressure: noise.
const MAX_HARMLESS_SLOWDOWN: f64 = 1.15;

/// Slowdown from which on the pressure is full.
const FULL_PRESSURE_SLOWDOWN: f64 = 2.0;

/// Gaps that make a sample; fewer say nothing.
const MIN_SAMPLE_GAPS: u64 = 10;

/// Sums up the gaps between tokens, over all streams.
#[derive(Debug, Default)]
pub(crate) struct TokenGaps {
    micros: AtomicU64,
    count: AtomicU64,
}

impl TokenGaps {
    /// Adds the gap before one token.
    pub(crate) fn add(&self, gap: Duration) {
        let micros = u64::try_from(gap.as_micros()).unwrap_or(u64::MAX);
        // The two sums may be read a gap apart, which a mean over many does not show.
        self.micros.fetch_add(micros, Ordering::Relaxed);
        self.count.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the mean gap since the last call, if there were enough.
    pub(crate) fn take_mean(&self) -> Option<Duration> {
        if self.count.load(Ordering::Relaxed) < MIN_SAMPLE_GAPS {
            return None;
        }
        let count = self.count.swap(0, Ordering::Relaxed);
        let micros = self.micros.swap(0, Ordering::Relaxed);
        micros.checked_div(count).map(Duration::from_micros)
    }
}

/// Compares the gaps during transfers with those before.
///
/// Without I/O: the caller gives the samples in order.
#[derive(Clone, Debug)]
pub struct PressureGauge {
    objective: Duration,
    /// Mean gap in seconds without transfers.
    baseline: Option<f64>,
    /// Mean gap in seconds of late.
    recent: Option<f64>,
}

impl PressureGauge {
    /// Makes a gauge; without a sample from before a transfer it compares with `objective`.
    pub const fn new(objective: Duration) -> Self {
        Self {
            objective,
            baseline: None,
            recent: None,
        }
    }

    /// Sets the gap that is compared with as long as there is no sample without a transfer.
    pub fn set_objective(&mut self, objective: Duration) {
        self.objective = objective;
    }

    /// Takes in the mean gap of a period, none if there were few tokens, and returns the pressure
    /// from 0 (no slowdown) to 1 (answers take twice as long or worse).
    pub fn sample(&mut self, gap: Option<Duration>, is_transferring: bool) -> f64 {
        let Some(gap) = gap.map(|gap| gap.as_secs_f64()) else {
            // Nothing runs, so that nothing is slowed down.
            self.recent = None;
            return 0.0;
        };
        if !is_transferring {
            self.baseline = Some(blend(self.baseline, gap));
            self.recent = None;
            return 0.0;
        }
        let recent = blend(self.recent, gap);
        self.recent = Some(recent);
        let baseline = self.baseline.unwrap_or(self.objective.as_secs_f64());
        if baseline <= 0.0 {
            return 0.0;
        }
        let slowdown = recent / baseline;
        ((slowdown - MAX_HARMLESS_SLOWDOWN) / (FULL_PRESSURE_SLOWDOWN - MAX_HARMLESS_SLOWDOWN))
            .clamp(0.0, 1.0)
    }
}

/// Returns the moving average after one more sample.
fn blend(mean: Option<f64>, sample: f64) -> f64 {
    mean.map_or(sample, |mean| mean + SAMPLE_WEIGHT * (sample - mean))
}
