//! What a run found, as text and JSON.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::plan::Plan;
use super::tally::{Group, Tally};

/// Percentiles of a time in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Percentiles {
    /// How many times were measured.
    pub count: u64,
    /// Half are below it.
    pub p50_ms: f64,
    /// 95 in 100 are below it.
    pub p95_ms: f64,
    /// 99 in 100 are below it.
    pub p99_ms: f64,
    /// The longest.
    pub max_ms: f64,
}

impl Percentiles {
    fn new(histogram: &Histogram<u64>) -> Self {
        // Microseconds fit into the 52 bits of a float.
        let ms = |micros: u64| micros as f64 / 1000.0;
        Self {
            count: histogram.len(),
            p50_ms: ms(histogram.value_at_quantile(0.50)),
            p95_ms: ms(histogram.value_at_quantile(0.95)),
            p99_ms: ms(histogram.value_at_quantile(0.99)),
            max_ms: ms(histogram.max()),
        }
    }
}

/// Requests of one group.
#[derive(Clone, Debug, Serialize)]
pub struct GroupReport {
    /// Requests that were sent.
    pub sent: u64,
    /// Requests that were answered within their deadlines.
    pub good: u64,
    /// Tokens that came.
    pub tokens: u64,
    /// Requests by outcome, or what came in its place, and reason: `not-run/limit`.
    pub endings: BTreeMap<String, u64>,
    /// From the intended time of sending to the first token.
    pub first_token: Percentiles,
    /// Between successive tokens.
    pub between_tokens: Percentiles,
    /// From the intended time of sending to the end of an answer.
    pub whole: Percentiles,
    /// From the intended time of sending to a refusal.
    pub refusal: Percentiles,
    /// How late the tool itself sent.
    pub tool_late: Percentiles,
}

impl GroupReport {
    fn new(group: &Group) -> Self {
        let endings = group.endings.iter().map(|((word, reason), count)| {
            let name = match reason.as_str() {
                "" => (*word).to_owned(),
                reason => format!("{word}/{reason}"),
            };
            (name, *count)
        });
        Self {
            sent: group.sent,
            good: group.good,
            tokens: group.tokens,
            endings: endings.collect(),
            first_token: Percentiles::new(&group.first_token),
            between_tokens: Percentiles::new(&group.between),
            whole: Percentiles::new(&group.whole),
            refusal: Percentiles::new(&group.refusal),
            tool_late: Percentiles::new(&group.late),
        }
    }

    /// Returns how many requests ended as `ending` says, such as `answered` or `not-run/limit`;
    /// a word alone counts all its reasons.
    pub fn ended(&self, ending: &str) -> u64 {
        let matches = |name: &str| {
            name == ending
                || name
                    .strip_prefix(ending)
                    .is_some_and(|it| it.starts_with('/'))
        };
        let counts = self.endings.iter();
        counts
            .filter(|(name, _)| matches(name))
            .map(|(_, count)| count)
            .sum()
    }
}

/// One step of the plan.
#[derive(Clone, Debug, Serialize)]
pub struct StepReport {
    /// Requests a second that the plan asked for.
    pub planned_rate: f64,
    /// Requests a second that were sent in the timed part of the step.
    pub offered_rate: f64,
    /// Requests a second that were answered within their deadlines.
    pub goodput: f64,
    /// Tokens a second.
    pub tokens_per_second: f64,
    /// Counts and times.
    #[serde(flatten)]
    pub group: GroupReport,
}

/// What a run found.
#[derive(Clone, Debug, Serialize)]
pub struct LoadReport {
    /// How long the run took, the wait for the last answers included, in seconds.
    pub took_s: f64,
    /// All requests after the warm-up.
    pub total: GroupReport,
    /// Per step of the plan.
    pub steps: Vec<StepReport>,
    /// Per customer.
    pub customers: BTreeMap<String, GroupReport>,
    /// Per priority.
    pub priorities: BTreeMap<String, GroupReport>,
    /// Requests that were not sent since too many were in flight: the tool's own limit.
    pub skipped: u64,
    /// Unfinished answers that could not be held against any bundle.
    pub unchecked: u64,
    /// Things that must not be, the warm-up included.
    pub problem_count: u64,
    /// The first of them in words.
    pub problems: Vec<String>,
    /// Intended time of sending and time to the first token of each timed request.
    #[serde(skip)]
    pub first_tokens: Vec<(Duration, Duration)>,
}

