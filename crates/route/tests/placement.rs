//! Load patterns that placement and admission answer, replayed in virtual time with and without them.
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

/// Plays a pattern with several seeds and adds up what became of the requests.
fn play(pattern: &Pattern) -> Outcome {
    let mut sum = Outcome::default();
    for seed in SEEDS {
        let outcome = Lab::new(pattern.clone(), seed).run();
        sum.in_time += outcome.in_time;
        sum.late += outcome.late;
        sum.refused += outcome.refused;
    }
    sum
}

/// Many entries before many engines: each sees the same engines as the least loaded.
#[rstest]
fn many_entries() {
    let kept = play(&pattern(210.0));
    let alone = play(&Pattern {
        announces: false,
        ..pattern(210.0)
    });
    println!("places kept: {kept:?}, by words alone: {alone:?}");
    assert!(kept.late_share() < 0.05, "{kept:?}");
    assert!(kept.late_share() < alone.late_share() / 2.0, "{alone:?}");
}

/// More is asked than can be served: what is let in begins in time.
#[rstest]
fn more_than_capacity() {
    let corrected = play(&pattern(420.0));
    let plain = play(&Pattern {
        corrects: false,
        ..pattern(420.0)
    });
    println!("corrected: {corrected:?}, by the mean: {plain:?}");
    assert!(corrected.late_share() < plain.late_share(), "{plain:?}");
    assert!(corrected.late_share() < 0.2, "{corrected:?}");
    assert!(corrected.in_time > plain.in_time, "{plain:?}");
}
