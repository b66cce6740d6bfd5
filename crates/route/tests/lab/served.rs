//! Counts of the requests that were offered and served, by kind, data centre and time.

use std::collections::BTreeMap;
use std::ops::{AddAssign, Range};
use std::time::Duration;

/// Counts of requests, each counted once with its repeat.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Count {
    pub(crate) offered: f64,
    pub(crate) served: f64,
    pub(crate) in_time: f64,
}

impl Count {
    /// Returns the share that was served.
    pub(crate) fn served_share(&self) -> f64 {
        self.served / self.offered.max(1.0)
    }

    /// Returns the share that was served in time since the caller's first attempt.
    pub(crate) fn in_time_share(&self) -> f64 {
        self.in_time / self.offered.max(1.0)
    }
}

impl AddAssign for Count {
    fn add_assign(&mut self, other: Self) {
        self.offered += other.offered;
        self.served += other.served;
        self.in_time += other.in_time;
    }
}

/// The counts by kind, data centre and second of the first attempt.
#[derive(Clone, Debug, Default)]
pub(crate) struct Served {
    counts: BTreeMap<(usize, usize, u64), Count>,
}

impl Served {
    fn at(&mut self, kind: usize, centre: usize, sent: Duration) -> &mut Count {
        self.counts
            .entry((kind, centre, sent.as_secs()))
            .or_default()
    }

    pub(super) fn offered(&mut self, kind: usize, centre: usize, sent: Duration) {
        self.at(kind, centre, sent).offered += 1.0;
    }

    pub(super) fn served(&mut self, kind: usize, centre: usize, sent: Duration, is_in_time: bool) {
        let count = self.at(kind, centre, sent);
        count.served += 1.0;
        if is_in_time {
            count.in_time += 1.0;
        }
    }

    /// Adds the counts of another run.
    pub(crate) fn add(&mut self, other: &Self) {
        for (key, count) in &other.counts {
            *self.counts.entry(*key).or_default() += *count;
        }
    }

    fn sum<F>(&self, seconds: &Range<u64>, is_counted: F) -> Count
    where
        F: Fn(usize, usize) -> bool,
    {
        let mut sum = Count::default();
        for ((kind, centre, second), count) in &self.counts {
            if seconds.contains(second) && is_counted(*kind, *centre) {
                sum += *count;
            }
        }
        sum
    }

    /// Returns the counts of a kind whose first attempts were in `seconds`.
    pub(crate) fn kind(&self, kind: usize, seconds: &Range<u64>) -> Count {
        self.sum(seconds, |it, _| it == kind)
    }

    /// Returns the counts of a data centre.
    pub(crate) fn centre(&self, centre: usize, seconds: &Range<u64>) -> Count {
        self.sum(seconds, |_, it| it == centre)
    }

    /// Returns the counts of all requests.
    pub(crate) fn all(&self, seconds: &Range<u64>) -> Count {
        self.sum(seconds, |_, _| true)
    }
}
