//! Metrics of the agent, with the prefix `wagtailreel_agent_`.

use std::time::Duration;

use prometheus::core::Collector;
use prometheus::{
    Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
};
use wagtailreel_core::{EngineLoad, NotRunReason, Report, WeightsPhase};

/// Buckets of the agent's own delay before a request is sent to the upstream, in seconds.
const ADMIT_BUCKETS: &[f64] = &[
    0.000_01, 0.000_02, 0.000_05, 0.000_1, 0.000_2, 0.000_5, 0.001, 0.005, 0.02,
];

/// Buckets of the time to the first token, in seconds.
const FIRST_TOKEN_BUCKETS: &[f64] = &[0.01, 0.02, 0.05, 0.1, 0.2, 0.32, 0.5, 1.0, 2.0, 5.0];

/// Metric labels of the phases.
const PHASES: &[(WeightsPhase, &str)] = &[
    (WeightsPhase::Fetching, "fetching"),
    (WeightsPhase::Staged, "staged"),
    (WeightsPhase::Loading, "loading"),
    (WeightsPhase::Loaded, "loaded"),
    (WeightsPhase::Failed, "failed"),
];

/// The agent's metrics.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    requests: IntCounterVec,
    tokens: IntCounter,
    cut: IntCounter,
    in_flight: IntGauge,
    engine_load: IntGaugeVec,
    phase: IntGaugeVec,
    lease_ms: IntGauge,
    admit_delay: Histogram,
    first_token: Histogram,
}

impl Metrics {
    /// Creates the metrics and registers them with `registry`.
    pub(crate) fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let histogram = |name: &str, help: &str, buckets: &[f64]| {
            Histogram::with_opts(HistogramOpts::new(name, help).buckets(buckets.to_vec()))
        };
        let metrics = Self {
            requests: IntCounterVec::new(
                Opts::new(
                    "wagtailreel_agent_requests_total",
                    "Requests by outcome and, for those not run, reason",
                ),
                &["outcome", "reason"],
            )?,
            tokens: IntCounter::new("wagtailreel_agent_tokens_total", "Tokens passed on")?,
            cut: IntCounter::new(
                "wagtailreel_agent_streams_cut_total",
                "Streams of the engine that broke off",
            )?,
            in_flight: IntGauge::new("wagtailreel_agent_in_flight", "Requests that run")?,
            engine_load: IntGaugeVec::new(
                Opts::new(
                    "wagtailreel_agent_engine_load",
                    "Load as the engine last said",
                ),
                &["kind"],
            )?,
            phase: IntGaugeVec::new(
                Opts::new(
                    "wagtailreel_agent_epochs",
                    "Epochs of weights in each phase",
                ),
                &["phase"],
            )?,
            lease_ms: IntGauge::new(
                "wagtailreel_agent_lease_milliseconds",
                "Time that is left of the lease",
            )?,
            admit_delay: histogram(
                "wagtailreel_agent_admit_seconds",
                "Time from a request's body to its dispatch to the upstream",
                ADMIT_BUCKETS,
            )?,
            first_token: histogram(
                "wagtailreel_agent_first_token_seconds",
                "Time from dispatch to the first token",
                FIRST_TOKEN_BUCKETS,
            )?,
        };
        for collector in metrics.collectors() {
            registry.register(collector)?;
        }
        Ok(metrics)
    }

    /// Returns all metrics for registration, which boxes them.
    fn collectors(&self) -> Vec<Box<dyn Collector>> {
        vec![
            Box::new(self.requests.clone()),
            Box::new(self.tokens.clone()),
            Box::new(self.cut.clone()),
            Box::new(self.in_flight.clone()),
            Box::new(self.engine_load.clone()),
            Box::new(self.phase.clone()),
            Box::new(self.lease_ms.clone()),
            Box::new(self.admit_delay.clone()),
            Box::new(self.first_token.clone()),
        ]
    }

    /// Counts a request that was not run.
    pub(crate) fn count_not_run(&self, reason: NotRunReason) {
        self.count("not-run", &reason.to_string());
    }

    /// Counts a request whose outcome is unknown.
    pub(crate) fn count_unknown(&self, reason: &str) {
        self.count("unknown", reason);
    }

    /// Counts a request that was answered completely.
    pub(crate) fn count_answered(&self) {
        self.count("answered", "");
    }

    fn count(&self, outcome: &str, reason: &str) {
        self.requests.with_label_values(&[outcome, reason]).inc();
    }

    /// Counts tokens that were forwarded.
    pub(crate) fn count_tokens(&self, tokens: u64) {
        self.tokens.inc_by(tokens);
    }

    /// Counts a stream of the engine that broke off.
    pub(crate) fn count_cut(&self) {
        self.cut.inc();
    }

    /// Records the time from a request's body to its dispatch.
    pub(crate) fn observe_admit(&self, delay: Duration) {
        self.admit_delay.observe(delay.as_secs_f64());
    }

    /// Records the time from dispatch to the first token.
    pub(crate) fn observe_first_token(&self, delay: Duration) {
        self.first_token.observe(delay.as_secs_f64());
    }

    /// Sets the gauges that show the contents of a report.
    pub(crate) fn set_report(&self, report: &Report) {
        self.in_flight.set(i64::from(report.in_flight));
        if let Some(load) = report.load {
            self.set_load(load);
        }
        for (phase, label) in PHASES {
            let count = report
                .weights
                .values()
                .filter(|held| *held == phase)
                .count();
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            self.phase.with_label_values(&[label]).set(count);
        }
    }

    /// Sets the remaining time of the lease.
    pub(crate) fn set_lease(&self, left: Duration) {
        let left = i64::try_from(left.as_millis()).unwrap_or(i64::MAX);
        self.lease_ms.set(left);
    }

    fn set_load(&self, load: EngineLoad) {
        let kinds = [
            ("running", load.running),
            ("waiting", load.waiting),
            ("kv-permille", load.kv_permille),
        ];
        for (kind, value) in kinds {
            self.engine_load
                .with_label_values(&[kind])
                .set(i64::from(value));
        }
    }
}
