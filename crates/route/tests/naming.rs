//! Which weights a request may begin on.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use rstest::rstest;
use wagtailreel_fleet::{BootTime, NamedWeights, WeightsVersion};
use wagtailreel_route::direct::{NamingBounds, NamingSource, Namings};

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

/// Read in the registry at a moment, and not there at the one before.
fn news(heard_ms: u64, after_ms: u64) -> NamingSource {
    NamingSource::Registry {
        received_at: at(heard_ms),
        after: at(after_ms),
    }
}

#[rstest]
#[case::news(news(9_000, 8_400), 16_000)]
#[case::before_start(NamingSource::BeforeStart(at(9_500)), 12_000)]
#[case::after_outage(NamingSource::AfterOutage, 17_000)]
fn first_naming(#[case] source: NamingSource, #[case] binding_from: u64) {
    let mut namings = namings();
    let binding = namings.record(&weights(2), source, at(10_000));
    assert_eq!(binding, Some(at(binding_from)));
    assert_eq!(namings.least_version(MODEL, at(binding_from - 1)), None);
    assert_eq!(namings.least_version(MODEL, at(binding_from)), Some(2));
}

/// The registry's newest record may name an older version than an earlier one: what engines hold must
/// have been named, and becomes binding as what was named before the start.
#[rstest]
fn held_by_engine() {
    let mut namings = namings();
    namings.record(&weights(2), NamingSource::BeforeStart(at(0)), at(100));
    assert_eq!(
        namings.record_held(&weights(3), Some(at(100)), at(200)),
        None
    );
    let binding = namings.record_held(&weights(3), Some(at(300)), at(400));
    assert_eq!(binding, Some(at(2_900)), "a later read names it no more");
    assert_eq!(namings.newest(MODEL).unwrap().weights.version, 3);
    assert_eq!(namings.least_version(MODEL, at(2_900)), Some(3));
    assert_eq!(namings.record(&weights(2), news(0, 0), at(500)), None);
}

/// An entry that was cut off hears of engines before the registry tells it of the naming, whose bound
/// counts from then: neither what they hold nor what agents tell of its age cuts what is under way.
#[rstest]
fn after_a_cut() {
    let mut namings = namings();
    namings.record(&weights(2), news(1_000, 900), at(1_000));
    let (cut_off_at, back) = (at(2_000), at(20_000));
    assert_eq!(
        namings.record_held(&weights(3), Some(cut_off_at), back),
        None
    );
    assert_eq!(namings.merge_proof(&weights(3), at(8_400)), None);
    let binding = namings.record(&weights(3), news(20_300, 2_000), at(20_300));
    assert_eq!(binding, Some(at(27_300)));
    assert_eq!(namings.merge_proof(&weights(3), at(8_400)), None);
    assert_eq!(namings.least_version(MODEL, at(27_299)), Some(2));
}

/// Without any naming engines are left with what they hold.
#[rstest]
fn held_without_naming() {
    let mut namings = namings();
    let held = namings.record_held(&weights(1), Some(at(300)), at(200));
    assert_eq!(held, None);
    assert_eq!(namings.newest(MODEL), None);
}

/// Only what is proved is told to others.
#[rstest]
#[case::news(news(400, 350), Some(400), Some(350))]
#[case::before_start(NamingSource::BeforeStart(at(400)), None, None)]
#[case::after_outage(NamingSource::AfterOutage, None, None)]
fn told_proof(
    #[case] source: NamingSource,
    #[case] since: Option<u64>,
    #[case] after: Option<u64>,
) {
    let mut namings = namings();
    namings.record(&weights(2), source, at(500));
    let naming = namings.newest(MODEL).unwrap();
    assert_eq!((naming.since, naming.after), (since.map(at), after.map(at)));
}

/// Each proof says that the naming came after it, so the latest of them counts.
#[rstest]
fn latest_proof() {
    let mut namings = namings();
    namings.record(&weights(2), NamingSource::BeforeStart(at(9_000)), at(9_000));
    let binding = namings.merge_proof(&weights(2), at(2_400));
    assert_eq!(binding, Some(at(9_400)), "a guess gives way");
    let binding = namings.merge_proof(&weights(2), at(9_000));
    assert_eq!(binding, Some(at(16_000)), "a later one says more");
    assert_eq!(
        namings.merge_proof(&weights(2), at(9_010)),
        None,
        "the same"
    );
    assert_eq!(namings.merge_proof(&weights(2), at(8_000)), None, "earlier");
    assert_eq!(namings.least_version(MODEL, at(15_999)), None);
    assert_eq!(namings.least_version(MODEL, at(16_000)), Some(2));
    let naming = namings.newest(MODEL).unwrap();
    assert_eq!(
        (naming.since, naming.after),
        (Some(at(9_000)), Some(at(9_000)))
    );
}

/// What the process heard of itself stands where others prove less; they are told the best proof.
#[rstest]
fn own_news() {
    let mut namings = namings();
    namings.record(&weights(2), news(9_000, 8_000), at(9_000));
    assert_eq!(namings.merge_proof(&weights(2), at(5_000)), None);
    assert_eq!(namings.newest(MODEL).unwrap().after, Some(at(8_000)));
    assert_eq!(namings.merge_proof(&weights(2), at(8_600)), None);
    assert_eq!(namings.newest(MODEL).unwrap().after, Some(at(8_600)));
    assert_eq!(namings.least_version(MODEL, at(15_999)), None);
    assert_eq!(namings.least_version(MODEL, at(16_000)), Some(2));
}

