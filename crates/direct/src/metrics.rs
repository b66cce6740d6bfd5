//! Metrics of an entry.

use prometheus::{
    GaugeVec, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry,
};

/// Upper bounds of the histogram buckets in seconds, from an answer of the same data centre to the longest
/// deadline.
const BUCKETS: &[f64] = &[
    0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 4.0, 8.0,
];

/// Metrics of an entry.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    /// Requests by how they ended.
    pub(crate) requests: IntCounterVec,
    /// Requests that the entry answered itself, by reason.
    pub(crate) refusals: IntCounterVec,
    /// Attempts that brought no answer, by how they ended.
    pub(crate) attempts: IntCounterVec,
    /// Stalls of streams, by outcome.
    pub(crate) stalls: IntCounterVec,
    /// Admission level by service, where admission control by rank is active.
    pub(crate) admission_level: GaugeVec,
    /// Requests that were shed by the admission level, by rank.
    pub(crate) shed: IntCounterVec,
    /// Requests for permits of the warm-up limit, by result.
    pub(crate) warmup_permits: IntCounterVec,
    /// Time to the first byte of an answer.
    pub(crate) first_byte: Histogram,
    /// Time to the last byte of an answer.
    pub(crate) duration: Histogram,
    /// Requests that are open.
    pub(crate) open: IntGauge,
    /// Age of the registry state that the entry works with, in milliseconds, by topic.
    pub(crate) state_age: IntGaugeVec,
    /// Tokens of prompts that upstreams were assumed to hold.
    pub(crate) prompt_tokens_held: IntCounter,
    /// Evacuated data centres, with the value 1.
    pub(crate) evacuated: IntGaugeVec,
    /// Bytes that are held for callers.
    pub(crate) held_bytes: IntGauge,
    /// Log lines that were dropped.
    pub(crate) lines_dropped: IntGauge,
}

impl Metrics {
    /// Creates the metrics and registers them.
    pub(crate) fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        let counters = |name: &str, help: &str, label: &str| {
            IntCounterVec::new(Opts::new(name, help), &[label])
        };
        let times = |name: &str, help: &str| {
            Histogram::with_opts(HistogramOpts::new(name, help).buckets(BUCKETS.to_vec()))
        };
        let metrics = Self {
            requests: counters("wagtailreel_requests_total", "Requests by end", "end")?,
            refusals: counters("wagtailreel_refusals_total", "Own answers", "reason")?,
            attempts: counters(
                "wagtailreel_attempts_failed_total",
                "Failed attempts",
                "end",
            )?,
            stalls: counters("wagtailreel_stalls_total", "Stalls of streams", "outcome")?,
            admission_level: GaugeVec::new(
                Opts::new(
                    "wagtailreel_admission_level",
                    "Share of the offered engine time that is admitted",
                ),
                &["service"],
            )?,
            shed: counters("wagtailreel_shed_total", "Shed requests", "rank")?,
            warmup_permits: counters(
                "wagtailreel_warmup_permits_total",
                "Permits for upstreams that may be cold",
                "result",
            )?,
            first_byte: times("wagtailreel_first_byte_seconds", "Time to the first byte")?,
            duration: times("wagtailreel_request_seconds", "Time to the last byte")?,
            open: IntGauge::new("wagtailreel_requests_open", "Requests under way")?,
            state_age: IntGaugeVec::new(
                Opts::new("wagtailreel_belief_age_ms", "Age of what is believed"),
                &["topic"],
            )?,
            prompt_tokens_held: IntCounter::new(
                "wagtailreel_prompt_tokens_held_total",
                "Prompt tokens that engines were assumed to hold",
            )?,
            evacuated: IntGaugeVec::new(
                Opts::new("wagtailreel_evacuated", "Evacuated data centres"),
                &["data_centre"],
            )?,
            held_bytes: IntGauge::new("wagtailreel_held_bytes", "Bytes held for callers")?,
            lines_dropped: IntGauge::new("wagtailreel_log_lines_dropped", "Lines left out")?,
        };
        registry.register(Box::new(metrics.requests.clone()))?;
        registry.register(Box::new(metrics.refusals.clone()))?;
        registry.register(Box::new(metrics.attempts.clone()))?;
        registry.register(Box::new(metrics.stalls.clone()))?;
        registry.register(Box::new(metrics.admission_level.clone()))?;
        registry.register(Box::new(metrics.shed.clone()))?;
        registry.register(Box::new(metrics.warmup_permits.clone()))?;
        registry.register(Box::new(metrics.first_byte.clone()))?;
        registry.register(Box::new(metrics.duration.clone()))?;
        registry.register(Box::new(metrics.open.clone()))?;
        registry.register(Box::new(metrics.state_age.clone()))?;
        registry.register(Box::new(metrics.prompt_tokens_held.clone()))?;
        registry.register(Box::new(metrics.evacuated.clone()))?;
        registry.register(Box::new(metrics.held_bytes.clone()))?;
        registry.register(Box::new(metrics.lines_dropped.clone()))?;
        Ok(metrics)
    }
}
