//! A suspect whose crashes others may have caused is retried without them.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use rstest::rstest;
use wagtailreel_core::Digest;
use wagtailreel_fleet::{BootTime, Fingerprint};
use wagtailreel_route::direct::{Quarantine, Suspicion};

/// Longest delay of such a retry, for the last of the entries.
const MAX_DELAY_MS: u64 = 10_000;

const FIRST_CRASH_MS: u64 = 100_000;

fn suspect(name: &str) -> Fingerprint {
    Digest::of(name.as_bytes())
}

fn at(ms: u64) -> BootTime {
    BootTime::from_millis(FIRST_CRASH_MS + ms)
}

/// Records that the upstreams `ids` crashed under each of `names` at the same time, 100 ms apart.
fn crash(known: &mut Quarantine, names: &[&str], ids: &[&str]) {
    for (number, id) in ids.iter().enumerate() {
        for name in names {
            known.ended(suspect(name), id, 0, at(number as u64 * 100));
        }
    }
}

/// Returns the retried suspects of a request with the suspects `names`, or `None` if it is refused.
fn admit(known: &mut Quarantine, names: &[&str], ms: u64) -> Option<usize> {
    let suspects: Vec<Fingerprint> = names.iter().map(|name| suspect(name)).collect();
    known
        .admit_request(&suspects, at(ms))
        .ok()
        .map(|it| it.len())
}

/// Guards against callers that are refused for minutes: as a fleet starts, the part that all requests share has
/// the crashes of the crashing part before any request has completed.
#[rstest]
#[case::same_crashes(&[])]
#[case::one_more(&["d"])]
fn shared_part(#[case] more: &[&str], #[values(0.0, 1.0)] phase: f64) {
    let mut known = Quarantine::new(phase);
    crash(&mut known, &["crashing", "shared"], &["a", "b", "c"]);
    crash(&mut known, &["shared"], more);
    assert_eq!(admit(&mut known, &["one", "shared"], 4000), None);
    let due = 200 + MAX_DELAY_MS;
    assert_eq!(admit(&mut known, &["new", "shared", "crashing"], due), None);
    assert_eq!(admit(&mut known, &["one", "shared"], due), Some(1));
    assert_eq!(
        admit(&mut known, &["other", "shared"], due),
        None,
        "one retry at a time"
    );
    known.finished(suspect("shared"), at(due + 300));
    assert_eq!(admit(&mut known, &["other", "shared"], due + 300), Some(0));
    let later = due + 300 + MAX_DELAY_MS * 2;
    for names in [&["new", "shared", "crashing"][..], &["new", "crashing"]] {
        assert_eq!(admit(&mut known, names, later), None, "{names:?}");
    }
}

/// Guards against a part that crashes upstreams again and again because others had the same crashes.
#[rstest]
fn failed_retry() {
    let mut known = Quarantine::new(0.0);
    crash(&mut known, &["crashing", "shared"], &["a", "b", "c"]);
    let due = 200 + MAX_DELAY_MS;
    assert_eq!(admit(&mut known, &["crashing"], due), Some(1));
    known.ended(suspect("crashing"), "d", 0, at(due + 300));
    for ms in (due + 300..due + 100_000).step_by(1000) {
        assert_eq!(admit(&mut known, &["crashing"], ms), None, "{ms} ms");
    }
    assert_eq!(
        admit(&mut known, &["shared"], due + 300),
        Some(1),
        "the other is retried on its own"
    );
}

/// Guards against a retry that fails under another suspect and so blocks the shared part for minutes: a request
/// that is repeated as a whole is suspected too, and may have caused the crashes of the crashing part.
#[rstest]
fn repeated_request() {
    let mut known = Quarantine::new(0.0);
    let crashing = ["new", "shared", "crashing"];
    crash(
        &mut known,
        &["crashing", "shared", "stream"],
        &["a", "b", "c"],
    );
    let due = 200 + MAX_DELAY_MS;
    assert_eq!(admit(&mut known, &crashing, due), Some(2));
    assert_eq!(admit(&mut known, &["stream", "shared"], due), None);
    for name in crashing {
        known.ended(suspect(name), "d", 0, at(due + 300));
    }
    let next = due + 300 + MAX_DELAY_MS;
    assert_eq!(admit(&mut known, &crashing, next), None);
    assert_eq!(admit(&mut known, &["stream", "shared"], next), Some(2));
    for name in ["stream", "shared"] {
        known.finished(suspect(name), at(next + 300));
    }
    assert_eq!(
        admit(&mut known, &["stream", "shared"], next + 300),
        Some(0)
    );
    let later = next + 300 + MAX_DELAY_MS * 2;
    assert_eq!(admit(&mut known, &crashing, later), None);
}

/// Guards against a part that crashes an upstream with each of many others: their crashes are bounded.
#[rstest]
fn many_others() {
    let mut known = Quarantine::new(0.0);
    let others: Vec<String> = (0..10).map(|it| format!("other {it}")).collect();
    for other in &others {
        crash(&mut known, &["crashing", other], &["a", "b", "c"]);
    }
    let mut retries = 0;
    for ms in (0..60_000).step_by(100) {
        for other in &others {
            let names = ["crashing", other];
            if admit(&mut known, &names, ms).is_some() {
                retries += 1;
                for name in names {
                    known.ended(suspect(name), &format!("r-{retries}"), 0, at(ms + 50));
                }
            }
        }
    }
    assert!(retries <= 2, "{retries} retries crashed upstreams");
}

/// Guards against the release of a suspect by time alone, and against a retry that only some of its crashes
/// allow.
#[rstest]
fn own_crashes() {
    let mut known = Quarantine::new(0.0);
    crash(&mut known, &["crashing", "shared"], &["a", "b", "c"]);
    crash(&mut known, &["shared"], &["d", "e"]);
    assert_eq!(admit(&mut known, &["shared"], MAX_DELAY_MS * 2), None);
    let suspicion = known.suspicion(suspect("crashing"), at(MAX_DELAY_MS * 2));
    assert!(
        matches!(suspicion, Suspicion::Quarantined(_)),
        "{suspicion:?}"
    );
}

/// Guards against a retry by each entry: the one that is reported counts for all.
#[rstest]
fn retry_of_other_entry() {
    let (mut one, mut other) = (Quarantine::new(0.0), Quarantine::new(0.0));
    for known in [&mut one, &mut other] {
        crash(known, &["crashing", "shared"], &["a", "b", "c"]);
    }
    let due = 200 + MAX_DELAY_MS;
    assert_eq!(admit(&mut one, &["shared"], due), Some(1));
    let report = one.crash_report(suspect("shared"), at(due)).unwrap();
    assert!(other.merge(&report, at(due)));
    assert_eq!(admit(&mut other, &["shared"], due), None);
    let retried = at(due).plus(Duration::from_millis(MAX_DELAY_MS));
    let suspects = [suspect("shared")];
    assert!(other.admit_request(&suspects, retried).is_ok());
}
