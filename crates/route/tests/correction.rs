//! The correction of predictions follows observed delays, and decays.

use std::time::{Duration, Instant};

use rstest::rstest;
use wagtailreel_route::direct::Correction;

const EXPECTED: Duration = Duration::from_millis(200);

/// Returns a correction that has observed first events 500 ms late for a while.
fn after_overload(is_queued: bool, now: Instant) -> Correction {
    let mut correction = Correction::default();
    for _ in 0..200 {
        correction.learn(
            is_queued,
            EXPECTED,
            EXPECTED + Duration::from_millis(500),
            now,
        );
    }
    correction
}

#[rstest]
fn follows_delay() {
    let now = Instant::now();
    let correction = after_overload(true, now);
    assert!(correction.apply(true, EXPECTED, now) >= Duration::from_millis(690));
    let other = correction.apply(false, EXPECTED, now);
    assert_eq!(
        other, EXPECTED,
        "requests that find a free slot have a correction of their own"
    );
}

/// If no request may wait any more, nothing new is observed of waiting requests, and the correction decays.
#[rstest]
fn decays() {
    let now = Instant::now();
    let correction = after_overload(true, now);
    let later = now + Duration::from_secs(12);
    assert!(correction.apply(true, EXPECTED, later) < Duration::from_millis(240));
}

#[rstest]
fn follows_down() {
    let now = Instant::now();
    let mut correction = after_overload(false, now);
    for _ in 0..400 {
        correction.learn(false, EXPECTED, EXPECTED, now);
    }
    assert!(correction.apply(false, EXPECTED, now) < Duration::from_millis(220));
}

/// One of many entries sees few requests, and its correction has to follow a change as fast as that of an
/// entry that sees all.
#[rstest]
#[case::few(150)]
#[case::many(20)]
fn few_requests(#[case] every_ms: u64) {
    let start = Instant::now();
    let mut correction = Correction::default();
    let late = EXPECTED + Duration::from_millis(500);
    let mut now = start;
    while now < start + Duration::from_secs(2) {
        correction.learn(true, EXPECTED, late, now);
        now += Duration::from_millis(every_ms);
    }
    assert!(correction.apply(true, EXPECTED, now) >= EXPECTED + Duration::from_millis(250));
}
