//! Load patterns in virtual time, with and without the mechanisms of placement and admission.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod lab;

use std::time::Duration;

use lab::{Lab, Outcome, Pattern};
use rstest::rstest;

const SEEDS: std::ops::Range<u64> = 0..6;

fn pattern(rate: f64) -> Pattern {
    Pattern {
        entries: 11,
        engines: 33,
        slots: 12,
        rate,
        objective: Duration::from_millis(400),
        span: Duration::from_secs(12),
        announces: true,
        corrects: true,
    }
}

/// Runs a pattern with several seeds and sums up the outcomes.
fn run_seeds(pattern: &Pattern) -> Outcome {
    let mut sum = Outcome::default();
    for seed in SEEDS {
        let outcome = Lab::new(pattern.clone(), seed).run();
        sum.in_time += outcome.in_time;
        sum.late += outcome.late;
        sum.refused += outcome.refused;
    }
    sum
}

/// Many entries see the same engines as the least loaded. Without announcements, all send to the same ones.
#[rstest]
fn many_entries() {
    let announced = run_seeds(&pattern(210.0));
    let reports_only = run_seeds(&Pattern {
        announces: false,
        ..pattern(210.0)
    });
    println!("with announcements: {announced:?}, by reports alone: {reports_only:?}");
    assert!(announced.late_share() < 0.05, "{announced:?}");
    assert!(
        announced.late_share() < reports_only.late_share() / 2.0,
        "{reports_only:?}"
    );
}

/// Under overload, admitted requests begin in time.
#[rstest]
fn more_than_capacity() {
    let corrected = run_seeds(&pattern(420.0));
    let plain = run_seeds(&Pattern {
        corrects: false,
        ..pattern(420.0)
    });
    println!("corrected: {corrected:?}, by the mean: {plain:?}");
    assert!(corrected.late_share() < plain.late_share(), "{plain:?}");
    assert!(corrected.late_share() < 0.2, "{corrected:?}");
    assert!(corrected.in_time > plain.in_time, "{plain:?}");
}
