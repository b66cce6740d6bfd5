//! Changes that a follower derives from the answers of a registry.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use rstest::rstest;
use wagtailreel_fleet::{
    BootTime, Change, Follower, Keyed, Page, Position, RegistryError, Snapshot, Step, UpstreamState,
};
use wagtailreel_standins::ready_upstream as upstream;

const HOLD: Duration = Duration::from_millis(2300);

/// Shortest outage in which the registration of a running upstream can lapse.
const LAPSE: Duration = Duration::from_millis(1500);

fn at(ms: u64) -> BootTime {
    BootTime::new(Duration::from_millis(ms))
}

fn place(offset: u64) -> Position {
    Position::new(0, offset)
}

fn keyed(offset: u64, change: Change) -> Keyed {
    let position = place(offset);
    Keyed { position, change }
}

fn gone(id: &str) -> Change {
    Change::Gone(id.to_owned())
}

fn unreachable_error() -> RegistryError {
    RegistryError::Unreachable {
        reason: "no answer".to_owned(),
    }
}

/// Makes a follower that knows the upstreams `ids`.
fn knows(ids: &[&str]) -> Follower {
    let mut follower = Follower::new(HOLD, LAPSE);
    let items = ids.iter().zip(0..).map(|(id, at)| keyed(at, upstream(id)));
    let snapshot = Snapshot {
        items: items.collect(),
        end: place(10),
        as_of: at(0),
        is_relayed: false,
    };
    follower.apply_snapshot(snapshot, at(1));
    follower
}

fn page(items: Vec<Keyed>, next: u64) -> Page {
    Page {
        items,
        next: place(next),
        end: place(next),
        as_of: at(0),
        is_relayed: false,
    }
}

#[rstest]
fn first_step() {
    assert_eq!(Follower::new(HOLD, LAPSE).step(), Step::Newest);
    assert_eq!(knows(&["a"]).step(), Step::Read(place(10)));
}

#[rstest]
fn empty_page() {
    let wait = Duration::from_millis(1500);
    let as_of = Page::answer_as_of(true, at(1000), wait, at(2504));
    assert_eq!(
        as_of,
        at(2500),
        "the answer holds as of the end of the wait"
    );
    let early = Page::answer_as_of(true, at(3000), wait, at(3100));
    assert_eq!(early, at(3100), "never as of the future");
}

#[rstest]
fn full_page() {
    let wait = Duration::from_millis(1500);
    let as_of = Page::answer_as_of(false, at(1000), wait, at(1400));
    assert_eq!(as_of, at(1000), "the answer may have been made at once");
    let mut follower = knows(&["a"]);
    let mut full = page(vec![keyed(10, upstream("b"))], 11);
    full.as_of = as_of;
    assert_eq!(follower.apply_page(full, at(1400)).as_of, Some(at(1000)));
    assert_eq!(follower.step(), Step::Read(place(11)));
}

#[rstest]
fn more_records() {
    let mut follower = knows(&["a"]);
    let mut full = page(vec![keyed(10, upstream("b"))], 11);
    full.end = place(40);
    let applied = follower.apply_page(full, at(1400));
    assert_eq!(applied.changes.len(), 1);
    assert_eq!(applied.as_of, None, "there is more to read");
    assert_eq!(
        follower.step(),
        Step::Newest,
        "only the newest record of each key matters"
    );
}

#[rstest]
fn plain_removal() {
    let mut follower = knows(&["a"]);
    let items = vec![keyed(10, gone("a"))];
    let applied = follower.apply_page(page(items, 11), at(11));
    assert_eq!(applied.changes, vec![gone("a")]);
}

