//! Rate limits across all entries without a shared counter.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::time::{Duration, Instant};

use insta::assert_snapshot;
use proptest::prelude::{prop, proptest};
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use wagtailreel_core::{CustomerLimit, Document, VmId};
use wagtailreel_route::{Demand, LimitVerdict, Limits, Shares, SharesConfig};

const SERVICE: &str = "scribes";
const CUSTOMER: &str = "mason";
const STEP: Duration = Duration::from_millis(50);

fn document(requests_per_second: f64, burst: u32) -> Document {
    let mut document: Document =
        serde_json::from_value(serde_json::json!({"service": SERVICE, "where": []})).unwrap();
    document.default_limit = Some(CustomerLimit {
        requests_per_second,
        burst,
    });
    document
}

/// One entry with its limits and the shares that it computes.
struct Entry {
    vm: VmId,
    limits: Limits,
    shares: Shares,
    demand: Demand,
    /// Requests per second that callers send to the entry.
    rate: f64,
    pending_requests: f64,
    within: u32,
}

/// Entries that exchange their demand every 200 ms.
struct Fleet {
    now: Instant,
    steps: u32,
    rng: StdRng,
    entries: Vec<Entry>,
}

impl Fleet {
    fn new(rates: &[f64]) -> Self {
        let names: Vec<VmId> = (1..=rates.len()).map(|n| format!("e{n}")).collect();
        let entries = rates.iter().zip(&names).map(|(rate, vm)| {
            let mut shares = Shares::new(SharesConfig::default());
            shares.list(names.iter().filter(|name| *name != vm).cloned());
            let mut limits = Limits::new(1.0 / rates.len() as f64);
            limits.set_document(&document(100.0, 10));
            Entry {
                vm: vm.clone(),
                limits,
                shares,
                demand: Demand::new(),
                rate: *rate,
                pending_requests: 0.0,
                within: 0,
            }
        });
        Self {
            now: Instant::now(),
            steps: 0,
            rng: StdRng::seed_from_u64(11),
            entries: entries.collect(),
        }
    }

    /// Runs for `span`; entries receive each other's demand if `linked` holds for their positions.
    fn run<F>(&mut self, span: Duration, linked: F)
    where
        F: Fn(usize, usize) -> bool,
    {
        for entry in &mut self.entries {
            entry.within = 0;
        }
        for _ in 0..span.as_millis() / STEP.as_millis() {
            self.now += STEP;
            self.steps += 1;
            for entry in &mut self.entries {
                entry.pending_requests += entry.rate * STEP.as_secs_f64();
                while entry.pending_requests >= 1.0 {
                    entry.pending_requests -= 1.0;
                    let verdict = entry.limits.admit(CUSTOMER, self.now, &mut self.rng);
                    entry.within += u32::from(verdict == LimitVerdict::Within);
                }
            }
            if self.steps.is_multiple_of(4) {
                self.exchange(&linked);
            }
        }
    }

    fn exchange<F>(&mut self, linked: &F)
    where
        F: Fn(usize, usize) -> bool,
    {
        let now = self.now;
        for entry in &mut self.entries {
            let customers = entry.limits.demand(now);
            entry.demand = BTreeMap::from([(SERVICE.to_owned(), customers)]);
        }
        let reported: Vec<(VmId, Demand)> = self
            .entries
            .iter()
            .map(|entry| (entry.vm.clone(), entry.demand.clone()))
            .collect();
        for (to, entry) in self.entries.iter_mut().enumerate() {
            for (from, (vm, demand)) in reported.iter().enumerate() {
                if from != to && linked(from, to) {
                    entry.shares.peer(vm, demand, now);
                }
            }
            entry.shares.tick(&entry.demand, now);
            let initial_share = entry.shares.own_share(SERVICE, "");
            let shares = &entry.shares;
            let share = |customer: &str| shares.own_share(SERVICE, customer);
            entry.limits.set_shares(initial_share, now, share);
        }
    }

    fn share_sum(&self) -> f64 {
        self.entries
            .iter()
            .map(|entry| entry.shares.own_share(SERVICE, CUSTOMER))
            .sum()
    }

    fn write_rates(&self, text: &mut String, phase: &str, span: Duration) {
        let rates: Vec<String> = self
            .entries
            .iter()
            .map(|entry| {
                let rate = f64::from(entry.within) / span.as_secs_f64();
                let share = entry.shares.own_share(SERVICE, CUSTOMER);
                format!(
                    "{} {rate:.0}/s of {:.0} (share {share:.2})",
                    entry.vm, entry.rate
                )
            })
            .collect();
        let total: u32 = self.entries.iter().map(|entry| entry.within).sum();
        let total = f64::from(total) / span.as_secs_f64();
        writeln!(text, "{phase}: {}; in all {total:.0}/s", rates.join(", ")).unwrap();
    }
}

/// During a network partition, each side keeps its shares and does not exceed the limit in total.
#[test]
fn partition_keeps_shares() {
    let mut fleet = Fleet::new(&[120.0, 60.0, 20.0]);
    let mut text = String::from("limit 100/s, burst 10\n");
    let span = Duration::from_secs(10);
    fleet.run(span, |_, _| true);
    fleet.write_rates(&mut text, "linked", span);
    fleet.run(span, |from, to| (from == 2) == (to == 2));
    fleet.write_rates(&mut text, "e3 is cut off", span);
    fleet.entries[0].rate = 300.0;
    fleet.entries[2].rate = 200.0;
    fleet.run(span, |from, to| (from == 2) == (to == 2));
    fleet.write_rates(&mut text, "both sides ask for more", span);
    fleet.run(Duration::from_secs(3), |_, _| true);
    fleet.run(span, |_, _| true);
    fleet.write_rates(&mut text, "linked again", span);
    assert_snapshot!(text);
}

/// Refused callers get different waits, so that they don't retry together.
#[test]
fn retry_after_spread() {
    let mut rng = StdRng::seed_from_u64(5);
    let now = Instant::now();
    let mut limits = Limits::new(1.0);
    limits.set_document(&document(2.0, 1));
    assert_eq!(limits.admit(CUSTOMER, now, &mut rng), LimitVerdict::Within);
    let mut waits = Vec::new();
    for _ in 0..20 {
        let LimitVerdict::Over(wait) = limits.admit(CUSTOMER, now, &mut rng) else {
            panic!("within the limit");
        };
        assert!((500..=750).contains(&wait.as_millis()), "{wait:?}");
        waits.push(wait);
    }
    waits.sort();
    waits.dedup();
    assert_eq!(waits.len(), 20);
}

proptest! {
    /// The shares never add up to more than 1, for any demand and any network partition.
    #[test]
    fn shares_sum_bounded(
        rates in prop::collection::vec(0.0_f64..300.0, 2..7),
        later in prop::collection::vec(0.0_f64..300.0, 7),
        split in 0_usize..7,
    ) {
        let mut fleet = Fleet::new(&rates);
        fleet.run(Duration::from_secs(4), |_, _| true);
        assert!((fleet.share_sum() - 1.0).abs() < 1e-6, "{}", fleet.share_sum());
        for (entry, rate) in fleet.entries.iter_mut().zip(&later) {
            entry.rate = *rate;
        }
        fleet.run(Duration::from_secs(8), |from, to| (from < split) == (to < split));
        assert!(fleet.share_sum() < 1.0 + 1e-6, "{}", fleet.share_sum());
    }
}
