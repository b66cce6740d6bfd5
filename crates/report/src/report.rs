//! The report on all services.

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime};

use serde::Serialize;
use serde_with::{DurationSecondsWithFrac, TimestampSecondsWithFrac, serde_as};
use wagtailreel_core::{CustomerId, Objectives, ServiceName};

use crate::indicator::{Burn, Indicator, IndicatorKind};
use crate::samples::{Gap, Samples};
use crate::{html, text};

/// Points of a plot over time.
const PLOT_POINTS: u32 = 60;

/// The two windows over which burn rates are computed.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Windows {
    /// The short one, which shows what goes on now.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    #[serde(rename = "short_s")]
    pub short: Duration,
    /// The long one, which shows whether it lasts.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    #[serde(rename = "long_s")]
    pub long: Duration,
}

impl Default for Windows {
    fn default() -> Self {
        Self {
            short: Duration::from_secs(5 * 60),
            long: Duration::from_secs(60 * 60),
        }
    }
}

/// One indicator over the windows and over all samples.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct IndicatorReport {
    /// What it measures.
    pub kind: IndicatorKind,
    /// Share of events that have to be good.
    pub objective: f64,
    /// Bound of time in seconds, for the indicators that have one.
    pub bound_s: Option<f64>,
    /// Whether the bound lies on a bucket of the histograms; if not, the figures are too high
    /// rather than too low.
    pub exact: bool,
    /// The short window.
    pub short: Burn,
    /// The long window.
    pub long: Burn,
    /// All samples: the period of the budget.
    pub whole: Burn,
    /// Share of the budget that is left after all samples; below 0 it is overdrawn. None without
    /// events.
    pub budget_left: Option<f64>,
    /// Burn rate of the short window over time, for the plot.
    #[serde_as(as = "Vec<(TimestampSecondsWithFrac<f64>, _)>")]
    pub over_time: Vec<(SystemTime, f64)>,
}

/// A bound that each change has to keep: there are too few changes for shares.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BoundReport {
    /// The bound in seconds.
    pub bound_s: f64,
    /// Changes that were seen.
    pub changes: f64,
    /// Changes that took longer.
    pub late: f64,
    /// The longest in seconds, as far as the metrics tell: the bucket's bound if they are
    /// histograms. None if no change was seen, or the longest is above the last bucket.
    pub longest_s: Option<f64>,
}

/// One service.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ServiceReport {
    /// Its indicators over all customers.
    pub indicators: Vec<IndicatorReport>,
    /// Time until an accepted document was in force.
    pub in_force: BoundReport,
    /// Time until new weights were live.
    pub time_to_live: BoundReport,
    /// Indicators of each customer.
    pub customers: BTreeMap<CustomerId, Vec<IndicatorReport>>,
}

/// Service-level burn of all services.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Time of the first scrape.
    #[serde_as(as = "Option<TimestampSecondsWithFrac<f64>>")]
    pub from: Option<SystemTime>,
    /// Time of the last scrape.
    #[serde_as(as = "Option<TimestampSecondsWithFrac<f64>>")]
    pub to: Option<SystemTime>,
    /// The windows.
    pub windows: Windows,
    /// Whether all samples together are shorter than the long window, so that its figures stand
    /// on less.
    pub long_window_cut: bool,
    /// What is missing in the data.
    pub gaps: Vec<Gap>,
    /// The services that have objectives.
    pub services: BTreeMap<ServiceName, ServiceReport>,
    /// Services that the metrics name but no objectives were given for.
    pub without_objectives: Vec<ServiceName>,
}

impl Report {
    /// Computes the report as of the last scrape.
    pub fn compute(
        samples: &Samples,
        objectives: &BTreeMap<ServiceName, Objectives>,
        windows: Windows,
    ) -> Self {
        let span = samples.span();
        let services = objectives.iter().map(|(name, objectives)| {
            let report = service_report(samples, name, objectives, windows, span);
            (name.clone(), report)
        });
        let services: BTreeMap<ServiceName, ServiceReport> = services.collect();
        let named = samples.label_values("service").into_iter();
        Self {
            from: span.map(|it| it.0),
            to: span.map(|it| it.1),
            windows,
            long_window_cut: span.is_none_or(|it| it.0 > before(it.1, windows.long)),
            gaps: samples.gaps(),
            without_objectives: named.filter(|it| !services.contains_key(it)).collect(),
            services,
        }
    }

    /// Writes the report as text.
    pub fn to_text(&self) -> String {
        text::write(self)
    }

    /// Writes the report as JSON.
    pub fn to_json(&self) -> serde_json::Value {
        // Maps with string keys and finite numbers always become JSON.
        serde_json::to_value(self).unwrap_or_default()
    }

    /// Writes the report as one HTML page that needs nothing else.
    pub fn to_html(&self) -> String {
        html::write(self)
    }
}

/// Returns the time `window` before `at`, or the earliest that there is.
fn before(at: SystemTime, window: Duration) -> SystemTime {
    at.checked_sub(window).unwrap_or(SystemTime::UNIX_EPOCH)
}

