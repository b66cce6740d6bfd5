//! Evacuations that a follower derives from the answers of a registry.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use rstest::rstest;
use wagtailreel_fleet::{
    BootTime, Change, Follower, Keyed, Page, Position, RegistryError, Snapshot,
};

fn at() -> BootTime {
    BootTime::new(Duration::from_millis(1))
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

fn keyed(items: Vec<(u64, Change)>) -> Vec<Keyed> {
    let keyed = |(offset, change)| Keyed {
        position: Position::new(0, offset),
        change,
    };
    items.into_iter().map(keyed).collect()
}

/// An answer of the registry.
#[derive(Clone, Debug)]
enum Answer {
    /// The newest records, with the end of the log.
    Newest(u64, Vec<(u64, Change)>),
    /// Records up to an offset.
    Page(u64, Vec<(u64, Change)>),
}

use Answer::{Newest, Page as Read};

/// Applies the answers; returns whether the data centre is evacuated after each, as the changes say.
fn states(answers: Vec<Answer>) -> Vec<bool> {
    let mut follower = Follower::new(Duration::ZERO, Duration::ZERO);
    let mut state = false;
    let mut states = Vec::new();
    for answer in answers {
        let applied = match answer {
            Newest(end, items) => {
                let snapshot = Snapshot {
                    items: keyed(items),
                    end: Position::new(0, end),
                    as_of: at(),
                    is_relayed: false,
                };
                follower.apply_snapshot(snapshot, at())
            }
            Read(next, items) => {
                let page = Page {
                    items: keyed(items),
                    next: Position::new(0, next),
                    end: Position::new(0, next),
                    as_of: at(),
                    is_relayed: false,
                };
                follower.apply_page(page, at())
            }
        };
        for change in applied.changes {
            if let Change::Evacuation { is_evacuated, .. } = change {
                state = is_evacuated;
            }
        }
        states.push(state);
    }
    states
}

/// Guards against an evacuation that is lost, or outlives its withdrawal.
#[rstest]
#[case::set_and_deleted(
    vec![Read(6, vec![(5, evacuation(true))]), Read(7, vec![(6, evacuation(false))])],
    &[true, false]
)]
#[case::known_at_start(vec![Newest(9, vec![(5, evacuation(true))]), Read(9, vec![])], &[true, true])]
#[case::named_again(
    vec![
        Read(6, vec![(5, evacuation(true))]),
        Read(7, vec![(6, evacuation(false))]),
        Read(8, vec![(7, evacuation(true))]),
    ],
    &[true, false, true]
)]
#[case::deleted_while_away(vec![Newest(6, vec![(5, evacuation(true))]), Newest(9, vec![])], &[true, false])]
#[case::named_again_while_away(
    vec![Newest(6, vec![(5, evacuation(true))]), Newest(9, vec![(8, evacuation(true))])],
    &[true, true]
)]
#[case::withdrawal_undone_by_old_page(
    vec![
        Newest(6, vec![(5, evacuation(true))]),
        Newest(9, vec![]),
        Read(9, vec![(5, evacuation(true))]),
    ],
    &[true, false, false]
)]
#[case::named_after_missing_in_snapshot(
    vec![
        Newest(6, vec![(5, evacuation(true))]),
        Newest(9, vec![]),
        Read(10, vec![(9, evacuation(true))]),
    ],
    &[true, false, true]
)]
fn records(#[case] answers: Vec<Answer>, #[case] expected: &[bool]) {
    assert_eq!(states(answers), expected);
}

/// Guards against a snapshot that is older than the record, for example one that a neighbour relays.
#[rstest]
#[case::lacks_newer_record(vec![Read(13, vec![(12, evacuation(true))]), Newest(12, vec![])], &[true, true])]
#[case::lists_withdrawn_record(
    vec![Read(13, vec![(12, evacuation(false))]), Newest(11, vec![(5, evacuation(true))])],
    &[false, false]
)]
#[case::just_covers_record(vec![Read(13, vec![(12, evacuation(true))]), Newest(13, vec![])], &[true, false])]
fn old_snapshot(#[case] answers: Vec<Answer>, #[case] expected: &[bool]) {
    assert_eq!(states(answers), expected);
}

/// Guards against the pages of a snapshot being taken for one state: its end is 10, the end at its first page.
#[rstest]
#[case::set_between_pages(
    vec![Newest(10, vec![(10, evacuation(true))]), Read(11, vec![(10, evacuation(true))])],
    &[true, true]
)]
#[case::deleted_between_pages(
    vec![
        Newest(6, vec![(5, evacuation(true))]),
        Newest(10, vec![]),
        Read(11, vec![(10, evacuation(false))]),
    ],
    &[true, false, false]
)]
#[case::deleted_and_set_between_pages(
    vec![
        Newest(6, vec![(5, evacuation(true))]),
        Newest(10, vec![(11, evacuation(true))]),
        Read(12, vec![(10, evacuation(false)), (11, evacuation(true))]),
    ],
    &[true, true, true]
)]
fn pages_of_snapshot(#[case] answers: Vec<Answer>, #[case] expected: &[bool]) {
    assert_eq!(states(answers), expected);
}

/// Guards against an unreadable record that sets or withdraws an evacuation.
#[rstest]
#[case::in_page(vec![Read(6, vec![(5, evacuation(true))]), Read(7, vec![(6, unreadable())])], &[true, true])]
#[case::in_snapshot(vec![Read(6, vec![(5, evacuation(true))]), Newest(9, vec![(6, unreadable())])], &[true, true])]
#[case::at_start(vec![Newest(9, vec![(6, unreadable())])], &[false])]
#[case::deleted_later(
    vec![
        Newest(9, vec![(5, evacuation(true))]),
        Newest(12, vec![(10, unreadable())]),
        Newest(14, vec![]),
    ],
    &[true, true, false]
)]
fn unreadable_record(#[case] answers: Vec<Answer>, #[case] expected: &[bool]) {
    assert_eq!(states(answers), expected);
}

/// Guards against a process that is ready, as it has a configuration, before it knows of the evacuation that the
/// same snapshot lists, and against an outage of the registry that withdraws one.
#[rstest]
fn order_and_outage() {
    let mut follower = Follower::new(Duration::ZERO, Duration::ZERO);
    let weights = Change::Weights(wagtailreel_fleet::NamedWeights {
        model: "epitaph".to_owned(),
        version: 1,
    });
    let snapshot = Snapshot {
        items: keyed(vec![(3, weights), (5, evacuation(true))]),
        end: Position::new(0, 6),
        as_of: at(),
        is_relayed: true,
    };
    let changes = follower.apply_snapshot(snapshot, at()).changes;
    assert_eq!(changes[0], evacuation(true));
    let reason = "no answer".to_owned();
    follower.note_failure(&RegistryError::Unreachable { reason });
    assert_eq!(follower.due_changes(at()), vec![]);
}
