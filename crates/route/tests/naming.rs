//! Which weights a request may begin on.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use rstest::rstest;
use wagtailreel_fleet::{BootTime, HeardNaming, NamedWeights, WeightsVersion};
use wagtailreel_route::direct::{NamingBounds, Namings, Told};

const MODEL: &str = "epitaph";

fn at(ms: u64) -> BootTime {
    BootTime::new(Duration::from_millis(ms))
}

fn namings() -> Namings {
    Namings::new(NamingBounds {
        begin: Duration::from_millis(7_000),
        last_begin: Duration::from_millis(7_600),
        unknown: Duration::from_millis(2_500),
    })
}

fn weights(version: WeightsVersion) -> NamedWeights {
    NamedWeights {
        model: MODEL.to_owned(),
        version,
    }
}

fn heard(version: WeightsVersion, age_ms: u32) -> HeardNaming {
    HeardNaming {
        weights: weights(version),
        age_ms,
    }
}

#[rstest]
#[case::news(Told::News(at(9_000)), 16_000)]
#[case::before_start(Told::BeforeStart(at(9_500)), 12_000)]
#[case::after_outage(Told::AfterOutage, 17_000)]
fn first_naming(#[case] told: Told, #[case] binding_from: u64) {
    let mut namings = namings();
    let binding = namings.take(&weights(2), told, at(10_000));
    assert_eq!(binding, Some(at(binding_from)));
    assert_eq!(namings.least_version(MODEL, at(binding_from - 1)), None);
    assert_eq!(namings.least_version(MODEL, at(binding_from)), Some(2));
}

/// The registry's newest record may name an older version than an earlier one: what engines hold must
/// have been named, and becomes binding as what was named before the start.
#[rstest]
fn held_by_engine() {
    let mut namings = namings();
    namings.take(&weights(2), Told::BeforeStart(at(0)), at(100));
    assert_eq!(namings.take_held(&weights(3), Some(at(100)), at(200)), None);
    let binding = namings.take_held(&weights(3), Some(at(300)), at(400));
    assert_eq!(binding, Some(at(2_900)), "a later read names it no more");
    assert_eq!(namings.newest(MODEL, at(400)).unwrap().weights.version, 3);
    assert_eq!(namings.least_version(MODEL, at(2_900)), Some(3));
    assert_eq!(namings.take(&weights(2), Told::News(at(0)), at(500)), None);
}

/// An entry that was cut off hears of engines before the registry tells it of the naming, whose bound
/// counts from then: neither what they hold nor what agents tell of its age cuts what is under way.
#[rstest]
fn after_a_cut() {
    let mut namings = namings();
    namings.take(&weights(2), Told::News(at(1_000)), at(1_000));
    let (cut_off_at, back) = (at(2_000), at(20_000));
    assert_eq!(namings.take_held(&weights(3), Some(cut_off_at), back), None);
    assert_eq!(namings.learn(&heard(3, 11_600), back), None);
    let binding = namings.take(&weights(3), Told::News(at(20_300)), at(20_300));
    assert_eq!(binding, Some(at(27_300)));
    assert_eq!(namings.learn(&heard(3, 12_000), at(20_400)), None);
}

/// Without any naming engines are left with what they hold.
#[rstest]
fn held_without_naming() {
    let mut namings = namings();
    let held = namings.take_held(&weights(1), Some(at(300)), at(200));
    assert_eq!(held, None);
    assert_eq!(namings.newest(MODEL, at(300)), None);
}

/// Only what is proved is told to others.
#[rstest]
#[case::news(Told::News(at(400)), Some(600))]
#[case::before_start(Told::BeforeStart(at(400)), None)]
#[case::after_outage(Told::AfterOutage, None)]
fn told_age(#[case] told: Told, #[case] age: Option<u64>) {
    let mut namings = namings();
    namings.take(&weights(2), told, at(500));
    let naming = namings.newest(MODEL, at(1_000)).unwrap();
    assert_eq!(naming.age, age.map(Duration::from_millis));
}

#[rstest]
fn learned_age() {
    let mut namings = namings();
    namings.take(&weights(2), Told::BeforeStart(at(9_000)), at(9_000));
    let binding = namings.learn(&heard(2, 1_000), at(10_000));
    assert_eq!(binding, Some(at(16_000)), "a guess gives way");
    assert_eq!(namings.learn(&heard(2, 1_010), at(10_000)), None);
    assert_eq!(namings.learn(&heard(2, 500), at(10_000)), None, "later");
    let binding = namings.learn(&heard(2, 3_000), at(10_000));
    assert_eq!(binding, Some(at(14_000)), "the earliest counts");
    let age = namings.newest(MODEL, at(10_000)).unwrap().age;
    assert_eq!(age, Some(Duration::from_millis(3_000)));
}

/// What the process heard of itself stands.
#[rstest]
fn own_news() {
    let mut namings = namings();
    namings.take(&weights(2), Told::News(at(9_000)), at(9_000));
    assert_eq!(namings.learn(&heard(2, 5_000), at(10_000)), None);
}

/// The registry was away when the process started: how long before its return the weights were named
/// doesn't count, and what waits to begin is not cut.
#[rstest]
fn word_after_outage() {
    let mut namings = namings();
    namings.take(&weights(3), Told::AfterOutage, at(26_400));
    assert_eq!(namings.learn(&heard(3, 278), at(26_440)), None);
    assert_eq!(namings.learn(&heard(3, 11_609), at(29_143)), None);
    assert_eq!(namings.least_version(MODEL, at(33_399)), None);
    assert_eq!(namings.least_version(MODEL, at(33_400)), Some(3));
}
