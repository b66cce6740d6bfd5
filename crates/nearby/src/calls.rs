//! State and metrics of calls to the registry.

use prometheus::{IntCounterVec, Opts, Registry as Prometheus};
use wagtailreel_fleet::Topic;

/// Why a process calls the registry itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub(crate) enum Cause {
    /// The process ranks first among its neighbours, or knows none.
    #[display("first")]
    First,
    /// The queried neighbours have only old records, and one of them has a read in progress: the call is
    /// left to that neighbour.
    #[display("neighbour-reads")]
    NeighbourReads,
    /// The queried neighbours have only old records.
    #[display("neighbour-old")]
    NeighbourOld,
    /// The queried neighbour gave no valid answer.
    #[display("neighbour-silent")]
    NeighbourSilent,
}

/// Number of calls in progress for one topic, and how the last one ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct CallState {
    in_flight: u32,
    has_failed: bool,
}

impl CallState {
    pub(crate) const fn started(&mut self) {
        self.in_flight = self.in_flight.saturating_add(1);
    }

    pub(crate) const fn ended(&mut self, has_failed: bool) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.has_failed = has_failed;
    }

    /// Returns whether a read is in progress that is expected to succeed: the last one did not fail. Over a
    /// saturated link a read takes long, and reads by others would only make it longer. At a process that is
    /// cut off, a read fails before its records become too old.
    pub(crate) const fn is_reading(self) -> bool {
        self.in_flight > 0 && !self.has_failed
    }
}

/// Calls to the registry by topic, cause and outcome.
#[derive(Clone, Debug)]
pub struct CallCounters(IntCounterVec);

impl CallCounters {
    /// Makes the counters and registers them.
    ///
    /// # Errors
    ///
    /// Returns the library's error if the names are taken.
    pub fn register(prometheus: &Prometheus) -> Result<Self, prometheus::Error> {
        let opts = Opts::new(
            "wagtailreel_registry_calls_total",
            "Calls to the registry by topic, cause and outcome",
        );
        let calls = IntCounterVec::new(opts, &["topic", "cause", "outcome"])?;
        prometheus.register(Box::new(calls.clone()))?;
        Ok(Self(calls))
    }

    pub(crate) fn count(&self, topic: Topic, cause: Cause, outcome: &str) {
        let labels = [&topic.to_string(), &cause.to_string(), outcome];
        self.0.with_label_values(&labels).inc();
    }
}
