//! Metrics of the entry.

use std::time::Duration;

use prometheus::{
    Histogram, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
};
use wagtailreel_core::{NotRunReason, Outcome};

/// Bucket bounds in seconds, from a millisecond to ten seconds. The usual objectives (0.066 between
/// tokens, 0.32 to the first token) are bounds, so that the burn report need not interpolate there.
const BUCKETS: &[f64] = &[
    0.001, 0.002, 0.004, 0.008, 0.016, 0.033, 0.066, 0.1, 0.16, 0.32, 0.5, 1.0, 2.0, 5.0, 10.0,
];

/// Bucket bounds in seconds of the time until new weights are live, which takes seconds to minutes.
/// The usual objective (300) is a bound.
const LIVE_BUCKETS: &[f64] = &[
    0.5, 1.0, 2.0, 5.0, 10.0, 20.0, 30.0, 60.0, 120.0, 180.0, 240.0, 300.0, 450.0, 600.0, 900.0,
];

/// Metrics of the request path, the log and the administration.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    pub(crate) requests: IntCounterVec,
    pub(crate) first_token: HistogramVec,
    pub(crate) between_tokens: HistogramVec,
    pub(crate) switch_wait: HistogramVec,
    pub(crate) admission_wait: HistogramVec,
    pub(crate) attempts: IntCounterVec,
    pub(crate) resumes: IntCounterVec,
    pub(crate) callers_gone: IntCounterVec,
    pub(crate) in_flight: IntGaugeVec,
    pub(crate) waiting: IntGaugeVec,
    pub(crate) claims: IntCounterVec,
    pub(crate) claim_wait: Histogram,
    pub(crate) config_offset: IntGauge,
    pub(crate) config_reading: IntGauge,
    pub(crate) config_stopped: IntGauge,
    pub(crate) in_force_lag: HistogramVec,
    pub(crate) time_to_live: HistogramVec,
    pub(crate) log_errors: IntCounterVec,
}

/// Histograms of one customer's streams of one service, looked up once per stream.
#[derive(Clone, Debug)]
pub(crate) struct StreamTimes {
    pub(crate) first_token: Histogram,
    pub(crate) between_tokens: Histogram,
}

impl Metrics {
    /// Returns the histograms for the times of a stream.
    pub(crate) fn stream_times(&self, service: &str, customer: &str) -> StreamTimes {
        let labels = [service, customer];
        StreamTimes {
            first_token: self.first_token.with_label_values(&labels),
            between_tokens: self.between_tokens.with_label_values(&labels),
        }
    }

    /// Creates and registers the metrics.
    ///
    /// # Errors
    ///
    /// Returns the error of `prometheus` if a name is already registered.
    pub(crate) fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        Ok(Self {
            requests: counters(
                registry,
                "wagtailreel_requests_total",
                "Requests by outcome.",
                &["service", "customer", "outcome", "reason"],
            )?,
            first_token: histograms(
                registry,
                "wagtailreel_first_token_seconds",
                "Time from a request's arrival to its first token.",
                BUCKETS,
                &["service", "customer"],
            )?,
            between_tokens: histograms(
                registry,
                "wagtailreel_between_tokens_seconds",
                "Time between two tokens of a stream.",
                BUCKETS,
                &["service", "customer"],
            )?,
            switch_wait: histograms(
                registry,
                "wagtailreel_switch_wait_seconds",
                "Time that requests waited because every upstream was closed for a switch.",
                BUCKETS,
                &["service"],
            )?,
            admission_wait: histograms(
                registry,
                "wagtailreel_admission_wait_seconds",
                "Time that admitted requests waited for room.",
                BUCKETS,
                &["service"],
            )?,
            attempts: counters(
                registry,
                "wagtailreel_attempts_total",
                "Attempts by how they ended.",
                &["service", "ended"],
            )?,
            resumes: counters(
                registry,
                "wagtailreel_resumes_total",
                "Streams that went on at a replica.",
                &["service"],
            )?,
            callers_gone: counters(
                registry,
                "wagtailreel_callers_gone_total",
                "Requests whose callers went away before the answer was whole.",
                &["service"],
            )?,
            in_flight: gauges(
                registry,
                "wagtailreel_requests_in_flight",
                "Admitted requests that are not over.",
            )?,
            waiting: gauges(
                registry,
                "wagtailreel_requests_waiting",
                "Requests that wait for room.",
            )?,
            claims: counters(
                registry,
                "wagtailreel_claims_total",
                "Claims on orders by result.",
                &["result"],
            )?,
            claim_wait: histogram(
                registry,
                "wagtailreel_claim_seconds",
                "Time from a claim to its reading back.",
            )?,
            config_offset: gauge(
                registry,
                "wagtailreel_config_offset",
                "Offset of the last configuration record applied.",
            )?,
            config_reading: gauge(
                registry,
                "wagtailreel_config_reading",
                "1 while the configuration's stream can be read.",
            )?,
            config_stopped: gauge(
                registry,
                "wagtailreel_config_stopped",
                "1 if the fold of the configuration has stopped.",
            )?,
            in_force_lag: histograms(
                registry,
                "wagtailreel_config_in_force_seconds",
                "Time from a document's record to its being in force at this entry.",
                BUCKETS,
                &["service"],
            )?,
            time_to_live: histograms(
                registry,
                "wagtailreel_time_to_live_seconds",
                "Time from a new epoch's being in force at this entry to its being open at the \
                 wanted VMs of every data centre.",
                LIVE_BUCKETS,
                &["service"],
            )?,
            log_errors: counters(
                registry,
                "wagtailreel_log_errors_total",
                "Failed reads and appends of the log.",
                &["stream", "operation"],
            )?,
        })
    }

    /// Counts the final answer to a request.
    pub(crate) fn outcome(
        &self,
        service: &str,
        customer: &str,
        outcome: Outcome,
        reason: Option<NotRunReason>,
    ) {
        let outcome = outcome.to_string();
        let reason = reason.map(|reason| reason.to_string()).unwrap_or_default();
        self.requests
            .with_label_values(&[service, customer, &outcome, &reason])
            .inc();
    }

    /// Observes how long a request waited for a switch.
    pub(crate) fn switch_waited(&self, service: &str, wait: Duration) {
        self.switch_wait
            .with_label_values(&[service])
            .observe(wait.as_secs_f64());
    }
}

fn counters(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<IntCounterVec, prometheus::Error> {
    let metric = IntCounterVec::new(Opts::new(name, help), labels)?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn histograms(
    registry: &Registry,
    name: &str,
    help: &str,
    buckets: &[f64],
    labels: &[&str],
) -> Result<HistogramVec, prometheus::Error> {
    let opts = HistogramOpts::new(name, help).buckets(buckets.to_vec());
    let metric = HistogramVec::new(opts, labels)?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn histogram(registry: &Registry, name: &str, help: &str) -> Result<Histogram, prometheus::Error> {
    let opts = HistogramOpts::new(name, help).buckets(BUCKETS.to_vec());
    let metric = Histogram::with_opts(opts)?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn gauges(registry: &Registry, name: &str, help: &str) -> Result<IntGaugeVec, prometheus::Error> {
    let metric = IntGaugeVec::new(Opts::new(name, help), &["service"])?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn gauge(registry: &Registry, name: &str, help: &str) -> Result<IntGauge, prometheus::Error> {
    let metric = IntGauge::new(name, help)?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}
