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

/// Returns a naming read from the registry at one time, and absent from it at the other.
fn registry(heard_ms: u64, after_ms: u64) -> NamingSource {
    NamingSource::Registry {
        received_at: at(heard_ms),
        after: at(after_ms),
    }
}

#[rstest]
#[case::registry(registry(9_000, 8_400), 16_000)]
#[case::before_start(NamingSource::BeforeStart(at(9_500)), 12_000)]
#[case::after_outage(NamingSource::AfterOutage, 17_000)]
fn first_naming(#[case] source: NamingSource, #[case] binding_from: u64) {
    let mut namings = namings();
    let binding = namings.record(&weights(2), source, at(10_000));
    assert_eq!(binding, Some(at(binding_from)));
    assert_eq!(namings.least_version(MODEL, at(binding_from - 1)), None);
    assert_eq!(namings.least_version(MODEL, at(binding_from)), Some(2));
}

/// The newest record of the registry may name an older version than an earlier record. A version that an
/// engine holds must have been named, and its bound counts like that of a naming from before the start.
#[rstest]
fn held_by_engine() {
    let mut namings = namings();
    namings.record(&weights(2), NamingSource::BeforeStart(at(0)), at(100));
    assert_eq!(
        namings.record_held(&weights(3), Some(at(100)), at(200)),
        None
    );
    let binding = namings.record_held(&weights(3), Some(at(300)), at(400));
    assert_eq!(
        binding,
        Some(at(2_900)),
        "a later read still names an older version"
    );
    assert_eq!(namings.newest(MODEL).unwrap().weights.version, 3);
    assert_eq!(namings.least_version(MODEL, at(2_900)), Some(3));
    assert_eq!(namings.record(&weights(2), registry(0, 0), at(500)), None);
}

/// A disconnected entry receives engine reports before it reads the naming, whose bound counts from that
/// read. Neither the version that engines hold nor the age that agents report may cut requests under way.
#[rstest]
fn naming_after_disconnect() {
    let mut namings = namings();
    namings.record(&weights(2), registry(1_000, 900), at(1_000));
    let (cut_off_at, back) = (at(2_000), at(20_000));
    assert_eq!(
        namings.record_held(&weights(3), Some(cut_off_at), back),
        None
    );
    assert_eq!(namings.merge_proof(&weights(3), at(8_400)), None);
    let binding = namings.record(&weights(3), registry(20_300, 2_000), at(20_300));
    assert_eq!(binding, Some(at(27_300)));
    assert_eq!(namings.merge_proof(&weights(3), at(8_400)), None);
    assert_eq!(namings.least_version(MODEL, at(27_299)), Some(2));
}

/// Without any naming, engines keep the version that they hold.
#[rstest]
fn held_without_naming() {
    let mut namings = namings();
    let held = namings.record_held(&weights(1), Some(at(300)), at(200));
    assert_eq!(held, None);
    assert_eq!(namings.newest(MODEL), None);
}

/// Only proved times are reported to others.
#[rstest]
#[case::registry(registry(400, 350), Some(400), Some(350))]
#[case::before_start(NamingSource::BeforeStart(at(400)), None, None)]
#[case::after_outage(NamingSource::AfterOutage, None, None)]
fn time_and_proof_by_source(
    #[case] source: NamingSource,
    #[case] since: Option<u64>,
    #[case] after: Option<u64>,
) {
    let mut namings = namings();
    namings.record(&weights(2), source, at(500));
    let naming = namings.newest(MODEL).unwrap();
    assert_eq!((naming.since, naming.after), (since.map(at), after.map(at)));
}

