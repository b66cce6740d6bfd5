//! Links, bounds, tables and plots of bursts.
#![allow(clippy::unwrap_used, reason = "a test ends at the first surprise")]

use std::time::Duration;

use rstest::rstest;
use wagtailreel_bench::burst::{Burst, BurstOutcome, Fault, House, Latency, to_svg, to_table};
use wagtailreel_core::SpreadPolicy;

#[rstest]
#[case(House::Lapida, 16)]
#[case(House::Batbayar, 13)]
#[case(House::Large, 90)]
fn scaled_links(#[case] house: House, #[case] engines: usize) {
    let burst = Burst::new(house, SpreadPolicy::Balanced);
    let window = burst.window.as_secs_f64();
    let copies = |rate: u64| rate as f64 * window / burst.length as f64;
    assert_eq!(house.engines(), engines);
    assert!((copies(burst.origin_rate()) - 4.0).abs() < 1e-3);
    // One copy in and one out in the window each take half of it at full duplex.
    assert!((copies(burst.vm_rate()) - 2.0).abs() < 1e-3);
    let load = burst.bound() - burst.window / 2;
    assert!(load > Duration::from_millis(160) && load < Duration::from_millis(175));
}

#[test]
fn names_read_back() {
    let faults = Fault::ALL.map(|it| Fault::from_name(&it.to_string()));
    assert_eq!(faults, Fault::ALL.map(Some));
    let houses = House::ALL.map(|it| House::from_name(&it.to_string()));
    assert_eq!(houses, House::ALL.map(Some));
}

fn outcome(policy: &str, loaded_s: f64, origin_copies: f64) -> BurstOutcome {
    let latency = |p95_ms| Latency {
        count: 100,
        p50_ms: 42.0,
        p95_ms,
    };
    BurstOutcome {
        house: "lapida".to_owned(),
        policy: policy.to_owned(),
        fault: "none".to_owned(),
        engines: 16,
        bound_s: 5.0,
        loaded_s,
        live_s: loaded_s + 0.1,
        origin_copies,
        busiest_out_copies: (policy == "balanced").then_some(1.1),
        mean_out_copies: None,
        before: latency(50.0),
        during: latency(52.0),
        requests: 300,
        not_answered: 0,
        problems: 0,
        first_problem: None,
        may_lose: false,
    }
}

#[test]
fn golden_table() {
    let outcomes = [
        outcome("origin", 20.0, 16.0),
        outcome("chain", 6.5, 1.0),
        outcome("tree", 10.4, 1.0),
        outcome("balanced", 5.4, 1.31),
    ];
    insta::assert_snapshot!("table", to_table(&outcomes));
    insta::assert_snapshot!("plot", to_svg(&outcomes));
}

#[test]
fn broken_rules() {
    let mut it = outcome("balanced", 5.0, 1.0);
    assert!(it.holds());
    it.not_answered = 1;
    assert!(!it.holds());
    it.may_lose = true;
    assert!(it.holds());
    it.problems = 1;
    assert!(!it.holds());
}
