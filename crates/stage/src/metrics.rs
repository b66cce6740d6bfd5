//! Counters of an agent.

use prometheus::{IntCounterVec, IntGauge, Opts, Registry};

/// Counters of an agent.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    /// Chunks that were fetched, by where from: origin, near, far.
    pub(crate) chunks: IntCounterVec,
    /// Orders to load, by outcome.
    pub(crate) loads: IntCounterVec,
    /// Version of the weights that the engine holds; 0 for none.
    pub(crate) version: IntGauge,
    /// Requests that the engine works on.
    pub(crate) running: IntGauge,
    /// Log lines that were left out.
    pub(crate) lines_dropped: IntGauge,
}

impl Metrics {
    /// Makes the metrics and registers them.
    pub(crate) fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        let counters = |name: &str, help: &str, label: &str| {
            IntCounterVec::new(Opts::new(name, help), &[label])
        };
        let metrics = Self {
            chunks: counters(
                "wagtailreel_chunks_fetched_total",
                "Chunks by source",
                "from",
            )?,
            loads: counters(
                "wagtailreel_loads_total",
                "Orders to load by outcome",
                "outcome",
            )?,
            version: IntGauge::new("wagtailreel_engine_version", "Weights of the engine")?,
            running: IntGauge::new("wagtailreel_engine_running", "Requests at the engine")?,
            lines_dropped: IntGauge::new("wagtailreel_log_lines_dropped", "Lines left out")?,
        };
        registry.register(Box::new(metrics.chunks.clone()))?;
        registry.register(Box::new(metrics.loads.clone()))?;
        registry.register(Box::new(metrics.version.clone()))?;
        registry.register(Box::new(metrics.running.clone()))?;
        registry.register(Box::new(metrics.lines_dropped.clone()))?;
        Ok(metrics)
    }
}