/// Each proof shows that the naming came after it, so the latest proof counts.
#[rstest]
fn latest_proof() {
    let mut namings = namings();
    namings.record(&weights(2), NamingSource::BeforeStart(at(9_000)), at(9_000));
    let binding = namings.merge_proof(&weights(2), at(2_400));
    assert_eq!(binding, Some(at(9_400)), "a proof replaces an estimate");
    let binding = namings.merge_proof(&weights(2), at(9_000));
    assert_eq!(binding, Some(at(16_000)), "a later proof counts");
    assert_eq!(
        namings.merge_proof(&weights(2), at(9_010)),
        None,
        "the same proof"
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

/// The process keeps the time that it read from the registry if the proofs of others are older. Others are
/// told the best proof.
#[rstest]
fn registry_read_and_older_proofs() {
    let mut namings = namings();
    namings.record(&weights(2), registry(9_000, 8_000), at(9_000));
    assert_eq!(namings.merge_proof(&weights(2), at(5_000)), None);
    assert_eq!(namings.newest(MODEL).unwrap().after, Some(at(8_000)));
    assert_eq!(namings.merge_proof(&weights(2), at(8_600)), None);
    assert_eq!(namings.newest(MODEL).unwrap().after, Some(at(8_600)));
    assert_eq!(namings.least_version(MODEL, at(15_999)), None);
    assert_eq!(namings.least_version(MODEL, at(16_000)), Some(2));
}

/// The registry was unreachable when the process started. How long before its return the weights were named
/// does not count, and requests that wait to begin are not cut.
#[rstest]
fn proof_after_outage() {
    let mut namings = namings();
    namings.record(&weights(3), NamingSource::AfterOutage, at(26_400));
    assert_eq!(namings.merge_proof(&weights(3), at(26_162)), None);
    assert_eq!(namings.merge_proof(&weights(3), at(17_534)), None);
    assert_eq!(namings.least_version(MODEL, at(33_399)), None);
    assert_eq!(namings.least_version(MODEL, at(33_400)), Some(3));
}

/// A version that was named between two reads is skipped. Its bound counts from the earlier read, even if
/// another process proves that the newest version was named later.
#[rstest]
fn skipped_version() {
    let mut namings = namings();
    namings.record(&weights(2), registry(1_000, 900), at(1_000));
    namings.record(&weights(4), registry(9_000, 9_000), at(12_100));
    namings.merge_proof(&weights(4), at(12_000));
    assert_eq!(namings.least_version(MODEL, at(15_999)), Some(2));
    assert_eq!(namings.least_version(MODEL, at(16_000)), Some(3));
    assert_eq!(namings.least_version(MODEL, at(18_999)), Some(3));
    assert_eq!(namings.least_version(MODEL, at(19_000)), Some(4));
}

/// A process that starts learns of the newest version only. A proof of its time says nothing about the
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

/// A proof that a version was not named yet when this process already knew it is false.
#[rstest]
#[case::registry(registry(8_000, 8_000))]
#[case::guess(NamingSource::BeforeStart(at(9_000)))]
fn proof_later_than_known(#[case] source: NamingSource) {
    let mut namings = namings();
    let binding = namings.record(&weights(2), source, at(12_000)).unwrap();
    assert_eq!(namings.merge_proof(&weights(2), at(12_100)), None);
    assert_eq!(namings.least_version(MODEL, binding), Some(2));
}

/// A report that proves when one version was named says nothing about the version before it.
#[rstest]
fn report_skips_version() {
    let mut namings = namings();
    namings.record(&weights(1), NamingSource::BeforeStart(at(0)), at(100));
    let report = |namings: &mut Namings, read: u64, now: u64| {
        namings.merge_report(&weights(3), at(19_500), Some(at(read)), at(now))
    };
    assert_eq!(report(&mut namings, 20_000, 20_100), None);
    assert_eq!(report(&mut namings, 20_200, 20_300), Some(at(26_500)));
    assert_eq!(namings.least_version(MODEL, at(22_799)), Some(1));
    assert_eq!(namings.least_version(MODEL, at(22_800)), Some(2));
    assert_eq!(namings.least_version(MODEL, at(26_500)), Some(3));
}

/// A later proof of another process moves the bound of a naming read from the registry.
#[rstest]
fn proof_after_registry_read() {
    let mut namings = namings();
    namings.record(&weights(2), registry(8_000, 8_000), at(12_000));
    assert_eq!(
        namings.merge_proof(&weights(2), at(8_600)),
        Some(at(15_600))
    );
    assert_eq!(namings.least_version(MODEL, at(15_599)), None);
    assert_eq!(namings.least_version(MODEL, at(15_600)), Some(2));
}

/// The report of another process dates a naming, however late this process reads it.
#[rstest]
fn report_before_late_read() {
    let mut namings = namings();
    namings.record(&weights(2), registry(1_000, 900), at(1_000));
    let report = namings.merge_report(&weights(3), at(8_400), Some(at(8_000)), at(9_000));
    assert_eq!(report, None, "the registry is read first");
    let binding = namings.record(&weights(3), registry(15_000, 8_000), at(15_200));
    assert_eq!(binding, Some(at(16_000)));
    assert_eq!(namings.merge_proof(&weights(3), at(8_400)), None, "earlier");
}

/// If the bound has passed when the process reads the naming, requests that wait to begin are not cut at
/// once.
#[rstest]
fn report_long_before_read() {
    let mut namings = namings();
    namings.record(&weights(2), registry(1_000, 900), at(1_000));
    namings.merge_report(&weights(3), at(8_400), Some(at(8_000)), at(9_000));
    let binding = namings.record(&weights(3), registry(19_500, 8_000), at(20_000));
    assert_eq!(binding, Some(at(16_000)));
    let within = namings.begin_within(MODEL, 2, at(20_000));
    assert_eq!(within, Some(Duration::from_millis(600)));
}

/// The version that an engine holds does not date a naming: a disconnected entry receives engine reports
/// before it reads the registry.
#[rstest]
fn held_before_late_read() {
    let mut namings = namings();
    namings.record(&weights(2), registry(1_000, 900), at(1_000));
    assert_eq!(
        namings.record_held(&weights(3), Some(at(8_000)), at(9_000)),
        None
    );
    let binding = namings.record(&weights(3), registry(15_000, 8_000), at(15_200));
    assert_eq!(binding, Some(at(22_000)));
}
