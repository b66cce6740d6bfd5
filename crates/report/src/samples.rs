//! Scrapes of several processes over time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, SystemTime};

use serde::Serialize;
use serde_with::{TimestampSecondsWithFrac, serde_as};

use crate::series::Counter;
use crate::text_format::{ParseError, Sample, parse};

/// A pause between scrapes that is longer than so many usual ones is a gap.
const GAP_FACTOR: u32 = 3;

/// Start of the names of the metrics that a report reads.
const READ: [&str; 5] = [
    "wagtailreel_requests_total",
    "wagtailreel_first_token_seconds",
    "wagtailreel_between_tokens_seconds",
    "wagtailreel_config_in_force_seconds",
    "wagtailreel_time_to_live_seconds",
];

/// Name and labels of a series.
pub(crate) type SeriesKey = (String, BTreeMap<String, String>);

/// Something that a report can't know since it was not measured.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Gap {
    /// Process whose metrics are missing.
    pub process: String,
    /// When it begins.
    #[serde_as(as = "TimestampSecondsWithFrac<f64>")]
    pub from: SystemTime,
    /// When it ends.
    #[serde_as(as = "TimestampSecondsWithFrac<f64>")]
    pub to: SystemTime,
    /// What is missing.
    pub what: String,
}

/// What was scraped from one process.
#[derive(Clone, Debug, Default)]
struct Process {
    scrapes: Vec<SystemTime>,
    counters: BTreeMap<SeriesKey, Counter>,
    gauges: BTreeMap<SeriesKey, Vec<(SystemTime, f64)>>,
    resets: Vec<(SystemTime, SystemTime)>,
    failures: Vec<SystemTime>,
}

/// Scrapes of the processes' metrics over time.
#[derive(Clone, Debug, Default)]
pub struct Samples {
    processes: BTreeMap<String, Process>,
}

impl Samples {
    /// Makes a collection without scrapes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds one scrape of `process`: the text of its `/metrics` at `at`.
    ///
    /// Scrapes of one process have to be added in the order of their times; one that is not newer
    /// than the last is passed over.
    ///
    /// # Errors
    ///
    /// Returns a [`ParseError`] if the text is not in the Prometheus format; nothing of it is
    /// taken.
    pub fn add(&mut self, at: SystemTime, process: &str, text: &str) -> Result<(), ParseError> {
        let samples = parse(text)?;
        let process = self.processes.entry(process.to_owned()).or_default();
        if process.scrapes.last().is_none_or(|last| *last < at) {
            process.add(at, samples);
        }
        Ok(())
    }

    /// Adds that `process` could not be scraped at `at`.
    pub fn add_failure(&mut self, at: SystemTime, process: &str) {
        let process = self.processes.entry(process.to_owned()).or_default();
        process.failures.push(at);
    }

    /// Returns the times of the first and the last scrape.
    pub fn span(&self) -> Option<(SystemTime, SystemTime)> {
        let first = self.processes.values().filter_map(|it| it.scrapes.first());
        let last = self.processes.values().filter_map(|it| it.scrapes.last());
        Some((*first.min()?, *last.max()?))
    }

    /// Returns the names of the processes.
    pub fn processes(&self) -> impl Iterator<Item = &str> {
        self.processes.keys().map(String::as_str)
    }

    /// Returns what is missing: missed scrapes, restarts, processes that came late or fell silent.
    pub fn gaps(&self) -> Vec<Gap> {
        let Some(span) = self.span() else {
            return Vec::new();
        };
        let usual = self.usual_pause();
        let mut gaps: Vec<Gap> = self
            .processes
            .iter()
            .flat_map(|(name, process)| process.gaps(name, span, usual))
            .collect();
        gaps.sort_by(|a, b| (a.from, &a.process).cmp(&(b.from, &b.process)));
        gaps
    }

    /// Returns the counters whose metric has the name `name`, with their labels.
    pub(crate) fn counters(
        &self,
        name: &str,
    ) -> impl Iterator<Item = (&BTreeMap<String, String>, &Counter)> {
        let processes = self.processes.values();
        let all = processes.flat_map(|process| &process.counters);
        all.filter(move |((it, _), _)| it == name)
            .map(|((_, labels), counter)| (labels, counter))
    }

