//! How much transfers of weights slow down the agent's own answers.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Weight of a new sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.3;

/// Slowdown up to which the pressure is 0, because smaller slowdowns are noise.
const MAX_HARMLESS_SLOWDOWN: f64 = 1.15;

/// Slowdown from which the pressure is 1.
const FULL_PRESSURE_SLOWDOWN: f64 = 2.0;

/// Minimum number of gaps in a sample; the mean of fewer is not meaningful.
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
        // A reader may see the two sums one gap apart, which has no visible effect on the mean.
        self.micros.fetch_add(micros, Ordering::Relaxed);
        self.count.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the mean gap since the last call, or `None` if there were too few gaps.
    pub(crate) fn take_mean(&self) -> Option<Duration> {
        if self.count.load(Ordering::Relaxed) < MIN_SAMPLE_GAPS {
            return None;
        }
        let count = self.count.swap(0, Ordering::Relaxed);
        let micros = self.micros.swap(0, Ordering::Relaxed);
        micros.checked_div(count).map(Duration::from_micros)
    }
}

/// Compares the gaps between tokens during transfers with those before.
///
/// Does no I/O: the caller passes the samples in order.
#[derive(Clone, Debug)]
pub struct PressureGauge {
    objective: Duration,
    /// Moving average of the gap in seconds without transfers.
    baseline: Option<f64>,
    /// Moving average of the gap in seconds during the current transfer.
    recent: Option<f64>,
}

impl PressureGauge {
    /// Creates a gauge that uses `objective` as the baseline until a sample without transfers comes.
    pub const fn new(objective: Duration) -> Self {
        Self {
            objective,
            baseline: None,
            recent: None,
        }
    }

    /// Sets the baseline to use until a sample without transfers comes.
    pub fn set_objective(&mut self, objective: Duration) {
        self.objective = objective;
    }

    /// Adds the mean gap of a period, `None` if there were too few tokens, and returns the pressure
    /// from 0 (no slowdown) to 1 (answers take at least twice as long).
    pub fn sample(&mut self, gap: Option<Duration>, is_transferring: bool) -> f64 {
        let Some(gap) = gap.map(|gap| gap.as_secs_f64()) else {
            // Too few answers run to be slowed down.
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
