//! Streams with a spoilt event, which another upstream goes on with.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use common::caller::{Answer, call};
use common::pair::Pair;
use common::upstream::{Act, body_of, chunk, stream_head};
use rstest::rstest;

/// How the bytes of the first upstream are cut into writes.
#[derive(Clone, Copy, Debug)]
enum Writes {
    /// Several events in one chunk.
    Batch,
    /// A chunk for each event.
    Each,
}

impl Writes {
    /// Returns the chunks of an answer with `events`.
    fn chunks(self, events: &[String]) -> String {
        match self {
            Self::Batch => chunk(&events.concat()),
            Self::Each => events.iter().map(|event| chunk(event)).collect(),
        }
    }
}

/// Returns an event with the text of the piece `piece` under the id `id`.
fn event(id: &str, piece: u64) -> String {
    format!("id: {id}\ndata: piece {piece}\n\n")
}

/// Returns the events of a range, one by one.
fn sound(from: u64, to: u64) -> Vec<String> {
    (from..=to).map(|id| body_of(id, id)).collect()
}

/// Calls an entry with two upstreams: the one that is chosen first sends `chunks`, the other one the events from
/// `from` to `to`.
async fn resume(chunks: &str, from: u64, to: u64) -> Answer {
    let first = stream_head("r1") + chunks + "0\r\n\r\n";
    let pair = Pair::start(&[Act::Steps(vec![(first, 0)])]).await;
    pair.set_second_act(&Act::Events(from, to));
    call(pair.entry.callers(), "GET", "/stream/1").await
}

/// Guards against a resumption that takes events for passed on that came with a spoilt one and were dropped.
#[rstest]
#[case::gap(&event("7", 6))]
#[case::endless(&"data: x".repeat(1 << 14))]
#[tokio::test]
async fn events_before_break(
    #[case] spoilt: &str,
    #[values(Writes::Batch, Writes::Each)] writes: Writes,
) {
    let mut events = sound(1, 5);
    events.push(spoilt.to_owned());
    let answer = resume(&writes.chunks(&events), 6, 8).await;
    assert_eq!(answer.body, body_of(1, 8));
    assert!(answer.is_whole);
}

/// Guards against an event that is dropped as a repeat since its id is too low, and a stream that ends as complete
/// without it.
#[rstest]
#[case::first(0)]
#[case::before(7)]
#[case::within(2)]
#[tokio::test]
async fn last_id_too_low(#[case] id: u64, #[values(Writes::Batch, Writes::Each)] writes: Writes) {
    let mut events = sound(1, 7);
    events.push(event(&id.to_string(), 8));
    let answer = resume(&writes.chunks(&events), 8, 8).await;
    assert_eq!(answer.body, body_of(1, 8));
    assert!(answer.is_whole);
}

/// Guards against a stream whose first id is too high, so that the events after it are dropped as repeats.
#[rstest]
#[tokio::test]
async fn first_id_too_high(#[values(Writes::Batch, Writes::Each)] writes: Writes) {
    let mut events = vec![event("7", 1)];
    events.extend(sound(2, 8));
    let answer = resume(&writes.chunks(&events), 1, 8).await;
    assert_eq!(answer.body, body_of(1, 8));
    assert!(answer.is_whole);
}

/// Calls an entry whose first upstream breaks off after five events, and whose second one sends `events`.
async fn second_run(events: &[String]) -> Answer {
    let pair = Pair::start(&[Act::CutEvents(1, 5)]).await;
    let second = stream_head("r1") + &Writes::Each.chunks(events) + "0\r\n\r\n";
    pair.set_second_act(&Act::Steps(vec![(second, 0)]));
    call(pair.entry.callers(), "GET", "/stream/1").await
}

/// A run that starts anew repeats what the caller has.
#[tokio::test]
async fn repeated_events() {
    let answer = second_run(&sound(1, 8)).await;
    assert_eq!(answer.body, body_of(1, 8));
    assert!(answer.is_whole);
}

/// Guards against a resumed stream that ends as complete without its rest: all that the second run sent was
/// dropped as repeats.
#[rstest]
#[case::starts_anew(sound(1, 3))]
#[case::spoilt(vec![event("4", 6)])]
#[case::spoilt_as_last(vec![event("5", 6)])]
#[tokio::test]
async fn second_run_falls_short(#[case] events: Vec<String>) {
    let answer = second_run(&events).await;
    assert_eq!(answer.body, body_of(1, 5));
    assert!(!answer.is_whole, "{answer:?}");
}

/// Guards against an event that passes as one without an id since its id can't be read, so that its piece comes
/// twice or is missing under its id.
#[rstest]
#[case::text("x")]
#[case::sign("+4")]
#[case::negative("-4")]
#[case::empty("")]
#[case::too_large("99999999999999999999")]
#[case::two_ids("4\nid: 5")]
#[tokio::test]
async fn unreadable_id(
    #[case] id: &str,
    #[values(Writes::Batch, Writes::Each)] writes: Writes,
    #[values(4, 8)] piece: u64,
) {
    let mut events = sound(1, piece - 1);
    events.push(event(id, piece));
    events.extend(sound(piece + 1, 8));
    let answer = resume(&writes.chunks(&events), piece, 8).await;
    assert_eq!(answer.body, body_of(1, 8));
    assert!(answer.is_whole);
}

/// Guards against a resumption that repeats a piece that was passed on without its id: the answer ends as cut.
#[rstest]
#[tokio::test]
async fn missing_id(#[values(Writes::Batch, Writes::Each)] writes: Writes) {
    let mut events = sound(1, 3);
    events.push("data: piece 4\n\n".to_owned());
    events.extend(sound(5, 8));
    let answer = resume(&writes.chunks(&events), 4, 8).await;
    assert!(!answer.is_whole, "{answer:?}");
    assert_eq!(answer.body, body_of(1, 3) + "data: piece 4\n\n");
}

/// Comments and settings of a stream have no id, and do not keep it from being resumed.
#[rstest]
#[tokio::test]
async fn comment_before_break(#[values(Writes::Batch, Writes::Each)] writes: Writes) {
    let mut events = sound(1, 5);
    events.push(": waiting\nretry: 100\n\n".to_owned());
    events.push(event("7", 6));
    let answer = resume(&writes.chunks(&events), 6, 8).await;
    let comment = ": waiting\nretry: 100\n\n";
    assert_eq!(answer.body, body_of(1, 5) + comment + &body_of(6, 8));
    assert!(answer.is_whole);
}
