//! Requests that end upstreams are told from those that were beside them.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use rstest::rstest;
use wagtailreel_core::Digest;
use wagtailreel_fleet::{BootTime, EndedUnder, Fingerprint};
use wagtailreel_route::direct::{Quarantine, Suspicion};

const HOUR: Duration = Duration::from_secs(3600);

fn request(name: &str) -> Fingerprint {
    Digest::of(name.as_bytes())
}

fn at(ms: u64) -> BootTime {
    BootTime::from_millis(HOUR.as_secs() * 10_000 + ms)
}

/// Returns what is thought of `name` after the upstreams `ids` ended under it, a second apart.
fn after(known: &mut Quarantine, name: &str, ids: &[&str]) -> Suspicion {
    for (number, id) in ids.iter().enumerate() {
        known.ended(request(name), id, 0, at(number as u64 * 1000));
    }
    known.suspicion(request(name), at(ids.len() as u64 * 1000))
}

fn is_quarantined(suspicion: Suspicion) -> bool {
    matches!(suspicion, Suspicion::Quarantined(_))
}

#[rstest]
#[case::none(&[], Suspicion::None)]
#[case::one(&["a"], Suspicion::None)]
#[case::same_one(&["a", "a", "a"], Suspicion::None)]
#[case::two(&["a", "b"], Suspicion::Suspected)]
#[case::three(&["a", "b", "c"], Suspicion::Quarantined(Duration::from_secs(59)))]
#[case::four(&["a", "b", "c", "d"], Suspicion::Quarantined(Duration::from_secs(119)))]
fn counts_upstreams(#[case] ids: &[&str], #[case] thought: Suspicion) {
    let mut known = Quarantine::new(0.0);
    assert_eq!(after(&mut known, "x", ids), thought);
    assert_eq!(known.suspicion(request("y"), at(9000)), Suspicion::None);
}

#[rstest]
fn counts_starts() {
    let mut known = Quarantine::new(0.0);
    for start in 1..=3 {
        known.ended(request("x"), "a", start, at(start));
    }
    assert!(is_quarantined(known.suspicion(request("x"), at(5))));
}

#[rstest]
fn innocent_runs_on() {
    let mut known = Quarantine::new(0.0);
    after(&mut known, "x", &["a", "b", "c"]);
    assert!(
        known.finished(request("x"), at(4000)),
        "others thought ill of it"
    );
    assert_eq!(known.suspicion(request("x"), at(4000)), Suspicion::None);
    known.ended(request("x"), "d", 0, at(30_000));
    known.ended(request("x"), "e", 0, at(30_000));
    assert_eq!(
        known.suspicion(request("x"), at(30_000)),
        Suspicion::Suspected
    );
}

#[rstest]
fn alike_requests() {
    let mut known = Quarantine::new(0.0);
    known.finished(request("x"), at(0));
    let thought = after(&mut known, "x", &["a", "b", "c"]);
    assert_eq!(
        thought,
        Suspicion::None,
        "others of its kind ran to their ends"
    );
}

#[rstest]
fn ran_before() {
    let mut known = Quarantine::new(0.5);
    known.finished(request("x"), at(0));
    let end = 60_000;
    for id in ["a", "b", "c"] {
        known.ended(request("x"), id, 0, at(end));
    }
    assert!(is_quarantined(known.admit(request("x"), at(end + 4999))));
    let thought = known.admit(request("x"), at(end + 5000));
    assert_eq!(thought, Suspicion::Suspected, "it is tried soon");
}

#[rstest]
fn one_trial() {
    let mut known = Quarantine::new(0.5);
    after(&mut known, "x", &["a", "b", "c"]);
    let due = at(2000).plus(Duration::from_secs(360));
    let before = due.minus(Duration::from_millis(1));
    assert!(is_quarantined(known.admit(request("x"), before)));
    assert_eq!(known.admit(request("x"), due), Suspicion::Suspected);
    assert!(
        is_quarantined(known.admit(request("x"), due)),
        "one at a time"
    );
    known.finished(request("x"), due);
    assert_eq!(known.admit(request("x"), due), Suspicion::None);
}

#[rstest]
fn accounts_meet() {
    let (mut one, mut other) = (Quarantine::new(0.0), Quarantine::new(0.0));
    after(&mut one, "x", &["a"]);
    after(&mut other, "x", &["b", "c"]);
    let told = one.crash_report(request("x"), at(2000)).unwrap();
    assert!(other.merge(&told, at(2000)));
    assert!(is_quarantined(other.suspicion(request("x"), at(2000))));
    assert!(!other.merge(&told, at(2000)), "the same again is no news");
}

#[rstest]
fn late_word() {
    let mut known = Quarantine::new(0.0);
    known.finished(request("x"), at(0));
    after(&mut known, "x", &["a"]);
    known.finished(request("x"), at(5000));
    let told = EndedUnder {
        fingerprint: request("x"),
        upstreams: ["b", "c", "d"].map(|id| (id.to_owned(), 3000)).into(),
        finished_ms: None,
    };
    known.merge(&told, at(6000));
    let thought = known.suspicion(request("x"), at(6000));
    assert_eq!(
        thought,
        Suspicion::None,
        "they ended before it ran to its end"
    );
}

#[rstest]
fn told_to_all() {
    let mut known = Quarantine::new(0.0);
    after(&mut known, "once", &["a"]);
    after(&mut known, "twice", &["a", "b"]);
    let told = known.to_report(HOUR, at(2000));
    let told: Vec<Fingerprint> = told.iter().map(|it| it.fingerprint).collect();
    assert_eq!(told, [request("twice")]);
    known.finished(request("twice"), at(3000));
    let told = known.to_report(HOUR, at(3000));
    assert_eq!(told.len(), 1, "who was told hears that it is cleared");
}

#[rstest]
fn ever_new_requests() {
    let mut known = Quarantine::new(0.0);
    after(&mut known, "x", &["a", "b", "c"]);
    for number in 0..10_000 {
        known.ended(request(&format!("new {number}")), "d", 0, at(4000 + number));
    }
    assert!(is_quarantined(known.suspicion(request("x"), at(20_000))));
}

#[rstest]
fn forgotten() {
    let mut known = Quarantine::new(0.0);
    after(&mut known, "x", &["a", "b", "c"]);
    known.prune(at(0));
    assert!(!known.is_empty());
    let later = at(3000).plus(HOUR);
    assert_eq!(known.suspicion(request("x"), later), Suspicion::None);
    known.prune(later);
    assert!(known.is_empty());
}
