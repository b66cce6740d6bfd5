//! The account of calls to the registry.

use prometheus::{IntCounterVec, Opts, Registry as Prometheus};
use wagtailreel_fleet::Topic;

/// Why a process calls the registry itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub(crate) enum Cause {
    /// It comes first among its neighbours, or knows of none.
    #[display("first")]
    First,
    /// The neighbours that it asked know only old things, and one of them is reading: the call is left to
    /// it.
    #[display("neighbour-reads")]
    NeighbourReads,
    /// The neighbours that it asked know only old things.
    #[display("neighbour-old")]
    NeighbourOld,
    /// The neighbour that it asked did not answer as it should.
    #[display("neighbour-silent")]
    NeighbourSilent,
}

/// Calls of one topic that are under way, and how the last one ended.
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

    /// Says whether a read is under way at a process whose last one did not fail: over a link that is
    /// full it takes long, and reads by others would only make it longer. At a process that is cut off
    /// the last one has failed before what it knows is too old.
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