impl LoadReport {
    pub(crate) fn new(plan: &Plan, took: Duration, tally: &Tally) -> Self {
        let groups = |groups: &BTreeMap<String, Group>| {
            let reports = groups.iter();
            reports
                .map(|(name, group)| (name.clone(), GroupReport::new(group)))
                .collect()
        };
        Self {
            took_s: took.as_secs_f64(),
            total: GroupReport::new(&tally.total),
            steps: step_reports(plan, tally),
            customers: groups(&tally.customers),
            priorities: groups(&tally.priorities),
            skipped: tally.skipped,
            unchecked: tally.unchecked,
            problem_count: tally.problem_count,
            problems: tally.problems.clone(),
            first_tokens: tally.first_tokens.clone(),
        }
    }

    /// Says whether every request had exactly one outcome and every answer was whole and its own.
    pub fn holds(&self) -> bool {
        self.problem_count == 0 && self.skipped == 0
    }

    /// Writes the report as JSON.
    pub fn to_json(&self) -> serde_json::Value {
        // Maps with string keys and finite numbers always become JSON.
        serde_json::to_value(self).unwrap_or_default()
    }

    /// Writes the report as text.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        // Writing to a String does not fail, here and below.
        let _ = writeln!(text, "run of {:.1} s", self.took_s);
        for (index, step) in self.steps.iter().enumerate() {
            let _ = writeln!(
                text,
                "step {}: planned {:.0}/s, offered {:.1}/s, goodput {:.1}/s, {:.0} tokens/s",
                index + 1,
                step.planned_rate,
                step.offered_rate,
                step.goodput,
                step.tokens_per_second,
            );
            write_group(&mut text, &step.group);
        }
        for (title, groups) in [
            ("customer", &self.customers),
            ("priority", &self.priorities),
        ] {
            for (name, group) in groups {
                let _ = writeln!(
                    text,
                    "{title} {name}: {} sent, {} good",
                    group.sent, group.good
                );
                write_group(&mut text, group);
            }
        }
        let _ = writeln!(
            text,
            "{} problems, {} not sent by the tool, {} unfinished answers unchecked",
            self.problem_count, self.skipped, self.unchecked
        );
        for problem in &self.problems {
            let _ = writeln!(text, "  {problem}");
        }
        text
    }
}

/// Makes the steps' reports over their timed parts.
fn step_reports(plan: &Plan, tally: &Tally) -> Vec<StepReport> {
    let mut reports = Vec::new();
    let mut start = Duration::ZERO;
    for (index, step) in plan.steps.iter().enumerate() {
        let end = start + step.duration;
        let seconds = end.saturating_sub(start.max(plan.warm_up)).as_secs_f64();
        start = end;
        if let Some(group) = tally.steps.get(&index) {
            let per_second = |count: u64| count as f64 / seconds;
            reports.push(StepReport {
                planned_rate: step.rate,
                offered_rate: per_second(group.sent),
                goodput: per_second(group.good),
                tokens_per_second: per_second(group.tokens),
                group: GroupReport::new(group),
            });
        }
    }
    reports
}

fn write_group(text: &mut String, group: &GroupReport) {
    for (name, count) in &group.endings {
        let _ = writeln!(text, "  {name:<24} {count:>9}");
    }
    let times = [
        ("first token", &group.first_token),
        ("between tokens", &group.between_tokens),
        ("whole answer", &group.whole),
        ("refusal", &group.refusal),
        ("tool late", &group.tool_late),
    ];
    for (name, times) in times {
        if times.count > 0 {
            let _ = writeln!(
                text,
                "  {name:<15} p50 {:>9.3} ms  p95 {:>9.3} ms  p99 {:>9.3} ms  max {:>9.3} ms",
                times.p50_ms, times.p95_ms, times.p99_ms, times.max_ms
            );
        }
    }
}