/// The registry was away when the process started: how long before its return the weights were named
/// doesn't count, and what waits to begin is not cut.
#[rstest]
fn word_after_outage() {
    let mut namings = namings();
    namings.record(&weights(3), NamingSource::AfterOutage, at(26_400));
    assert_eq!(namings.merge_proof(&weights(3), at(26_162)), None);
    assert_eq!(namings.merge_proof(&weights(3), at(17_534)), None);
    assert_eq!(namings.least_version(MODEL, at(33_399)), None);
    assert_eq!(namings.least_version(MODEL, at(33_400)), Some(3));
}

/// What was named between two reads is passed over: it counts from the earlier read, also once another process
/// proves that the newest version was named later.
#[rstest]
fn passed_over_version() {
    let mut namings = namings();
    namings.record(&weights(2), news(1_000, 900), at(1_000));
    namings.record(&weights(4), news(9_000, 9_000), at(12_100));
    namings.merge_proof(&weights(4), at(12_000));
    assert_eq!(namings.least_version(MODEL, at(15_999)), Some(2));
    assert_eq!(namings.least_version(MODEL, at(16_000)), Some(3));
    assert_eq!(namings.least_version(MODEL, at(18_999)), Some(3));
    assert_eq!(namings.least_version(MODEL, at(19_000)), Some(4));
}

/// A process that starts hears of the newest version alone. A proof of when it was named tells nothing of the
/// versions before it, which may have been named long ago.
#[rstest]
fn earlier_version() {
    let mut namings = namings();
    namings.record(
        &weights(3),
        NamingSource::BeforeStart(at(20_000)),
        at(20_100),
    );
    namings.merge_proof(&weights(3), at(19_500));
    assert_eq!(namings.least_version(MODEL, at(22_499)), None);
    assert_eq!(namings.least_version(MODEL, at(22_500)), Some(2));
    assert_eq!(namings.least_version(MODEL, at(26_500)), Some(3));
}

/// What proves that a version was not named when this process knew it already is false.
#[rstest]
#[case::news(news(8_000, 8_000))]
#[case::guess(NamingSource::BeforeStart(at(9_000)))]
fn proof_after_known(#[case] source: NamingSource) {
    let mut namings = namings();
    let binding = namings.record(&weights(2), source, at(12_000)).unwrap();
    assert_eq!(namings.merge_proof(&weights(2), at(12_100)), None);
    assert_eq!(namings.least_version(MODEL, binding), Some(2));
}

/// A word that proves when one version was named tells nothing of the version before it.
#[rstest]
fn word_passes_over() {
    let mut namings = namings();
    namings.record(&weights(1), NamingSource::BeforeStart(at(0)), at(100));
    let word = |namings: &mut Namings, read: u64, now: u64| {
        namings.merge_report(&weights(3), at(19_500), Some(at(read)), at(now))
    };
    assert_eq!(word(&mut namings, 20_000, 20_100), None);
    assert_eq!(word(&mut namings, 20_200, 20_300), Some(at(26_500)));
    assert_eq!(namings.least_version(MODEL, at(22_799)), Some(1));
    assert_eq!(namings.least_version(MODEL, at(22_800)), Some(2));
    assert_eq!(namings.least_version(MODEL, at(26_500)), Some(3));
}

/// News is no younger than any proof of another process.
#[rstest]
fn proof_after_news() {
    let mut namings = namings();
    namings.record(&weights(2), news(8_000, 8_000), at(12_000));
    assert_eq!(
        namings.merge_proof(&weights(2), at(8_600)),
        Some(at(15_600))
    );
    assert_eq!(namings.least_version(MODEL, at(15_599)), None);
    assert_eq!(namings.least_version(MODEL, at(15_600)), Some(2));
}

/// What others told of weights dates them, however late the process itself reads of them.
#[rstest]
fn told_while_unanswered() {
    let mut namings = namings();
    namings.record(&weights(2), news(1_000, 900), at(1_000));
    let word = namings.merge_report(&weights(3), at(8_400), Some(at(8_000)), at(9_000));
    assert_eq!(word, None, "left to the registry");
    let binding = namings.record(&weights(3), news(15_000, 8_000), at(15_200));
    assert_eq!(binding, Some(at(16_000)));
    assert_eq!(namings.merge_proof(&weights(3), at(8_400)), None, "earlier");
}

/// Where the bound is over by the time that the process reads of them, what waits to begin is not cut at once.
#[rstest]
fn told_long_before() {
    let mut namings = namings();
    namings.record(&weights(2), news(1_000, 900), at(1_000));
    namings.merge_report(&weights(3), at(8_400), Some(at(8_000)), at(9_000));
    let binding = namings.record(&weights(3), news(19_500, 8_000), at(20_000));
    assert_eq!(binding, Some(at(16_000)));
    let within = namings.begin_within(MODEL, 2, at(20_000));
    assert_eq!(within, Some(Duration::from_millis(600)));
}

/// What engines hold doesn't: an entry that was cut off hears of them before it reads.
#[rstest]
fn held_while_unanswered() {
    let mut namings = namings();
    namings.record(&weights(2), news(1_000, 900), at(1_000));
    assert_eq!(
        namings.record_held(&weights(3), Some(at(8_000)), at(9_000)),
        None
    );
    let binding = namings.record(&weights(3), news(15_000, 8_000), at(15_200));
    assert_eq!(binding, Some(at(22_000)));
}
