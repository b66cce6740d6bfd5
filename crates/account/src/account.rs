//! Counts what the lines tell.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::line::{Fields, Line};
use crate::summary::{CallRow, LossRow, NamingRow, Summary};

/// Data centre of a process whose start stands in none of the lines.
const UNKNOWN: &str = "unknown";

/// Longest latency that is told apart: an hour, in milliseconds.
const LONGEST_MS: u64 = 3_600_000;

/// What counts as a loss.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AccountConfig {
    /// An answer whose first byte took longer is late; none counts no answer as late.
    pub late_after: Option<Duration>,
}

type Process = String;

/// What happened to requests of one process in one second since 1970.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LossKey {
    second: u64,
    process: Process,
    reason: String,
}

/// A kind of call to the registry.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct CallKey {
    process: Process,
    topic: String,
    cause: String,
    outcome: String,
}

/// A version of a model's weights.
type NamingKey = (String, String);

/// What processes said of one naming, in seconds since 1970.
#[derive(Debug, Default)]
struct Heard {
    /// When the first process read it in the registry.
    first_read: Option<f64>,
    /// Since when others told it to be named, one for each time that an entry learned it.
    told_since: Vec<f64>,
}

/// The account of what requests were lost to, from log lines in any order.
#[derive(Debug, Default)]
pub struct Account {
    cfg: AccountConfig,
    lines: u64,
    damaged: u64,
    answered: u64,
    first_at: Option<f64>,
    data_centres: BTreeMap<Process, String>,
    losses: BTreeMap<LossKey, u64>,
    calls: BTreeMap<CallKey, Vec<u64>>,
    namings: BTreeMap<NamingKey, Heard>,
}

impl Account {
    /// Makes an empty account.
    pub fn new(cfg: AccountConfig) -> Self {
        Self {
            cfg,
            ..Self::default()
        }
    }

    /// Takes one line of a log.
    pub fn take_line(&mut self, text: &str) {
        if text.trim().is_empty() {
            return;
        }
        self.lines += 1;
        let Some(line) = Line::read(text) else {
            self.damaged += 1;
            return;
        };
        self.first_at = Some(self.first_at.map_or(line.at, |first| first.min(line.at)));
        self.take(&line);
    }

    fn take(&mut self, line: &Line<'_>) {
        let fields = &line.fields;
        match line.message.as_ref() {
            "direct-entry-started" => {
                let data_centre = text(fields.data_centre.as_deref());
                self.data_centres
                    .insert(line.process.to_string(), data_centre);
            }
            "request-refused" => self.lose(line, text(fields.end.as_deref())),
            "request-done" => self.take_done(line),
            "registry-called" => self.take_call(line),
            "weights-named" => self.take_named(line.at, fields),
            "naming-learned" => self.take_learned(line.at, fields),
            _ => {}
        }
    }

    fn take_done(&mut self, line: &Line<'_>) {
        let end = text(line.fields.end.as_deref());
        if end != "answered" {
            self.lose(line, end);
            return;
        }
        self.answered += 1;
        let first = number(line.fields.first_ms.as_deref());
        let is_late = self
            .cfg
            .late_after
            .zip(first)
            .is_some_and(|(limit, first)| u128::from(first) > limit.as_millis());
        if is_late {
            self.lose(line, "late".to_owned());
        }
    }

    fn lose(&mut self, line: &Line<'_>, reason: String) {
        let key = LossKey {
            second: whole_seconds(line.at),
            process: line.process.to_string(),
            reason,
        };
        *self.losses.entry(key).or_default() += 1;
    }

    fn take_call(&mut self, line: &Line<'_>) {
        let fields = &line.fields;
        let key = CallKey {
            process: line.process.to_string(),
            topic: text(fields.topic.as_deref()),
            cause: text(fields.cause.as_deref()),
            outcome: text(fields.outcome.as_deref()),
        };
        // A call without a latency counts as one that took none.
        let ms = number(fields.ms.as_deref()).unwrap_or_default();
        self.calls.entry(key).or_default().push(ms);
    }

