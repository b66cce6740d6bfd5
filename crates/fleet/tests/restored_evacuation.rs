//! Evacuations after the registry came back from an older copy.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use rstest::rstest;
use wagtailreel_fleet::{
    BootTime, Change, Era, Follower, Keyed, Page, Position, RegistryError, Snapshot,
};

/// Time of the restoration in milliseconds.
const RESTORED: u64 = 1_000;

/// Time at which a copy that was held back is in force.
const HELD_UNTIL: u64 = RESTORED + 8_000;

fn at(ms: u64) -> BootTime {
    BootTime::new(Duration::from_millis(ms))
}

fn evacuation(is_evacuated: bool) -> Change {
    Change::Evacuation {
        data_centre: "quay".to_owned(),
        is_evacuated,
    }
}

fn unreadable() -> Change {
    Change::UnreadableEvacuation {
        data_centre: "quay".to_owned(),
        reason: "no object".to_owned(),
    }
}

fn keyed(era: Era, items: Vec<(u64, Change)>) -> Vec<Keyed> {
    let keyed = |(offset, change)| Keyed {
        position: Position::new(era, offset),
        change,
    };
    items.into_iter().map(keyed).collect()
}

/// Applies changes to a state; returns whether the data centre is evacuated.
fn state(before: bool, changes: Vec<Change>) -> bool {
    let mut state = before;
    for change in changes {
        if let Change::Evacuation { is_evacuated, .. } = change {
            state = is_evacuated;
        }
    }
    state
}

/// A follower, and whether it says that the data centre is evacuated.
struct Followed {
    follower: Follower,
    is_evacuated: bool,
}

impl Followed {
    /// Follows records of era 1.
    fn new(records: Vec<(u64, Change)>) -> Self {
        let mut follower = Follower::new(Duration::ZERO, Duration::ZERO);
        let mut followed = Self {
            is_evacuated: false,
            follower: follower.clone(),
        };
        let start = Snapshot {
            items: vec![],
            end: Position::new(1, 0),
            as_of: at(0),
            is_relayed: false,
        };
        follower.apply_snapshot(start, at(1));
        followed.follower = follower;
        followed.read(1, 100, records, at(2));
        followed
    }

    fn read(&mut self, era: Era, next: u64, items: Vec<(u64, Change)>, now: BootTime) {
        let page = Page {
            items: keyed(era, items),
            next: Position::new(era, next),
            end: Position::new(era, next),
            as_of: at(0),
            is_relayed: false,
        };
        let applied = self.follower.apply_page(page, now);
        self.is_evacuated = state(self.is_evacuated, applied.changes);
    }

    fn snapshot(&mut self, era: Era, end: u64, items: Vec<(u64, Change)>, now: BootTime) {
        self.follower
            .note_failure(&RegistryError::Restored { era: 2 });
        let snapshot = Snapshot {
            items: keyed(era, items),
            end: Position::new(era, end),
            as_of: at(0),
            is_relayed: false,
        };
        let applied = self.follower.apply_snapshot(snapshot, now);
        self.is_evacuated = state(self.is_evacuated, applied.changes);
    }

    /// Returns the state at `now`.
    fn at(&mut self, now: BootTime) -> bool {
        let due = self.follower.due_changes(now);
        self.is_evacuated = state(self.is_evacuated, due);
        self.is_evacuated
    }
}

/// Guards against requests to an evacuated data centre whose record the copy lacks, until the operator writes it
/// again, and against a withdrawn evacuation that the copy puts in force for that long. `states` are those just after
/// the restoration and after the hold.
#[rstest]
#[case::lost(vec![(90, evacuation(true))], vec![], [true, false])]
#[case::still_listed(vec![(90, evacuation(true))], vec![(20, evacuation(true))], [true, true])]
#[case::unreadable(vec![(90, evacuation(true))], vec![(20, unreadable())], [true, true])]
#[case::withdrawal_lost(
    vec![(20, evacuation(true)), (90, evacuation(false))],
    vec![(20, evacuation(true))],
    [false, true]
)]
#[case::evacuated_after_restoration(
    vec![(20, evacuation(true)), (30, evacuation(false))],
    vec![(40, evacuation(true))],
    [true, true]
)]
#[case::unknown_before(vec![], vec![(20, evacuation(true))], [true, true])]
fn restored_copy(
    #[case] before: Vec<(u64, Change)>,
    #[case] copy: Vec<(u64, Change)>,
    #[case] states: [bool; 2],
) {
    let mut followed = Followed::new(before);
    followed.snapshot(2, 50, copy, at(RESTORED));
    assert_eq!(followed.at(at(HELD_UNTIL - 1)), states[0]);
    assert_eq!(followed.at(at(HELD_UNTIL)), states[1]);
}

/// Guards against a copy that comes into force although the operator has written again meanwhile.
#[rstest]
#[case::evacuation(vec![(90, evacuation(true))], vec![], true)]
#[case::withdrawal(
    vec![(20, evacuation(true)), (90, evacuation(false))],
    vec![(20, evacuation(true))],
    false
)]
fn written_again(
    #[case] before: Vec<(u64, Change)>,
    #[case] copy: Vec<(u64, Change)>,
    #[case] is_evacuated: bool,
) {
    let mut followed = Followed::new(before);
    followed.snapshot(2, 50, copy, at(RESTORED));
    followed.read(2, 61, vec![(60, evacuation(is_evacuated))], at(5_000));
    assert_eq!(followed.at(at(5_000)), is_evacuated);
    assert_eq!(followed.at(at(HELD_UNTIL)), is_evacuated);
}

/// Guards against a change after the restoration that waits for the hold.
#[rstest]
fn changed_at_once() {
    let mut followed = Followed::new(vec![(90, evacuation(true))]);
    followed.snapshot(2, 50, vec![(20, evacuation(true))], at(RESTORED));
    followed.read(2, 61, vec![(60, evacuation(false))], at(2_000));
    assert!(!followed.at(at(2_000)), "withdrawn");
}

/// Guards against a second snapshot of the same era, as in a burst, that ends the hold early or repeats it.
#[rstest]
#[case::lost(vec![(90, evacuation(true))], vec![], [true, false])]
#[case::withdrawal_lost(
    vec![(20, evacuation(true)), (90, evacuation(false))],
    vec![(20, evacuation(true))],
    [false, true]
)]
fn second_snapshot(
    #[case] before: Vec<(u64, Change)>,
    #[case] copy: Vec<(u64, Change)>,
    #[case] states: [bool; 2],
) {
    let mut followed = Followed::new(before);
    followed.snapshot(2, 50, copy.clone(), at(RESTORED));
    followed.snapshot(2, 70, copy, at(4_000));
    assert_eq!(followed.at(at(HELD_UNTIL - 1)), states[0]);
    assert_eq!(followed.at(at(HELD_UNTIL)), states[1]);
}

/// Guards against a hold that nobody ends, since the follower waits only for the next read.
#[rstest]
fn hold_is_due() {
    let mut followed = Followed::new(vec![(90, evacuation(true))]);
    followed.snapshot(2, 50, vec![], at(RESTORED));
    let due = followed.follower.next_due(at(RESTORED));
    assert_eq!(due, Some(Duration::from_secs(8)));
    followed.follower.due_changes(at(HELD_UNTIL));
    assert_eq!(followed.follower.next_due(at(HELD_UNTIL)), None);
}
