//! The account of calls to the registry.

use prometheus::{IntCounterVec, Opts, Registry as Prometheus};
use wagtailreel_fleet::Topic;

/// Why a process calls the registry itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub(crate) enum Cause {
    /// It comes first among its neighbours, or knows of none.
    #[display("first")]
    First,
    /// The neighbours that it asked know only old things.
    #[display("neighbour-old")]
    NeighbourOld,
    /// The neighbour that it asked did not answer as it should.
    #[display("neighbour-silent")]
    NeighbourSilent,
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
