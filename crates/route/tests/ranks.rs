//! Overload by requests of several ranks in virtual time, with and without admission control.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod lab;

use std::ops::Range;
use std::time::Duration;

use lab::kinds::{Burst, Kind, RankedPattern};
use lab::ranked::RankedLab;
use lab::served::Served;
use rstest::rstest;

const SEEDS: Range<u64> = 0..2;

const ENGINES: usize = 8;

/// Seconds before, during and after the burst. Those after it begin 3 s after its end.
const BEFORE: Range<u64> = 4..8;
const DURING: Range<u64> = 8..16;
const AFTER: Range<u64> = 19..24;

/// The requests of a customer, most urgent first: short ones of ranks 0 and 1, and long ones of rank 2 with a
/// longer objective. Together they need 1.35 times the time of 45 engines, here scaled to the engines of the
/// laboratory.
fn kinds() -> Vec<Kind> {
    let scale = 3.0 * ENGINES as f64 / 45.0;
    let kind = |rank, rate: f64, prompt, answer, millis| Kind {
        rank,
        rate: rate * scale,
        prompt,
        answer,
        objective: Duration::from_millis(millis),
    };
    vec![
        kind(0, 206.0, 827, 111, 400),
        kind(1, 114.0, 647, 75, 400),
        kind(2, 164.0, 1330, 112, 1000),
    ]
}

fn pattern(is_controlled: bool) -> RankedPattern {
    RankedPattern {
        kinds: kinds(),
        data_centres: vec![150.0, 167.0, 201.0],
        entries: 6,
        engines: ENGINES,
        slots: 12,
        burst: Some(Burst {
            kind: 2,
            factor: 2.5,
            from: Duration::from_secs(8),
            to: Duration::from_secs(16),
        }),
        span: Duration::from_secs(24),
        impatient: 0.3,
        is_controlled,
        exchanges_levels: is_controlled,
    }
}

fn run_seeds(pattern: &RankedPattern) -> Served {
    let mut sum = Served::default();
    for seed in SEEDS {
        sum.add(&RankedLab::new(pattern.clone(), seed).run());
    }
    sum
}

fn print(name: &str, served: &Served) {
    for (span, seconds) in [("before", BEFORE), ("during", DURING), ("after", AFTER)] {
        for kind in 0..3 {
            let count = served.kind(kind, &seconds);
            let (all, in_time) = (count.served_share(), count.in_time_share());
            println!("{name} {span} kind {kind}: served {all:.3}, in time {in_time:.3}");
        }
        let shares = (0..3).map(|it| served.centre(it, &seconds).served_share());
        println!(
            "{name} {span} data centres: {:.3?}",
            shares.collect::<Vec<_>>()
        );
        let all = served.all(&seconds);
        println!(
            "{name} {span} all: {:.3} {:.3}",
            all.served_share(),
            all.in_time_share()
        );
    }
}

/// Requests of the least urgent kind come 2.5 times as often for 8 s, to engines that are overloaded already,
/// three in ten refused callers come back at once, and the others once as they are told to. Without admission
/// control the least urgent kind, which has the longest objective, is served best.
#[rstest]
fn overload_by_the_least_urgent() {
    let off = run_seeds(&pattern(false));
    let on = run_seeds(&pattern(true));
    print("off", &off);
    print("on", &on);
    let urgent = off.kind(0, &DURING).in_time_share();
    assert!(urgent < 0.35, "the pattern is an overload: {urgent}");
    let urgent = on.kind(0, &DURING).in_time_share();
    assert!(urgent >= 0.95, "the most urgent are in time: {urgent}");
    for seconds in [BEFORE, DURING, AFTER] {
        let shares: Vec<f64> = (0..3)
            .map(|it| on.kind(it, &seconds).served_share())
            .collect();
        let all = on.all(&seconds).served_share();
        assert!(
            shares.is_sorted_by(|a, b| a >= b),
            "more urgent ones first: {shares:?}"
        );
        let is_starved = shares.iter().any(|it| *it < 0.25 * all);
        assert!(!is_starved, "{shares:?} of {all}");
    }
    for kind in 0..3 {
        let [before, after] = [BEFORE, AFTER].map(|it| on.kind(kind, &it).in_time_share());
        assert!(
            after > before - 0.05,
            "recovered 3 s after the burst: {before}, {after}"
        );
    }
    let [before, after] = [&off, &on].map(|it| it.all(&DURING).in_time_share());
    assert!(after > before, "more are in time: {before}, {after}");
}

/// Long prompts of the least urgent kind aren't starved, though less urgent requests are chosen an engine by less
/// than the urgent objective, of which a long prompt alone uses most.
#[rstest]
fn long_prompts() {
    let mut kinds = kinds();
    let least = kinds[2];
    kinds.push(Kind {
        rate: least.rate / 20.0,
        prompt: 3600,
        ..least
    });
    let served = run_seeds(&RankedPattern {
        kinds,
        ..pattern(true)
    });
    for seconds in [BEFORE, DURING, AFTER] {
        let long = served.kind(3, &seconds).served_share();
        let all = served.all(&seconds).served_share();
        println!("long prompts: {long:.3} of {all:.3}");
        assert!(long >= 0.25 * all, "{long} of {all}");
    }
}

/// Data centres are asked unlike each other. Entries of the busier one see more failures, and without the
/// exchange of levels they refuse more.
#[rstest]
fn unlike_data_centres() {
    let steady = RankedPattern {
        burst: None,
        ..pattern(true)
    };
    let shares = |pattern: &RankedPattern| {
        let served = run_seeds(pattern);
        let shares = (0..3).map(|it| served.centre(it, &(4..24)).served_share());
        shares.collect::<Vec<f64>>()
    };
    let alone = shares(&RankedPattern {
        exchanges_levels: false,
        ..steady.clone()
    });
    let together = shares(&steady);
    println!("served by data centre: alone {alone:.3?}, with exchanged levels {together:.3?}");
    let spread = |shares: &[f64]| {
        let most = shares.iter().copied().fold(0.0, f64::max);
        most - shares.iter().copied().fold(1.0, f64::min)
    };
    assert!(spread(&together) < 0.05, "{together:?}");
    assert!(spread(&together) < spread(&alone), "{alone:?}");
}

/// One rank: refused callers come back when they can no longer be in time. With the setting `always`, those who
/// can still be come first.
#[rstest]
fn late_callers() {
    let kinds = kinds().into_iter().map(|kind| Kind { rank: 1, ..kind });
    let always = RankedPattern {
        kinds: kinds.collect(),
        burst: None,
        ..pattern(true)
    };
    let on = run_seeds(&always).all(&(4..24)).in_time_share();
    let off = RankedPattern {
        is_controlled: false,
        exchanges_levels: false,
        ..always
    };
    let off = run_seeds(&off).all(&(4..24)).in_time_share();
    println!("in time with one rank: off {off:.3}, always {on:.3}");
    assert!(on > off, "{off} {on}");
}
