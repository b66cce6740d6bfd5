//! Upstreams that stop within the head of an answer and end the connection. The HTTP library (hyper, with httparse)
//! takes a head for complete at its empty line alone, and gives an end before it as an error.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use common::caller::{Answer, call};
use common::pair::Pair;
use common::upstream::{Act, body_of, chunk};
use futures::StreamExt as _;
use rstest::rstest;

/// Entries with upstreams of their own that are tested at the same time.
const PLAYS_AT_ONCE: usize = 12;

const INTERIM: &str = "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n";

/// Which of the upstreams of a request cut their heads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Faulty {
    First,
    Both,
}

/// Returns the body of a complete answer on `path`.
fn body(path: &str) -> String {
    if path.starts_with("/stream/") {
        body_of(1, 3)
    } else {
        "whole".to_owned()
    }
}

/// Returns a head on `path` that frames its body as `framing` says, and the body as it is sent.
fn answer(framing: &str, path: &str) -> (String, String) {
    let body = body(path);
    let (line, sent) = match framing {
        "length" => (format!("content-length: {}\r\n", body.len()), body),
        "chunks" => (
            "transfer-encoding: chunked\r\n".to_owned(),
            chunk(&body) + "0\r\n\r\n",
        ),
        _ => (String::new(), body),
    };
    (format!("HTTP/1.1 200 OK\r\nx-id: r1\r\n{line}\r\n"), sent)
}

/// Sends `path` through an entry with two upstreams, of which `faulty` send `cut` and end the connection, with a
/// reset if `resets`. With `is_kept` they get the request on a connection that was used before.
async fn send(
    path: &str,
    cut: &str,
    whole: &str,
    faulty: Faulty,
    resets: bool,
    is_kept: bool,
) -> Answer {
    let act = if resets {
        Act::Reset(cut.to_owned())
    } else {
        Act::Steps(vec![(cut.to_owned(), 0)])
    };
    let pair = if is_kept {
        Pair::with_kept_connections(&[act]).await
    } else {
        Pair::start(&[act]).await
    };
    if faulty == Faulty::First {
        pair.set_second_act(&Act::Steps(vec![(whole.to_owned(), 0)]));
    }
    call(pair.entry.callers(), "GET", path).await
}

/// Calls `play` with the start of `head` up to each `step`th byte, some at a time.
async fn for_each_cut<F>(head: &str, step: usize, play: F)
where
    F: AsyncFn(&str),
{
    let cuts = (0..head.len()).step_by(step).map(|at| play(&head[..at]));
    let mut plays = futures::stream::iter(cuts).buffer_unordered(PLAYS_AT_ONCE);
    while plays.next().await.is_some() {}
}

/// Checks that a request whose first upstream sent only `cut` was repeated if it may be, and that no part of an
/// answer was taken for a whole one.
fn check(answer: &Answer, path: &str, faulty: Faulty, cut: &str) {
    if faulty == Faulty::Both || path.starts_with("/order/") {
        assert_eq!(answer.status, 502, "{cut:?}: {answer:?}");
        return;
    }
    assert_eq!(answer.status, 200, "{cut:?}: {answer:?}");
    assert!(answer.is_whole, "{cut:?}: {answer:?}");
    assert_eq!(answer.body, body(path), "{cut:?}");
}

/// A head that is cut after any of its bytes is no answer.
#[rstest]
#[tokio::test]
async fn after_each_byte(
    #[values("/read/1", "/order/1", "/stream/1")] path: &str,
    #[values("length", "chunks", "connection")] framing: &str,
    #[values(Faulty::First, Faulty::Both)] faulty: Faulty,
    #[values(false, true)] resets: bool,
) {
    let (head, sent) = answer(framing, path);
    let whole = format!("{head}{sent}");
    for_each_cut(&head, 1, async |cut| {
        let answer = send(path, cut, &whole, faulty, resets, false).await;
        check(&answer, path, faulty, cut);
    })
    .await;
}

/// The same behind an interim answer, which is complete by itself.
#[rstest]
#[tokio::test]
async fn after_interim(
    #[values("/read/1", "/order/1", "/stream/1")] path: &str,
    #[values(false, true)] resets: bool,
) {
    let (head, sent) = answer("length", path);
    let heads = format!("{INTERIM}{head}");
    let whole = format!("{heads}{sent}");
    for_each_cut(&heads, 3, async |cut| {
        let answer = send(path, cut, &whole, Faulty::First, resets, false).await;
        check(&answer, path, Faulty::First, cut);
    })
    .await;
}

/// The same on a connection that has carried an answer before.
#[rstest]
#[tokio::test]
async fn on_kept_connection(
    #[values("/read/1", "/order/1", "/stream/1")] path: &str,
    #[values(false, true)] resets: bool,
) {
    let (head, sent) = answer("length", path);
    let whole = format!("{head}{sent}");
    for_each_cut(&head, 3, async |cut| {
        let answer = send(path, cut, &whole, Faulty::First, resets, true).await;
        check(&answer, path, Faulty::First, cut);
    })
    .await;
}

/// Guards against a stream without a length that ends behind its head, and becomes a complete answer without an
/// event.
#[rstest]
#[tokio::test]
async fn stream_without_event(#[values(Faulty::First, Faulty::Both)] faulty: Faulty) {
    let path = "/stream/1";
    let (head, sent) = answer("connection", path);
    let whole = format!("{head}{sent}");
    let answer = send(path, &head, &whole, faulty, false, false).await;
    let events = if faulty == Faulty::First {
        sent
    } else {
        String::new()
    };
    assert_eq!(answer.body, events, "{answer:?}");
    assert_eq!(answer.is_whole, faulty == Faulty::First, "{answer:?}");
}

/// A resumed stream is complete if the other upstream has no event left for it.
#[rstest]
#[tokio::test]
async fn nothing_left() {
    let path = "/stream/1";
    let (head, sent) = answer("connection", path);
    let (chunked, _) = answer("chunks", path);
    let cut = chunked + &chunk(&sent);
    let answer = send(path, &cut, &head, Faulty::First, false, false).await;
    assert_eq!((answer.body, answer.is_whole), (sent, true));
}
