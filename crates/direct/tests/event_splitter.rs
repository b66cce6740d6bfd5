//! The event splitter yields complete events wherever frames and upstreams end.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use bytes::Bytes;
use proptest::prelude::*;
use rstest::rstest;
use wagtailreel_direct::{EventSplitter, Split};

fn event(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

fn push(splitter: &mut EventSplitter, text: &str) -> Option<String> {
    match splitter.push(&Bytes::from(text.to_owned())) {
        Split::Events(events) => Some(String::from_utf8(events.to_vec()).unwrap()),
        Split::Broken => None,
    }
}

#[rstest]
fn whole_event() {
    let mut splitter = EventSplitter::new(None);
    assert_eq!(push(&mut splitter, &event(1)), Some(event(1)));
    assert_eq!(splitter.last(), Some(1));
    assert!(!splitter.is_mid_event());
}

#[rstest]
fn half_event() {
    let mut splitter = EventSplitter::new(None);
    assert_eq!(push(&mut splitter, "id: 1\ndata: pie"), Some(String::new()));
    assert!(splitter.is_mid_event());
    assert_eq!(push(&mut splitter, "ce 1\n\nid: 2\n"), Some(event(1)));
    assert_eq!(splitter.last(), Some(1));
}

#[rstest]
fn resumed_stream() {
    let mut splitter = EventSplitter::new(None);
    push(&mut splitter, &event(1));
    push(&mut splitter, "id: 2\ndata: pi");
    splitter.restart();
    assert_eq!(
        push(&mut splitter, &event(1)),
        Some(String::new()),
        "a repeat"
    );
    assert_eq!(push(&mut splitter, &event(2)), Some(event(2)));
}

#[rstest]
fn missing_event() {
    let mut splitter = EventSplitter::new(Some(4));
    assert_eq!(push(&mut splitter, &event(6)), None);
}

#[rstest]
fn event_without_id() {
    let mut splitter = EventSplitter::new(Some(4));
    let text = "data: end\n\n";
    assert_eq!(push(&mut splitter, text), Some(text.to_owned()));
    assert_eq!(splitter.last(), Some(4));
}

#[rstest]
fn carriage_returns() {
    let mut splitter = EventSplitter::new(None);
    let text = "id: 1\r\ndata: x\r\n\r\n";
    assert_eq!(push(&mut splitter, text), Some(text.to_owned()));
    assert!(!splitter.is_mid_event());
}

#[rstest]
fn event_without_end() {
    let mut splitter = EventSplitter::new(None);
    let line = "data: x".repeat(1 << 16);
    let ends = (0..8).any(|_| push(&mut splitter, &line).is_none());
    assert!(ends, "memory is bounded");
}
/// Guards against sound events that count as passed on and are not returned, since a break came with them.
#[rstest]
#[case::gap(&event(4))]
#[case::endless(&"data: x".repeat(1 << 16))]
fn sound_before_break(#[case] spoilt: &str) {
    let mut splitter = EventSplitter::new(None);
    let text = event(1) + &event(2) + spoilt;
    assert_eq!(push(&mut splitter, &text), Some(event(1) + &event(2)));
    assert_eq!(splitter.last(), Some(2));
    assert!(splitter.is_broken());
    assert_eq!(push(&mut splitter, &event(3)), None, "of a broken run");
    splitter.restart();
    assert_eq!(push(&mut splitter, &event(3)), Some(event(3)));
}
/// Guards against an overflow at the last id that a caller may name.
#[rstest]
fn highest_id() {
    let mut splitter = EventSplitter::new(Some(u64::MAX));
    assert_eq!(push(&mut splitter, &event(u64::MAX)), None);
    assert!(splitter.is_broken());
}

/// Guards against an event that is taken for a repeat although its run has passed it.
#[rstest]
#[case::same(5)]
#[case::lower(2)]
#[case::first(1)]
fn id_not_increasing(#[case] id: u64) {
    let mut splitter = EventSplitter::new(Some(3));
    push(&mut splitter, &(event(4) + &event(5)));
    assert_eq!(push(&mut splitter, &event(id)), None);
}

proptest! {
    /// The caller gets each event once, for any frames and wherever upstreams break off.
    #[test]
    fn any_frames(frame_sizes in prop::collection::vec(1usize..40, 1..60), breaks in 0u64..4) {
        let all: String = (1..=12).map(event).collect();
        let mut splitter = EventSplitter::new(None);
        let mut got = String::new();
        let mut sizes = frame_sizes.iter().cycle();
        for round in 0..=breaks {
            splitter.restart();
            let from = splitter.last().unwrap_or(0);
            let rest: String = (from + 1..=12).map(event).collect();
            // All upstreams but the last break off in the middle.
            let stop = if round == breaks { rest.len() } else { rest.len() / 2 };
            let mut sent = 0;
            while sent < stop {
                let size = (*sizes.next().unwrap()).min(stop - sent);
                got += &push(&mut splitter, &rest[sent..sent + size]).unwrap();
                sent += size;
            }
        }
        prop_assert_eq!(got, all);
        prop_assert!(!splitter.is_mid_event());
    }
}
