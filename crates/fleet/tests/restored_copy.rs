//! What a follower makes of a copy from which the registry came back.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use rstest::rstest;
use wagtailreel_fleet::{
    Applied, BootTime, Change, Era, Follower, KeptSetting, Keyed, NamedWeights, Page, Position,
    RegistryError, Restoration, Snapshot, Step, UpstreamState,
};
use wagtailreel_standins::ready_upstream as upstream;

const HOLD: Duration = Duration::from_millis(2300);

const LAPSE: Duration = Duration::from_millis(1500);

/// End of the log that [`knows`] has read, in era 1.
const READ_TO: u64 = 100;

fn at(ms: u64) -> BootTime {
    BootTime::new(Duration::from_millis(ms))
}

fn keyed(era: Era, items: &[(u64, Change)]) -> Vec<Keyed> {
    let keyed = |(offset, change): &(u64, Change)| Keyed {
        position: Position::new(era, *offset),
        change: change.clone(),
    };
    items.iter().map(keyed).collect()
}

fn snapshot(era: Era, end: u64, items: &[(u64, Change)]) -> Snapshot {
    Snapshot {
        items: keyed(era, items),
        end: Position::new(era, end),
        as_of: at(0),
        is_relayed: false,
    }
}

fn page(era: Era, next: u64, items: &[(u64, Change)]) -> Page {
    Page {
        items: keyed(era, items),
        next: Position::new(era, next),
        end: Position::new(era, next),
        as_of: at(0),
        is_relayed: false,
    }
}

/// Makes a follower that knows `items` in era 1.
fn knows(items: &[(u64, Change)]) -> Follower {
    let mut follower = Follower::new(HOLD, LAPSE);
    follower.apply_snapshot(snapshot(1, READ_TO, items), at(1));
    follower
}

/// Applies a snapshot of era 2 with the end 50.
fn restore(follower: &mut Follower, items: &[(u64, Change)], now: BootTime) -> Applied {
    follower.note_failure(&RegistryError::Restored { era: 2 });
    assert_eq!(follower.step(), Step::Newest);
    follower.apply_snapshot(snapshot(2, 50, items), now)
}

fn gone(id: &str) -> Change {
    Change::Gone(id.to_owned())
}

fn changed(id: &str, started: u64, state: UpstreamState) -> Change {
    let Change::Upstream(mut changed) = upstream(id) else {
        unreachable!("the record of an upstream");
    };
    changed.started = started;
    changed.state = state;
    Change::Upstream(changed)
}

/// Guards against stale answers that are applied, and against pages of offsets that were given out again.
#[rstest]
fn eras_of_answers() {
    let mut follower = knows(&[]);
    assert!(follower.check_era(1).is_ok());
    let stale = follower.check_era(0);
    assert!(matches!(
        stale,
        Err(RegistryError::Stale { era: 0, known: 1 })
    ));
    let restored = follower.check_era(2);
    assert!(matches!(restored, Err(RegistryError::Restored { era: 2 })));
    let is_outage = follower.note_failure(&RegistryError::Restored { era: 2 });
    assert!(!is_outage && !follower.is_unreachable());
    assert_eq!(follower.step(), Step::Newest);
    assert!(follower.check_era(2).is_ok(), "a snapshot of the new era");
}

/// Guards against a first era that counts as a restoration.
#[rstest]
fn first_era() {
    let mut follower = Follower::new(HOLD, LAPSE);
    let applied = follower.apply_snapshot(snapshot(7, 9, &[(3, upstream("a"))]), at(1));
    assert_eq!(applied.restored, None);
    assert_eq!(follower.step(), Step::Read(Position::new(7, 9)));
}

/// Guards against an upstream that said that it leaves and gets requests again. A restart with the same id is new.
#[rstest]
#[case::same_start(5, UpstreamState::Ready, false)]
#[case::older_start(4, UpstreamState::Ready, false)]
#[case::draining(5, UpstreamState::Draining, true)]
#[case::restarted(6, UpstreamState::Ready, true)]
fn draining_upstream(#[case] started: u64, #[case] state: UpstreamState, #[case] is_applied: bool) {
    let mut follower = knows(&[(90, changed("a", 5, UpstreamState::Draining))]);
    let listed = changed("a", started, state);
    let applied = restore(&mut follower, &[(20, listed.clone())], at(10));
    let expected = if is_applied { vec![listed] } else { vec![] };
    assert_eq!(applied.changes, expected);
}

/// Guards against an upstream that stays out although its copy shows nothing later than what is known.
#[rstest]
fn ready_upstream() {
    let mut follower = knows(&[(90, upstream("a"))]);
    let applied = restore(&mut follower, &[(20, upstream("a"))], at(10));
    assert_eq!(applied.changes, vec![upstream("a")]);
    let leaves = changed("a", 0, UpstreamState::Draining);
    let applied = follower.apply_page(page(2, 51, &[(50, leaves.clone())]), at(20));
    assert_eq!(applied.changes, vec![leaves], "at a lower offset than 90");
}