    /// Only who reads a naming in the registry as news knows when it was there at the latest.
    fn take_named(&mut self, at: f64, fields: &Fields<'_>) {
        if fields.told.as_deref() != Some("news") {
            return;
        }
        let heard = self.namings.entry(naming(fields)).or_default();
        heard.first_read = Some(heard.first_read.map_or(at, |first| first.min(at)));
    }

    fn take_learned(&mut self, at: f64, fields: &Fields<'_>) {
        let Some(age_ms) = number(fields.age_ms.as_deref()) else {
            return;
        };
        let age = Duration::from_millis(age_ms).as_secs_f64();
        let heard = self.namings.entry(naming(fields)).or_default();
        heard.told_since.push(at - age);
    }

    /// Returns the tables.
    pub fn summary(&self) -> Summary {
        Summary {
            lines: self.lines,
            damaged: self.damaged,
            processes: self.data_centres.len(),
            answered: self.answered,
            losses: self.loss_rows(),
            calls: self.call_rows(),
            namings: self.namings.iter().map(naming_row).collect(),
        }
    }

    fn loss_rows(&self) -> Vec<LossRow> {
        let first_second = self.first_at.map_or(0, whole_seconds);
        let mut counts: BTreeMap<(u64, &str, &str), u64> = BTreeMap::new();
        for (key, count) in &self.losses {
            let second = key.second.saturating_sub(first_second);
            let data_centre = self.data_centre(&key.process);
            *counts
                .entry((second, data_centre, &key.reason))
                .or_default() += count;
        }
        let row = |((second, data_centre, reason), count): ((u64, &str, &str), u64)| LossRow {
            second,
            data_centre: data_centre.to_owned(),
            reason: reason.to_owned(),
            count,
        };
        counts.into_iter().map(row).collect()
    }

    fn call_rows(&self) -> Vec<CallRow> {
        let mut latencies: BTreeMap<(&str, &str, &str, &str), Histogram<u64>> = BTreeMap::new();
        for (key, calls) in &self.calls {
            let data_centre = self.data_centre(&key.process);
            let kind = (data_centre, &*key.topic, &*key.cause, &*key.outcome);
            let Ok(histogram) = Histogram::new_with_bounds(1, LONGEST_MS, 3) else {
                continue;
            };
            let histogram = latencies.entry(kind).or_insert(histogram);
            for ms in calls {
                histogram.saturating_record(*ms);
            }
        }
        let row = |((data_centre, topic, cause, outcome), latency): (
            (&str, &str, &str, &str),
            Histogram<u64>,
        )| CallRow {
            data_centre: data_centre.to_owned(),
            topic: topic.to_owned(),
            cause: cause.to_owned(),
            outcome: outcome.to_owned(),
            count: latency.len(),
            median_ms: latency.value_at_quantile(0.5),
            p99_ms: latency.value_at_quantile(0.99),
        };
        latencies.into_iter().map(row).collect()
    }

    fn data_centre(&self, process: &str) -> &str {
        self.data_centres
            .get(process)
            .map_or(UNKNOWN, String::as_str)
    }
}

fn naming_row(((model, version), heard): (&NamingKey, &Heard)) -> NamingRow {
    let too_old = |since: &f64| heard.first_read.map(|first| first - since);
    let mut too_old: Vec<f64> = heard.told_since.iter().filter_map(too_old).collect();
    too_old.sort_by(f64::total_cmp);
    NamingRow {
        model: model.clone(),
        version: version.clone(),
        learned: heard.told_since.len(),
        median_before_s: too_old.get(too_old.len() / 2).copied(),
        most_before_s: too_old.last().copied(),
    }
}

fn naming(fields: &Fields<'_>) -> NamingKey {
    (
        text(fields.model.as_deref()),
        text(fields.version.as_deref()),
    )
}

fn text(field: Option<&str>) -> String {
    field.unwrap_or(UNKNOWN).to_owned()
}

fn number(field: Option<&str>) -> Option<u64> {
    field?.parse().ok()
}

/// A time before 1970 is no time of a log.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn whole_seconds(at: f64) -> u64 {
    at.max(0.0) as u64
}