    /// Returns the gauges whose metric has the name `name`, with their labels.
    pub(crate) fn gauges(
        &self,
        name: &str,
    ) -> impl Iterator<Item = (&BTreeMap<String, String>, &[(SystemTime, f64)])> {
        let processes = self.processes.values();
        let all = processes.flat_map(|process| &process.gauges);
        all.filter(move |((it, _), _)| it == name)
            .map(|((_, labels), points)| (labels, points.as_slice()))
    }

    /// Returns every value of the label `label`.
    pub(crate) fn label_values(&self, label: &str) -> BTreeSet<String> {
        let processes = self.processes.values();
        let counters = processes.clone().flat_map(|it| it.counters.keys());
        let gauges = processes.flat_map(|it| it.gauges.keys());
        let values = counters.chain(gauges).filter_map(|(_, it)| it.get(label));
        values.cloned().collect()
    }

    /// Returns the median pause between scrapes.
    fn usual_pause(&self) -> Duration {
        let scrapes = self.processes.values().map(|it| &it.scrapes);
        let pairs = scrapes.flat_map(|it| it.windows(2));
        let mut pauses: Vec<Duration> = pairs.map(|pair| between(pair[0], pair[1])).collect();
        pauses.sort();
        pauses.get(pauses.len() / 2).copied().unwrap_or_default()
    }
}

impl Process {
    fn add(&mut self, at: SystemTime, samples: Vec<Sample>) {
        let before = self.scrapes.last().copied();
        let mut reset = false;
        for sample in samples {
            if !READ.iter().any(|name| sample.name.starts_with(name)) {
                continue;
            }
            let key = (sample.name, sample.labels);
            if is_counter(&key.0) {
                reset |= self.add_counter(at, before, key, sample.value);
            } else {
                self.gauges.entry(key).or_default().push((at, sample.value));
            }
        }
        if let Some(before) = before.filter(|_| reset) {
            self.resets.push((before, at));
        }
        self.scrapes.push(at);
    }

    fn add_counter(
        &mut self,
        at: SystemTime,
        before: Option<SystemTime>,
        key: SeriesKey,
        value: f64,
    ) -> bool {
        if let Some(counter) = self.counters.get_mut(&key) {
            return counter.add(at, value);
        }
        let counter = match before {
            None => Counter::from_baseline(at, value),
            Some(before) => {
                let mut counter = Counter::from_zero(before);
                counter.add(at, value);
                counter
            }
        };
        self.counters.insert(key, counter);
        false
    }

    fn gaps(&self, name: &str, span: (SystemTime, SystemTime), usual: Duration) -> Vec<Gap> {
        let gap = |from, to, what: &str| Gap {
            process: name.to_owned(),
            from,
            to,
            what: what.to_owned(),
        };
        let longest = usual * GAP_FACTOR;
        let is_long = |from, to| between(from, to) > longest;
        let mut gaps: Vec<Gap> = Vec::new();
        let pairs = self.scrapes.windows(2);
        let pauses = pairs.filter(|pair| is_long(pair[0], pair[1]));
        gaps.extend(pauses.map(|pair| gap(pair[0], pair[1], "no scrape")));
        let resets = self.resets.iter();
        gaps.extend(resets.map(|(from, to)| {
            gap(
                *from,
                *to,
                "the process restarted; its last counts are lost",
            )
        }));
        let failures = self.failures.iter();
        gaps.extend(failures.map(|at| gap(*at, *at, "the scrape failed")));
        match (self.scrapes.first(), self.scrapes.last()) {
            (Some(first), Some(last)) => {
                if is_long(span.0, *first) {
                    gaps.push(gap(
                        span.0,
                        *first,
                        "not scraped yet; what it counted before is left out",
                    ));
                }
                if is_long(*last, span.1) {
                    gaps.push(gap(*last, span.1, "no more scrapes"));
                }
            }
            _ => gaps.push(gap(span.0, span.1, "never scraped")),
        }
        gaps
    }
}

/// Says whether a metric is a counter, by the endings that the text format prescribes.
fn is_counter(name: &str) -> bool {
    ["_total", "_bucket", "_count", "_sum"]
        .iter()
        .any(|ending| name.ends_with(ending))
}

fn between(from: SystemTime, to: SystemTime) -> Duration {
    to.duration_since(from).unwrap_or_default()
}