/// Guards against a removed upstream that a copy brings back, and one that registers again and is not used.
#[rstest]
fn removed_upstream() {
    let mut follower = knows(&[(90, upstream("a"))]);
    let removal = follower.apply_page(page(1, 101, &[(100, gone("a"))]), at(5));
    assert_eq!(removal.changes, vec![gone("a")]);
    let applied = restore(&mut follower, &[(20, upstream("a"))], at(10));
    assert_eq!(applied.changes, vec![]);
    let applied = follower.apply_page(page(2, 51, &[(50, upstream("a"))]), at(20));
    assert_eq!(applied.changes, vec![upstream("a")]);
}

/// Guards against a new registration, at an offset that no era had before, that counts as one of the copy.
#[rstest]
fn registered_since() {
    let mut follower = knows(&[(90, upstream("a"))]);
    follower.apply_page(page(1, 101, &[(100, gone("a"))]), at(5));
    follower.note_failure(&RegistryError::Restored { era: 2 });
    let grown = snapshot(2, 120, &[(110, upstream("a"))]);
    let applied = follower.apply_snapshot(grown, at(10));
    assert_eq!(applied.changes, vec![upstream("a")]);
}

/// Guards against a removal that was held back after an outage and is undone by a copy.
#[rstest]
fn held_removal() {
    let mut follower = knows(&[(90, upstream("a"))]);
    follower.note_failure(&RegistryError::Refused { status: 503 });
    follower.apply_page(page(1, 101, &[(100, gone("a"))]), at(5000));
    let applied = restore(&mut follower, &[(20, upstream("a"))], at(6000));
    assert_eq!(applied.changes, vec![]);
    assert_eq!(follower.due_changes(at(8200)), vec![], "the hold restarts");
    assert_eq!(follower.due_changes(at(8300)), vec![gone("a")]);
}

/// Guards against upstreams that are removed because the copy is older than their registration.
#[rstest]
fn missing_upstream() {
    let mut follower = knows(&[(80, upstream("a")), (90, upstream("b"))]);
    let applied = restore(&mut follower, &[], at(1000));
    assert_eq!(applied.changes, vec![]);
    let applied = follower.apply_page(page(2, 51, &[(50, upstream("a"))]), at(2000));
    assert_eq!(applied.changes, vec![upstream("a")]);
    assert_eq!(follower.due_changes(at(3299)), vec![]);
    assert_eq!(follower.due_changes(at(3300)), vec![gone("b")]);
}

/// Guards against an era that is skipped, since it rose twice, or twice before all is registered again.
#[rstest]
#[case::between_reads(false)]
#[case::after_each_other(true)]
fn risen_twice(#[case] is_read_between: bool) {
    let mut follower = knows(&[(80, upstream("a")), (90, upstream("b"))]);
    follower.apply_page(page(1, 101, &[(100, gone("b"))]), at(5));
    if is_read_between {
        restore(&mut follower, &[(20, upstream("b"))], at(1000));
    }
    follower.note_failure(&RegistryError::Restored { era: 3 });
    // At an offset that was read in era 1, and not in era 2.
    let copy = [(15, upstream("c")), (60, upstream("b"))];
    let applied = follower.apply_snapshot(snapshot(3, 70, &copy), at(2000));
    assert_eq!(applied.changes, vec![upstream("c")]);
    assert_eq!(follower.step(), Step::Read(Position::new(3, 70)));
    assert_eq!(follower.due_changes(at(4299)), vec![], "the hold restarts");
    assert_eq!(follower.due_changes(at(4300)), vec![gone("a")]);
}

/// Guards against snapshots that are read again and again, as the log seems to grow faster than it is read.
#[rstest]
fn burst_before() {
    let mut follower = knows(&[]);
    let mut burst = page(1, 101, &[(100, upstream("a"))]);
    burst.end = Position::new(1, 400);
    follower.apply_page(burst, at(5));
    restore(&mut follower, &[], at(10));
    assert_eq!(follower.step(), Step::Read(Position::new(2, 50)));
}

/// Guards against a restoration that nothing tells of, and lost settings that nobody writes again.
#[rstest]
#[case::lower(Some(3))]
#[case::missing(None)]
fn lower_version(#[case] in_registry: Option<u64>) {
    let named = |version| {
        let model = "epitaph".to_owned();
        Change::Weights(NamedWeights { model, version })
    };
    let mut follower = knows(&[(90, named(5))]);
    let copy: Vec<_> = in_registry.map(|it| (20, named(it))).into_iter().collect();
    let applied = restore(&mut follower, &copy, at(10));
    assert_eq!(applied.kept_settings, 1);
    let restored = Restoration {
        before: Position::new(1, READ_TO),
        after: Position::new(2, 50),
        kept: vec![KeptSetting {
            key: "weights/epitaph".to_owned(),
            version: 5,
            in_registry,
        }],
    };
    assert_eq!(applied.restored, Some(restored));
    let applied = follower.apply_page(page(2, 51, &[(50, named(5))]), at(20));
    assert_eq!(applied.kept_settings, 0, "written again");
    assert_eq!(applied.restored, None);
}