#[rstest]
fn removal_after_outage() {
    let mut follower = knows(&["a", "b"]);
    assert!(
        follower.note_failure(&unreachable_error()),
        "the first failure is reported"
    );
    assert!(!follower.note_failure(&unreachable_error()));
    let items = vec![keyed(10, gone("a")), keyed(11, gone("b"))];
    let applied = follower.apply_page(page(items, 12), at(5000));
    assert!(applied.has_recovered);
    assert_eq!(applied.changes, vec![], "they may register again");
    let items = vec![keyed(12, upstream("a"))];
    let applied = follower.apply_page(page(items, 13), at(6000));
    assert_eq!(applied.changes.len(), 1);
    assert_eq!(follower.due_changes(at(7000)), vec![]);
    assert_eq!(follower.due_changes(at(7300)), vec![gone("b")]);
    assert_eq!(follower.due_changes(at(9000)), vec![]);
}

/// After an outage shorter than `LAPSE` removals are applied at once: no registration of a running upstream
/// can have lapsed in that time.
#[rstest]
#[case::short(1400, vec![gone("a")])]
#[case::long(1600, vec![])]
fn short_outage(#[case] back_at: u64, #[case] changes: Vec<Change>) {
    let mut follower = knows(&["a"]);
    follower.note_failure(&unreachable_error());
    let mut page = page(vec![keyed(10, gone("a"))], 11);
    page.as_of = at(back_at);
    let applied = follower.apply_page(page, at(back_at));
    assert!(applied.has_recovered);
    assert_eq!(applied.changes, changes);
}

#[rstest]
fn second_outage() {
    let mut follower = knows(&["a"]);
    follower.note_failure(&unreachable_error());
    let items = vec![keyed(10, gone("a"))];
    follower.apply_page(page(items, 11), at(5000));
    follower.note_failure(&unreachable_error());
    assert_eq!(
        follower.due_changes(at(9000)),
        vec![],
        "no removal is applied while the registry is unreachable"
    );
    follower.apply_page(page(vec![], 11), at(9500));
    assert_eq!(
        follower.due_changes(at(11_000)),
        vec![],
        "the hold restarts"
    );
    assert_eq!(follower.due_changes(at(11_800)), vec![gone("a")]);
}

#[rstest]
fn deleted_records() {
    let mut follower = knows(&["a", "b"]);
    assert!(!follower.note_failure(&RegistryError::Expired { first: 40 }));
    assert!(!follower.is_unreachable(), "the registry did answer");
    assert_eq!(follower.step(), Step::Newest);
    let snapshot = Snapshot {
        items: vec![keyed(45, upstream("b"))],
        end: place(50),
        as_of: at(100),
        is_relayed: false,
    };
    let applied = follower.apply_snapshot(snapshot, at(101));
    assert!(applied.changes.contains(&gone("a")), "the snapshot lacks a");
    assert_eq!(follower.step(), Step::Read(place(50)));
}

#[rstest]
fn older_record() {
    let mut follower = Follower::new(HOLD, LAPSE);
    let snapshot = Snapshot {
        items: vec![keyed(20, upstream("a"))],
        end: place(15),
        as_of: at(0),
        is_relayed: false,
    };
    follower.apply_snapshot(snapshot, at(1));
    let items = vec![keyed(15, upstream("a"))];
    let applied = follower.apply_page(page(items, 16), at(3));
    assert_eq!(applied.changes, vec![], "the snapshot has a newer record");
}

/// An upstream that leaves during an outage gets no requests while missing ones are kept.
#[rstest]
#[case::page(false)]
#[case::snapshot(true)]
fn leaving_not_held(#[case] is_snapshot: bool) {
    let mut follower = knows(&["a", "b"]);
    follower.note_failure(&unreachable_error());
    let Change::Upstream(mut leaving) = upstream("a") else {
        panic!("the record of an upstream");
    };
    leaving.state = UpstreamState::Draining;
    let leaving = Change::Upstream(leaving);
    let back = at(5_000);
    let applied = if is_snapshot {
        let snapshot = Snapshot {
            items: vec![keyed(11, leaving.clone())],
            end: place(12),
            as_of: back,
            is_relayed: false,
        };
        follower.apply_snapshot(snapshot, back)
    } else {
        let items = vec![keyed(10, gone("b")), keyed(11, leaving.clone())];
        follower.apply_page(page(items, 12), back)
    };
    assert!(applied.has_recovered);
    assert_eq!(applied.changes, [leaving], "the removal of b is held back");
}
