//! Metrics of an agent.

use prometheus::{IntCounterVec, IntGauge, Opts, Registry};

/// Metrics of an agent.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    /// Fetched chunks by source: `origin`, `near` (same data centre) or `far` (another one).
    pub(crate) chunks: IntCounterVec,
    /// Orders to load, by outcome.
    pub(crate) loads: IntCounterVec,
    /// Version of the weights that the engine holds; 0 if none.
    pub(crate) version: IntGauge,
    /// Requests running at the engine.
    pub(crate) running: IntGauge,
    /// Dropped log lines.
    pub(crate) lines_dropped: IntGauge,
}

impl Metrics {
    /// Creates the metrics and registers them.
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
