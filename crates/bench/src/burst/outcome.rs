//! What a burst showed, as a table and JSON.

use std::fmt::Write as _;
use std::time::Duration;

use serde::Serialize;

use crate::load::LoadReport;

/// First-token latency of the live requests in one span of the run.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Latency {
    /// Requests.
    pub count: usize,
    /// Half are below it.
    pub p50_ms: f64,
    /// 95 in 100 are below it.
    pub p95_ms: f64,
}

impl Latency {
    /// Takes the requests that were due after `from` and before `to`, from the start of the load.
    pub fn between(report: &LoadReport, from: Duration, to: Duration) -> Self {
        let all = report.first_tokens.iter();
        let inside = all.filter(|(at, _)| (from..to).contains(at));
        let mut times: Vec<Duration> = inside.map(|(_, time)| *time).collect();
        times.sort();
        let at = |per_mille: usize| {
            let index = (times.len() * per_mille / 1000).min(times.len().saturating_sub(1));
            times.get(index).map_or(0.0, |it| it.as_secs_f64() * 1000.0)
        };
        Self {
            count: times.len(),
            p50_ms: at(500),
            p95_ms: at(950),
        }
    }
}

/// What one burst showed.
#[derive(Clone, Debug, Serialize)]
pub struct BurstOutcome {
    /// Fleet.
    pub house: String,
    /// Policy.
    pub policy: String,
    /// Fault.
    pub fault: String,
    /// Engines.
    pub engines: usize,
    /// Lower bound on the time to live in seconds.
    pub bound_s: f64,
    /// Time from the submission until the required replicas held the weights, in seconds.
    pub loaded_s: f64,
    /// Time until every entry answered from them, in seconds.
    pub live_s: f64,
    /// Copies drawn from the origin.
    pub origin_copies: f64,
    /// Copies that the busiest VM gave; none if no process tells.
    pub busiest_out_copies: Option<f64>,
    /// Copies that a VM gave on average.
    pub mean_out_copies: Option<f64>,
    /// Live requests before the burst.
    pub before: Latency,
    /// Live requests while chunks were on their way.
    pub during: Latency,
    /// Live requests in all.
    pub requests: u64,
    /// Live requests that were not answered.
    pub not_answered: u64,
    /// Live requests that broke a rule: an answer not whole, not its own, or no outcome.
    pub problems: u64,
    /// The first of them in words.
    pub first_problem: Option<String>,
    /// Whether the fault kills agents, so that requests at them may end as unknown.
    pub may_lose: bool,
}

impl BurstOutcome {
    /// Returns the time until the replicas held the weights, divided by the bound.
    pub fn ratio(&self) -> f64 {
        self.loaded_s / self.bound_s
    }

    /// Returns by which share the 95th percentile of the first token grew during the burst.
    pub fn slower(&self) -> f64 {
        if self.before.p95_ms == 0.0 {
            return 0.0;
        }
        self.during.p95_ms / self.before.p95_ms - 1.0
    }

    /// Says whether no rule was broken and nothing was lost that must not be.
    pub fn holds(&self) -> bool {
        self.problems == 0 && (self.may_lose || self.not_answered == 0)
    }
}

/// Writes outcomes as a Markdown table. Writing to a String does not fail.
pub fn to_table(outcomes: &[BurstOutcome]) -> String {
    let mut table = String::from(
        "| fleet | engines | policy | fault | bound s | loaded s | live s | time / bound | \
         origin copies | busiest out | mean out | p95 before ms | p95 during ms | slower | \
         requests | not answered | broken |\n\
         |---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n",
    );
    let copies = |it: Option<f64>| it.map_or("not told".to_owned(), |it| format!("{it:.2}"));
    for it in outcomes {
        let _ = writeln!(
            table,
            "| {} | {} | {} | {} | {:.2} | {:.2} | {:.2} | {:.3} | {:.3} | {} | {} | {:.1} | \
             {:.1} | {:+.1}% | {} | {} | {} |",
            it.house,
            it.engines,
            it.policy,
            it.fault,
            it.bound_s,
            it.loaded_s,
            it.live_s,
            it.ratio(),
            it.origin_copies,
            copies(it.busiest_out_copies),
            copies(it.mean_out_copies),
            it.before.p95_ms,
            it.during.p95_ms,
            it.slower() * 100.0,
            it.requests,
            it.not_answered,
            it.problems,
        );
    }
    table
}

/// Writes outcomes as JSON.
pub fn to_json(outcomes: &[BurstOutcome]) -> serde_json::Value {
    // Finite numbers and texts always become JSON.
    serde_json::to_value(outcomes).unwrap_or_default()
}
