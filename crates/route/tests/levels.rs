//! The exchange of admission levels between entries by agents.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rstest::rstest;
use wagtailreel_route::direct::{Admission, Class, Offer, ReportedLevels};

fn entry(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

fn decide(admission: &mut Admission, now: Instant) {
    let offer = Offer {
        class: Class {
            rank: 0,
            is_late: false,
        },
        engine_time: Duration::from_millis(100),
        load: 1.0,
        draw: 0.0,
    };
    admission.decide(offer, now);
}

/// Each entry counts once, by its last level, and not after 2 s without one.
#[rstest]
fn mean_of_recent() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let mut levels = ReportedLevels::default();
    assert_eq!(levels.mean(start), None);
    levels.record(entry(1), 900, at(0));
    levels.record(entry(2), 200, at(1000));
    levels.record(entry(2), 500, at(1500));
    assert_eq!(levels.mean(at(1900)), Some(700));
    assert_eq!(levels.mean(at(2100)), Some(500), "the first one is too old");
    assert_eq!(levels.mean(at(4000)), None);
}

/// A sender that reports nonsense does not move the mean out of range.
#[rstest]
fn level_above_one() {
    let now = Instant::now();
    let mut levels = ReportedLevels::default();
    levels.record(entry(1), u16::MAX, now);
    assert_eq!(levels.mean(now), Some(1000));
}

/// An entry that starts adopts the mean at once, so that its callers are not served unlike others.
#[rstest]
fn adopted_at_start() {
    let now = Instant::now();
    let mut admission = Admission::new(now);
    admission.receive_mean(400, now);
    assert!((admission.level(now) - 0.4).abs() < 1e-9);
}

/// Later means pull the level, whether many or few agents report them, and no longer than they are fresh.
#[rstest]
#[case::few_answers(500)]
#[case::many_answers(10)]
fn moves_towards_mean(#[case] interval: u64) {
    let start = Instant::now();
    let mut admission = Admission::new(start);
    admission.receive_mean(1000, start);
    let mut now = start;
    while now < start + Duration::from_secs(2) {
        admission.receive_mean(500, now);
        now += Duration::from_millis(interval);
    }
    let level = admission.level(now);
    assert!((0.5..0.75).contains(&level), "{level}");
    let level = admission.level(now + Duration::from_secs(6));
    assert!(
        level > 0.99,
        "without means the entry decides alone: {level}"
    );
}

/// An entry that decides nothing has no level to report: where the part is off, datagrams stay as they are.
#[rstest]
fn reported_while_deciding() {
    let now = Instant::now();
    let mut admission = Admission::new(now);
    assert_eq!(admission.reported_level(now), None);
    decide(&mut admission, now);
    assert_eq!(admission.reported_level(now), Some(1000));
    assert_eq!(admission.reported_level(now + Duration::from_secs(3)), None);
}
