//! Counts and histograms of a run.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use wagtailreel_core::{CustomerId, OrderKey, Priority, RequestId};

use super::expected::Verdict;
use crate::answer::Ending;

/// Longest time that a histogram holds, in microseconds: ten minutes.
const LONGEST: u64 = 600_000_000;

/// Significant digits of a histogram.
const DIGITS: u8 = 3;

/// Problems that are kept in words; the rest is only counted.
const KEPT_PROBLEMS: usize = 20;

/// All that was seen of one request.
#[derive(Debug)]
pub(crate) struct Observation {
    pub(crate) request: RequestId,
    /// Hash of the prompt.
    pub(crate) prompt: String,
    pub(crate) order: Option<OrderKey>,
    pub(crate) customer: CustomerId,
    pub(crate) priority: Option<Priority>,
    pub(crate) step: usize,
    /// Intended time of sending, from the start of the run.
    pub(crate) at: Duration,
    /// How late the tool itself was in sending it.
    pub(crate) late: Duration,
    pub(crate) ending: Ending,
    pub(crate) verdict: Verdict,
    pub(crate) tokens: u32,
    /// From the intended time of sending.
    pub(crate) first_token: Option<Duration>,
    /// From the intended time of sending.
    pub(crate) took: Duration,
    /// Microseconds between successive tokens.
    pub(crate) gaps: Vec<u32>,
    pub(crate) within_deadline: bool,
    /// Whether it comes after the warm-up.
    pub(crate) timed: bool,
    /// What is wrong with it, if anything is.
    pub(crate) problem: Option<String>,
}

/// Counts and times of one group of requests.
#[derive(Debug)]
pub(crate) struct Group {
    pub(crate) sent: u64,
    pub(crate) good: u64,
    pub(crate) tokens: u64,
    pub(crate) endings: BTreeMap<(&'static str, String), u64>,
    pub(crate) first_token: Histogram<u64>,
    pub(crate) between: Histogram<u64>,
    pub(crate) whole: Histogram<u64>,
    pub(crate) refusal: Histogram<u64>,
    pub(crate) late: Histogram<u64>,
}

impl Group {
    fn new() -> Self {
        Self {
            sent: 0,
            good: 0,
            tokens: 0,
            endings: BTreeMap::new(),
            first_token: histogram(),
            between: histogram(),
            whole: histogram(),
            refusal: histogram(),
            late: histogram(),
        }
    }

    fn add(&mut self, seen: &Observation) {
        self.sent += 1;
        self.tokens += u64::from(seen.tokens);
        let answered = matches!(seen.ending, Ending::Answered { .. });
        self.good += u64::from(answered && seen.within_deadline);
        let key = (seen.ending.word(), reason_for_table(&seen.ending));
        *self.endings.entry(key).or_default() += 1;
        record(&mut self.late, seen.late);
        if let Some(first) = seen.first_token {
            record(&mut self.first_token, first);
        }
        if answered {
            record(&mut self.whole, seen.took);
        }
        if matches!(seen.ending, Ending::NotRun { .. }) {
            record(&mut self.refusal, seen.took);
        }
        for gap in &seen.gaps {
            self.between.saturating_record(u64::from(*gap));
        }
    }
}

/// A failed connection's text differs from one to the next; a table wants one line.
fn reason_for_table(ending: &Ending) -> String {
    match ending {
        Ending::Lost { .. } => "connection".to_owned(),
        other => other.reason(),
    }
}

fn histogram() -> Histogram<u64> {
    // The bounds are constants that the library takes.
    Histogram::new_with_max(LONGEST, DIGITS).unwrap_or_else(|_| unreachable!("constant bounds"))
}

fn record(histogram: &mut Histogram<u64>, time: Duration) {
    histogram.saturating_record(u64::try_from(time.as_micros()).unwrap_or(u64::MAX));
}

/// One request's end, for the count against what the engines ran.
#[derive(Clone, Debug)]
pub(crate) struct Claimed {
    pub(crate) word: &'static str,
    /// Hash of the prompt.
    pub(crate) prompt: String,
    pub(crate) order: Option<OrderKey>,
}

/// All counts of a run.
#[derive(Debug)]
pub(crate) struct Tally {
    pub(crate) total: Group,
    pub(crate) steps: BTreeMap<usize, Group>,
    pub(crate) customers: BTreeMap<CustomerId, Group>,
    pub(crate) priorities: BTreeMap<String, Group>,
    pub(crate) requests: BTreeMap<RequestId, Claimed>,
    pub(crate) first_tokens: Vec<(Duration, Duration)>,
    pub(crate) problems: Vec<String>,
    pub(crate) problem_count: u64,
    pub(crate) unchecked: u64,
    pub(crate) skipped: u64,
}

impl Tally {
    pub(crate) fn new() -> Self {
        Self {
            total: Group::new(),
            steps: BTreeMap::new(),
            customers: BTreeMap::new(),
            priorities: BTreeMap::new(),
            requests: BTreeMap::new(),
            first_tokens: Vec::new(),
            problems: Vec::new(),
            problem_count: 0,
            unchecked: 0,
            skipped: 0,
        }
    }

    /// Adds one request.
    pub(crate) fn add(&mut self, seen: Observation) {
        if let Some(problem) = &seen.problem {
            self.add_problem(format!("{}: {problem}", seen.request));
        }
        self.unchecked += u64::from(seen.verdict == Verdict::Unchecked);
        if seen.timed {
            self.add_timed(&seen);
        }
        let claimed = Claimed {
            word: seen.ending.word(),
            prompt: seen.prompt,
            order: seen.order,
        };
        if self
            .requests
            .insert(seen.request.clone(), claimed)
            .is_some()
        {
            self.add_problem(format!("{}: two outcomes", seen.request));
        }
    }

    /// Adds something that must not be.
    pub(crate) fn add_problem(&mut self, problem: String) {
        self.problem_count += 1;
        if self.problems.len() < KEPT_PROBLEMS {
            self.problems.push(problem);
        }
    }

    fn add_timed(&mut self, seen: &Observation) {
        if let Some(first) = seen.first_token {
            self.first_tokens.push((seen.at, first));
        }
        let priority = seen
            .priority
            .map_or("of the service".to_owned(), |it| it.to_string());
        let customers = self.customers.entry(seen.customer.clone());
        let groups = [
            &mut self.total,
            self.steps.entry(seen.step).or_insert_with(Group::new),
            customers.or_insert_with(Group::new),
            self.priorities.entry(priority).or_insert_with(Group::new),
        ];
        for group in groups {
            group.add(seen);
        }
    }
}
