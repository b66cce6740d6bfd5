//! One indicator: good and bad events held against an objective.

use std::collections::BTreeMap;
use std::time::SystemTime;

use derive_more::Display;
use serde::Serialize;
use wagtailreel_core::{NotRunReason, Objectives, Outcome};

use crate::samples::Samples;

/// Share of requests or gaps that keep a bound of time.
const TIMELY: f64 = 0.95;

/// What an indicator measures.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum IndicatorKind {
    /// Share of requests that are answered.
    #[display("answered")]
    Answered,
    /// Share of requests whose first token comes in time.
    #[display("first token")]
    FirstToken,
    /// Share of tokens that follow the one before in time.
    #[display("between tokens")]
    BetweenTokens,
}

/// Events of one window.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Burn {
    /// Events that count.
    pub events: f64,
    /// Bad ones by what went wrong: `limit`, `not run: <reason>`, `unknown`, `slow`.
    pub causes: BTreeMap<String, f64>,
    /// Share of bad events divided by the share that may be bad; 0 without events.
    pub rate: f64,
}

/// An indicator of one service, or of one customer of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Indicator {
    /// What it measures.
    pub kind: IndicatorKind,
    /// Share of events that have to be good.
    pub objective: f64,
    /// Bound of time in seconds, for the indicators that have one.
    pub bound: Option<f64>,
    service: String,
    customer: Option<String>,
}

impl Indicator {
    /// Makes the indicators of `service`, or of one customer of it.
    pub fn all(service: &str, customer: Option<&str>, objectives: &Objectives) -> [Self; 3] {
        let make = |kind, objective, bound| Self {
            kind,
            objective,
            bound,
            service: service.to_owned(),
            customer: customer.map(str::to_owned),
        };
        let first = objectives.first_token.as_secs_f64();
        let between = objectives.between_tokens.as_secs_f64();
        [
            make(IndicatorKind::Answered, objectives.answered, None),
            make(IndicatorKind::FirstToken, TIMELY, Some(first)),
            make(IndicatorKind::BetweenTokens, TIMELY, Some(between)),
        ]
    }

    /// Counts the events after `from` and up to `to`.
    pub fn burn(&self, samples: &Samples, from: SystemTime, to: SystemTime) -> Burn {
        let mut burn = match self.kind {
            IndicatorKind::Answered => self.outcomes(samples, from, to),
            IndicatorKind::FirstToken => {
                self.timely(samples, "wagtailreel_first_token_seconds", from, to)
            }
            IndicatorKind::BetweenTokens => {
                self.timely(samples, "wagtailreel_between_tokens_seconds", from, to)
            }
        };
        // The sum of nothing is -0; the 0 makes it 0.
        let bad = burn.causes.values().sum::<f64>() + 0.0;
        if burn.events > 0.0 {
            burn.rate = bad / burn.events / self.budget();
        }
        burn
    }

    /// Returns the share of events that may be bad.
    ///
    /// An objective of all events leaves no budget; a thousandth of a thousandth keeps the burn
    /// rate finite.
    pub fn budget(&self) -> f64 {
        (1.0 - self.objective).max(1e-6)
    }

    /// Says whether the bound lies on a bucket of the processes' histograms; between two buckets
    /// the events above the lower one count as slow.
    pub fn is_exact(&self, samples: &Samples) -> bool {
        let name = match self.kind {
            IndicatorKind::Answered => return true,
            IndicatorKind::FirstToken => "wagtailreel_first_token_seconds_bucket",
            IndicatorKind::BetweenTokens => "wagtailreel_between_tokens_seconds_bucket",
        };
        let mut buckets = samples.counters(name).peekable();
        buckets.peek().is_none() || buckets.any(|(labels, _)| upper_bound(labels) == self.bound)
    }

    fn matches(&self, labels: &BTreeMap<String, String>) -> bool {
        let service = labels.get("service") == Some(&self.service);
        let customer = self.customer.is_none() || labels.get("customer") == self.customer.as_ref();
        service && customer
    }

    fn outcomes(&self, samples: &Samples, from: SystemTime, to: SystemTime) -> Burn {
        let mut burn = Burn::default();
        for (labels, counter) in samples.counters("wagtailreel_requests_total") {
            let count = counter.increase(from, to);
            if !self.matches(labels) || count <= 0.0 {
                continue;
            }
            let label = |name| labels.get(name).map(String::as_str).unwrap_or_default();
            match cause(label("outcome"), label("reason")) {
                Cause::None => burn.events += count,
                Cause::CallersOwn => {}
                Cause::Named(name) => {
                    burn.events += count;
                    *burn.causes.entry(name).or_default() += count;
                }
            }
        }
        burn
    }

    fn timely(&self, samples: &Samples, name: &str, from: SystemTime, to: SystemTime) -> Burn {
        let bound = self.bound.unwrap_or(f64::INFINITY);
        // Buckets are cumulative, so the highest within the bound counts all events in time. The
        // bounds are compared as thousandths of a millisecond, which are exact.
        let mut within: BTreeMap<u64, f64> = BTreeMap::new();
        for (labels, counter) in samples.counters(&format!("{name}_bucket")) {
            let Some(upper) = upper_bound(labels).filter(|it| *it <= bound) else {
                continue;
            };
            if self.matches(labels) {
                let micros = (upper * 1e6).round() as u64;
                *within.entry(micros).or_default() += counter.increase(from, to);
            }
        }
        let name = format!("{name}_count");
        let counts = samples.counters(&name);
        let counts = counts.filter(|(labels, _)| self.matches(labels));
        let events: f64 = counts.map(|(_, counter)| counter.increase(from, to)).sum();
        let good = within.values().next_back().copied().unwrap_or_default();
        let slow = (events - good).max(0.0);
        let mut burn = Burn {
            events,
            ..Burn::default()
        };
        if slow > 0.0 {
            burn.causes.insert("slow".to_owned(), slow);
        }
        burn
    }
}

/// What an outcome means for the budget.
enum Cause {
    /// It is good.
    None,
    /// It is the caller's own doing and counts neither way: a cancelled request, an order that
    /// ran before or whose key is too old.
    CallersOwn,
    /// It is bad.
    Named(String),
}

fn cause(outcome: &str, reason: &str) -> Cause {
    match Outcome::from_wire(outcome) {
        Some(Outcome::Answered) => Cause::None,
        Some(Outcome::NotRun) => {
            let is = |it: NotRunReason| it.to_string() == reason;
            let own = [
                NotRunReason::Cancelled,
                NotRunReason::Claimed,
                NotRunReason::Expired,
            ];
            if own.into_iter().any(is) {
                Cause::CallersOwn
            } else if is(NotRunReason::Limit) {
                Cause::Named(reason.to_owned())
            } else {
                Cause::Named(format!("not run: {reason}"))
            }
        }
        Some(Outcome::Unknown) => Cause::Named("unknown".to_owned()),
        None => Cause::Named(format!("outcome `{outcome}`")),
    }
}

fn upper_bound(labels: &BTreeMap<String, String>) -> Option<f64> {
    labels.get("le")?.parse().ok()
}
