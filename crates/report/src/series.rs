//! One counter over time, with its resets taken out.

use std::time::SystemTime;

/// A counter that never falls: what the process's counter gained since its first scrape.
#[derive(Clone, Debug)]
pub(crate) struct Counter {
    last: f64,
    total: f64,
    points: Vec<(SystemTime, f64)>,
}

impl Counter {
    /// Starts with a value that was gained at an unknown time, which counts for nothing.
    pub(crate) fn from_baseline(at: SystemTime, value: f64) -> Self {
        Self {
            last: value,
            total: 0.0,
            points: vec![(at, 0.0)],
        }
    }

    /// Starts at 0 at `since`: the series was not there when its process was scraped then.
    pub(crate) fn from_zero(since: SystemTime) -> Self {
        Self::from_baseline(since, 0.0)
    }

    /// Adds a scraped value; says whether the process's counter was reset before it.
    pub(crate) fn add(&mut self, at: SystemTime, value: f64) -> bool {
        let reset = value < self.last;
        // After a reset the counter grew from 0; what it gained before the reset since the last
        // scrape is lost, which the caller reports as a gap.
        self.total += if reset { value } else { value - self.last };
        self.last = value;
        self.points.push((at, self.total));
        reset
    }

    /// Returns what the counter gained after `from` and up to `to`.
    pub(crate) fn increase(&self, from: SystemTime, to: SystemTime) -> f64 {
        self.total_at(to) - self.total_at(from)
    }

    fn total_at(&self, at: SystemTime) -> f64 {
        let after = self.points.partition_point(|point| point.0 <= at);
        match after.checked_sub(1) {
            Some(last) => self.points[last].1,
            None => 0.0,
        }
    }
}
