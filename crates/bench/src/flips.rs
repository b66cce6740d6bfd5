//! What callers feel of switches: one after the other under a steady load.

use std::fmt::Write as _;
use std::time::Duration;

use serde::Serialize;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use wagtailreel_standins::OriginModel;

use crate::error::{BrokenSnafu, Result};
use crate::fleet::{DataCentreSpec, Fleet, FleetBinaries, FleetSpec, UpstreamSpec};
use crate::load::{LoadReport, MaxTokens, Plan, Step, run_load};
use crate::metrics::sum_metric;

const SERVICE: &str = "wagtail-scribes";
const MODEL: &str = "epitaph";
/// Entries and engines of each data centre.
const ENTRIES: u32 = 3;
const ENGINES: usize = 5;
/// Length of the model and its chunks in bytes.
const LENGTH: usize = 1 << 20;
const CHUNK: usize = 64 << 10;
/// Time between two switches.
const PAUSE: Duration = Duration::from_millis(500);
/// Longest time that all switches may take.
const LONGEST: Duration = Duration::from_secs(600);
/// Metric of the waits at a switch.
const WAITS: &str = "wagtailreel_switch_wait_seconds";

/// What is to be measured.
#[derive(Clone, Copy, Debug)]
pub struct FlipPlan {
    /// Switches.
    pub flips: u32,
    /// Requests a second over all entries.
    pub rate: f64,
}

/// What callers felt.
#[derive(Clone, Debug, Serialize)]
pub struct FlipOutcome {
    /// Switches.
    pub flips: u32,
    /// Requests that were sent.
    pub requests: u64,
    /// Those that were not answered.
    pub not_answered: u64,
    /// Requests that waited because a data centre was closed.
    pub waited: f64,
    /// Bounds of the histogram in seconds, and how many waits were within each.
    pub waits: Vec<(f64, f64)>,
    /// Mean wait in seconds of those that waited.
    pub mean_s: f64,
}

/// Switches a fleet of two data centres to and fro under load.
///
/// # Errors
///
/// Returns an error if the fleet can't be started, a switch does not end, or an answer was wrong.
pub async fn run_flips(plan: FlipPlan, binaries: FleetBinaries) -> Result<FlipOutcome> {
    let fleet = Fleet::start(spec(), binaries).await?;
    let mut base = fleet.go_live(&document(&fleet, 0), 0).await?;
    let before = waits(&fleet).await?;
    let stop = CancellationToken::new();
    let load = tokio::spawn(run_load(load_plan(&fleet, plan.rate), stop.clone()));
    for flip in 1..=plan.flips {
        sleep(PAUSE).await;
        base = fleet.go_live(&document(&fleet, flip), base).await?;
    }
    sleep(PAUSE).await;
    let after = waits(&fleet).await?;
    stop.cancel();
    let report = match load.await {
        Ok(report) => report?,
        Err(error) => {
            let what = format!("the load tool failed: {error}");
            return BrokenSnafu { what }.fail();
        }
    };
    outcome(plan, &report, &before, &after)
}

/// Writes the outcome as text. Writing to a String does not fail.
pub fn to_text(outcome: &FlipOutcome) -> String {
    let mut text = format!(
        "{} switches, {} requests, {} not answered, {} waited, {:.2} ms on average\n",
        outcome.flips,
        outcome.requests,
        outcome.not_answered,
        outcome.waited,
        outcome.mean_s * 1e3
    );
    for (bound, count) in &outcome.waits {
        let share = 100.0 * count / outcome.waited.max(1.0);
        let _ = writeln!(text, "  within {:>8.1} ms: {share:.2}%", bound * 1e3);
    }
    text
}

fn spec() -> FleetSpec {
    let engine = UpstreamSpec::engine(SERVICE).with_engine(|it| {
        it.first_token = Duration::from_millis(20);
        it.between_tokens = Duration::from_millis(10);
    });
    let halls = [("quito-hall", "sierra"), ("guayaquil-hall", "costa")].map(|(name, region)| {
        DataCentreSpec::new(name, region)
            .with_entries(ENTRIES)
            .with_upstreams(ENGINES, engine.clone())
    });
    let models = ["a", "b"].map(|it| OriginModel::new(MODEL, it, LENGTH, CHUNK));
    let mut spec = FleetSpec::new(halls.to_vec()).with_models(models.to_vec());
    spec.log_level = "warn".to_owned();
    spec
}

fn document(fleet: &Fleet, flip: u32) -> wagtailreel_core::Document {
    let version = if flip.is_multiple_of(2) { "a" } else { "b" };
    fleet.spec().document(SERVICE, Some((MODEL, version)))
}

fn load_plan(fleet: &Fleet, rate: f64) -> Plan {
    let step = Step {
        duration: LONGEST,
        rate,
    };
    let max_tokens = MaxTokens {
        least: 10,
        most: 20,
    };
    Plan::steady(fleet, SERVICE, step, max_tokens)
}

/// Waits so far over all entries: per bound of the histogram, their number and their sum.
struct Waits {
    within: Vec<(f64, f64)>,
    count: f64,
    sum: f64,
}

async fn waits(fleet: &Fleet) -> Result<Waits> {
    let mut texts = String::new();
    for entry in fleet.entries() {
        texts.push_str(&fleet.metrics(&entry).await?);
    }
    let bucket = format!("{WAITS}_bucket");
    let mut bounds: Vec<f64> = texts
        .lines()
        .filter(|line| line.starts_with(&bucket))
        .filter_map(|line| line.split("le=\"").nth(1)?.split('"').next()?.parse().ok())
        .filter(|bound: &f64| bound.is_finite())
        .collect();
    bounds.sort_by(f64::total_cmp);
    bounds.dedup();
    let sum = |name: &str, labels: &[&str]| sum_metric(&texts, name, labels).unwrap_or_default();
    let within = bounds.into_iter().map(|bound| {
        let label = format!("le=\"{bound}\"");
        (bound, sum(&bucket, &[&label]))
    });
    Ok(Waits {
        within: within.collect(),
        count: sum(&format!("{WAITS}_count"), &[]),
        sum: sum(&format!("{WAITS}_sum"), &[]),
    })
}

fn outcome(
    plan: FlipPlan,
    report: &LoadReport,
    before: &Waits,
    after: &Waits,
) -> Result<FlipOutcome> {
    if !report.holds() {
        let what = report.to_text();
        return BrokenSnafu { what }.fail();
    }
    let waited = after.count - before.count;
    let earlier = |bound: f64| {
        let found = before.within.iter().find(|it| it.0 == bound);
        found.map_or(0.0, |it| it.1)
    };
    let waits = after
        .within
        .iter()
        .map(|(bound, count)| (*bound, count - earlier(*bound)));
    Ok(FlipOutcome {
        flips: plan.flips,
        requests: report.total.sent,
        not_answered: report.total.sent - report.total.ended("answered"),
        waited,
        waits: waits.collect(),
        mean_s: (after.sum - before.sum) / waited.max(1.0),
    })
}
