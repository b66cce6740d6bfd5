//! Requests that the server has read in part when it shuts down.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

#[allow(dead_code, reason = "shared by the tests of this crate")]
mod common;

use std::time::{Duration, Instant};

use common::{Caller, DelayedHandler, GET, server};
use rstest::rstest;
use wagtailreel_serve::Phase;

/// A request whose head was read by half at the shutdown is answered.
#[rstest]
#[case::alone(Duration::ZERO, false)]
#[case::behind_another(Duration::from_millis(200), true)]
#[tokio::test]
async fn half_head(#[case] pause: Duration, #[case] is_second: bool) {
    let mut server = server(DelayedHandler::new(pause)).await;
    let mut caller = Caller::connect(server.addr).await;
    server.accepted(1).await;
    let (first, second) = GET.split_at(GET.len() / 2);
    if is_second {
        caller.send(&format!("{GET}{first}"));
        let head = caller.head().await;
        assert!(!head.closes, "{head:?}");
        server.server.enter(Phase::Ending);
        caller.body(&head).await;
    } else {
        caller.send(first);
        server.settle().await;
        server.server.enter(Phase::Ending);
    }
    server.settle().await;
    caller.send(second);
    let answer = caller.answer().await;
    assert_eq!(answer.status, 200, "{answer:?}");
    assert!(answer.closes, "{answer:?}");
    server.server.ended().await;
}

/// A head that stays incomplete in `Phase::Ending` is refused with 503. Waiting until the process exits would
/// reset the connection.
#[rstest]
#[case::in_its_first_line(10)]
#[case::before_its_last_line(GET.len() - 2)]
#[tokio::test]
async fn unfinished(#[case] at: usize) {
    let mut server = server(DelayedHandler::default()).await;
    let mut caller = Caller::connect(server.addr).await;
    server.accepted(1).await;
    let (first, second) = GET.split_at(at);
    caller.send(first);
    server.settle().await;
    let since = Instant::now();
    server.server.enter(Phase::Ending);
    let head = caller.head().await;
    let after = since.elapsed();
    assert_eq!(head.status, 503, "{head:?}");
    assert!(head.closes, "{head:?}");
    // `Phase::Ending` of an entry with a usual grace period lasts 300 ms.
    assert!(after < Duration::from_millis(300), "after {after:?}");
    caller.ended().await;
    // The rest of the head causes no reset while the process runs.
    caller.send(second);
    server.settle().await;
    caller.ended().await;
    drop(caller);
    server.server.ended().await;
}

/// A pipelined request is answered if the response before it did not carry `Connection: close`.
#[tokio::test]
async fn pipelined() {
    let mut server = server(DelayedHandler::new(Duration::from_millis(200))).await;
    let mut caller = Caller::connect(server.addr).await;
    caller.send(&GET.repeat(2));
    let head = caller.head().await;
    assert!(!head.closes, "{head:?}");
    server.server.enter(Phase::Ending);
    caller.body(&head).await;
    let answer = caller.answer().await;
    assert_eq!(answer.status, 200, "{answer:?}");
    assert!(answer.closes, "{answer:?}");
    server.server.ended().await;
}

/// More pipelined requests than the HTTP library answers in one poll.
#[tokio::test]
async fn many_pipelined() {
    let mut server = server(DelayedHandler::default()).await;
    let mut caller = Caller::connect(server.addr).await;
    server.accepted(1).await;
    caller.send(&GET.repeat(60));
    server.server.enter(Phase::Ending);
    let answer = caller.answer().await;
    assert_eq!(answer.status, 200, "{answer:?}");
    assert!(answer.closes, "{answer:?}");
    server.server.ended().await;
}

/// An empty line after a request does not start a head: the connection counts as idle.
#[tokio::test]
async fn empty_line() {
    let mut server = server(DelayedHandler::default()).await;
    let mut caller = Caller::connect(server.addr).await;
    caller.send(GET);
    assert_eq!(caller.answer().await.status, 200);
    caller.send("\r\n");
    server.settle().await;
    server.server.enter(Phase::Ending);
    caller.ended().await;
    server.server.ended().await;
}
