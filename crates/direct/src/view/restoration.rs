//! Metrics of a registry that came back from an older copy.

use prometheus::{IntCounterVec, IntGauge, Opts, Registry};
use wagtailreel_fleet::Topic;

/// Metrics of a registry that came back from an older copy.
#[derive(Clone, Debug)]
pub(crate) struct RestorationMetrics {
    /// Times that the registry was restored, by topic.
    restored: IntCounterVec,
    /// Settings of which newer versions are in force than the registry holds.
    kept: IntGauge,
}

impl RestorationMetrics {
    /// Creates the metrics and registers them.
    pub(crate) fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        let opts = Opts::new(
            "wagtailreel_registry_restored_total",
            "Times that the registry came back from an older copy",
        );
        let restored = IntCounterVec::new(opts, &["topic"])?;
        let kept = IntGauge::new(
            "wagtailreel_settings_kept",
            "Settings of which newer versions are in force than the registry holds",
        )?;
        registry.register(Box::new(restored.clone()))?;
        registry.register(Box::new(kept.clone()))?;
        Ok(Self { restored, kept })
    }

    pub(super) fn count(&self, topic: Topic) {
        let restored = &self.restored;
        restored.with_label_values(&[&topic.to_string()]).inc();
    }

    pub(super) fn set_kept(&self, count: usize) {
        self.kept.set(i64::try_from(count).unwrap_or(i64::MAX));
    }
}
