//! What a follower believes of the answers of a registry.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use rstest::rstest;
use wagtailreel_fleet::{
    BootTime, Change, Follower, Keyed, Page, RegistryError, Snapshot, Step, Upstream, UpstreamState,
};

const HOLD: Duration = Duration::from_millis(2300);

fn at(ms: u64) -> BootTime {
    BootTime::new(Duration::from_millis(ms))
}

fn upstream(id: &str) -> Change {
    Change::Upstream(Box::new(Upstream {
        id: id.to_owned(),
        service: "scribes".to_owned(),
        addr: "10.0.0.1:80".parse().unwrap(),
        data_centre: "hall".to_owned(),
        slots: 4,
        state: UpstreamState::Ready,
        warmup_left: Duration::ZERO,
        models: Vec::new(),
    }))
}

fn keyed(offset: u64, change: Change) -> Keyed {
    Keyed { offset, change }
}

fn gone(id: &str) -> Change {
    Change::Gone(id.to_owned())
}

fn away() -> RegistryError {
    RegistryError::Away {
        reason: "no answer".to_owned(),
    }
}

/// Makes a follower that knows the upstreams `ids`.
fn knows(ids: &[&str]) -> Follower {
    let mut follower = Follower::new(HOLD);
    let items = ids.iter().zip(0..).map(|(id, at)| keyed(at, upstream(id)));
    let snapshot = Snapshot {
        items: items.collect(),
        end: 10,
    };
    follower.newest(snapshot, at(0), at(1));
    follower
}

fn page(items: Vec<Keyed>, next: u64) -> Page {
    Page { items, next }
}

#[rstest]
fn first_step() {
    assert_eq!(Follower::new(HOLD).step(), Step::Newest);
    assert_eq!(knows(&["a"]).step(), Step::Read(10));
}

#[rstest]
fn empty_page() {
    let mut follower = knows(&["a"]);
    let wait = Duration::from_millis(1500);
    let applied = follower.page(page(vec![], 10), at(1000), wait, at(2504));
    assert_eq!(applied.as_of, at(2500), "it speaks of the end of the wait");
    let early = follower.page(page(vec![], 10), at(3000), wait, at(3100));
    assert_eq!(early.as_of, at(3100), "but never of the future");
}

#[rstest]
fn full_page() {
    let mut follower = knows(&["a"]);
    let items = vec![keyed(10, upstream("b"))];
    let wait = Duration::from_millis(1500);
    let applied = follower.page(page(items, 11), at(1000), wait, at(1400));
    assert_eq!(applied.as_of, at(1000), "it may have been made at once");
    assert_eq!(follower.step(), Step::Read(11));
}

#[rstest]
fn plain_removal() {
    let mut follower = knows(&["a"]);
    let items = vec![keyed(10, gone("a"))];
    let applied = follower.page(page(items, 11), at(10), Duration::ZERO, at(11));
    assert_eq!(applied.changes, vec![gone("a")]);
}

#[rstest]
fn removal_after_outage() {
    let mut follower = knows(&["a", "b"]);
    assert!(follower.failed(&away()), "the first failure is news");
    assert!(!follower.failed(&away()));
    let items = vec![keyed(10, gone("a")), keyed(11, gone("b"))];
    let applied = follower.page(page(items, 12), at(5000), Duration::ZERO, at(5000));
    assert!(applied.is_back);
    assert_eq!(applied.changes, vec![], "they may be back in a moment");
    let items = vec![keyed(12, upstream("a"))];
    let applied = follower.page(page(items, 13), at(6000), Duration::ZERO, at(6000));
    assert_eq!(applied.changes.len(), 1);
    assert_eq!(follower.due(at(7000)), vec![]);
    assert_eq!(follower.due(at(7300)), vec![gone("b")]);
    assert_eq!(follower.due(at(9000)), vec![]);
}

#[rstest]
fn second_outage() {
    let mut follower = knows(&["a"]);
    follower.failed(&away());
    let items = vec![keyed(10, gone("a"))];
    follower.page(page(items, 11), at(5000), Duration::ZERO, at(5000));
    follower.failed(&away());
    assert_eq!(
        follower.due(at(9000)),
        vec![],
        "nothing is judged while away"
    );
    follower.page(page(vec![], 11), at(9500), Duration::ZERO, at(9500));
    assert_eq!(follower.due(at(11_000)), vec![], "the time begins anew");
    assert_eq!(follower.due(at(11_800)), vec![gone("a")]);
}

#[rstest]
fn deleted_records() {
    let mut follower = knows(&["a", "b"]);
    assert!(!follower.failed(&RegistryError::Expired { first: 40 }));
    assert!(!follower.is_away(), "the registry did answer");
    assert_eq!(follower.step(), Step::Newest);
    let snapshot = Snapshot {
        items: vec![keyed(45, upstream("b"))],
        end: 50,
    };
    let applied = follower.newest(snapshot, at(100), at(101));
    assert!(applied.changes.contains(&gone("a")), "it is missing");
    assert_eq!(follower.step(), Step::Read(50));
}

#[rstest]
fn older_record() {
    let mut follower = Follower::new(HOLD);
    let snapshot = Snapshot {
        items: vec![keyed(20, upstream("a"))],
        end: 15,
    };
    follower.newest(snapshot, at(0), at(1));
    let items = vec![keyed(15, upstream("a"))];
    let applied = follower.page(page(items, 16), at(2), Duration::ZERO, at(3));
    assert_eq!(
        applied.changes,
        vec![],
        "a later page of the snapshot had a newer one"
    );
}