fn service_report(
    samples: &Samples,
    service: &str,
    objectives: &Objectives,
    windows: Windows,
    span: Option<(SystemTime, SystemTime)>,
) -> ServiceReport {
    let indicators = |customer: Option<&str>| -> Vec<IndicatorReport> {
        Indicator::all(service, customer, objectives)
            .iter()
            .map(|it| indicator_report(samples, it, windows, span))
            .collect()
    };
    let customers = samples
        .label_values("customer")
        .into_iter()
        .filter_map(|customer| {
            let reports = indicators(Some(&customer));
            let seen = reports.iter().any(|it| it.whole.events > 0.0);
            seen.then_some((customer, reports))
        });
    let bound = |name, bound: Duration| bound_report(samples, name, service, bound, span);
    ServiceReport {
        indicators: indicators(None),
        in_force: bound("wagtailreel_config_in_force_seconds", objectives.in_force),
        time_to_live: bound("wagtailreel_time_to_live_seconds", objectives.time_to_live),
        customers: customers.collect(),
    }
}

fn indicator_report(
    samples: &Samples,
    indicator: &Indicator,
    windows: Windows,
    span: Option<(SystemTime, SystemTime)>,
) -> IndicatorReport {
    let (from, to) = span.unwrap_or((SystemTime::UNIX_EPOCH, SystemTime::UNIX_EPOCH));
    let whole = indicator.burn(samples, from, to);
    IndicatorReport {
        kind: indicator.kind,
        objective: indicator.objective,
        bound_s: indicator.bound,
        exact: indicator.is_exact(samples),
        short: indicator.burn(samples, before(to, windows.short), to),
        long: indicator.burn(samples, before(to, windows.long), to),
        budget_left: (whole.events > 0.0).then_some(1.0 - whole.rate),
        over_time: over_time(samples, indicator, windows.short, (from, to)),
        whole,
    }
}

/// Computes the short window's burn rate at evenly spaced times; the first points stand on what
/// there is.
fn over_time(
    samples: &Samples,
    indicator: &Indicator,
    window: Duration,
    (from, to): (SystemTime, SystemTime),
) -> Vec<(SystemTime, f64)> {
    let step = to.duration_since(from).unwrap_or_default() / PLOT_POINTS;
    let times = (1..=PLOT_POINTS).map(|n| from + step * n);
    let points = times.map(|at| {
        let since = before(at, window.max(step));
        (at, indicator.burn(samples, since, at).rate)
    });
    points.collect()
}

/// Reads a histogram if the metric is one, else a gauge whose every new value is a change.
fn bound_report(
    samples: &Samples,
    name: &str,
    service: &str,
    bound: Duration,
    span: Option<(SystemTime, SystemTime)>,
) -> BoundReport {
    let (from, to) = span.unwrap_or((SystemTime::UNIX_EPOCH, SystemTime::UNIX_EPOCH));
    let bound = bound.as_secs_f64();
    let concerns =
        |labels: &BTreeMap<String, String>| labels.get("service").is_none_or(|it| it == service);
    let mut report = BoundReport {
        bound_s: bound,
        changes: 0.0,
        late: 0.0,
        longest_s: None,
    };
    // Cumulative counts by the bucket's bound in microseconds; `+Inf` is the highest.
    let mut buckets: BTreeMap<u64, f64> = BTreeMap::new();
    for (labels, counter) in samples.counters(&format!("{name}_bucket")) {
        let upper: Option<f64> = labels.get("le").and_then(|it| it.parse().ok());
        if let Some(upper) = upper.filter(|_| concerns(labels)) {
            // The conversion saturates, so that `+Inf` becomes the highest number.
            let micros = (upper * 1e6).round() as u64;
            *buckets.entry(micros).or_default() += counter.increase(from, to);
        }
    }
    if let Some((_, all)) = buckets.last_key_value() {
        let limit = (bound * 1e6).round() as u64;
        let within = buckets.range(..=limit).next_back().map_or(0.0, |it| *it.1);
        let longest = buckets.iter().find(|(_, count)| *count >= all);
        report.changes = *all;
        report.late = all - within;
        report.longest_s = longest
            .map(|(micros, _)| *micros)
            .filter(|micros| *all > 0.0 && *micros != u64::MAX)
            .map(|micros| micros as f64 / 1e6);
        return report;
    }
    for (labels, points) in samples.gauges(name) {
        if concerns(labels) {
            for value in changes(points) {
                report.changes += 1.0;
                report.late += f64::from(u8::from(value > bound));
                report.longest_s = Some(report.longest_s.map_or(value, |it| it.max(value)));
            }
        }
    }
    report
}

/// Returns each value that differs from the one before; the first scrape's is not a change, and 0
/// stands for none yet.
fn changes(points: &[(SystemTime, f64)]) -> impl Iterator<Item = f64> {
    let pairs = points.windows(2);
    let changed = pairs.filter(|pair| pair[0].1 != pair[1].1);
    changed.map(|pair| pair[1].1).filter(|value| *value > 0.0)
}
