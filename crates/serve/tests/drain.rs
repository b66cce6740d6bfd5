//! No request is lost when a server shuts down.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::time::{Duration, Instant};

use common::{Caller, DelayedHandler, GET, server};
use rstest::rstest;
use wagtailreel_serve::Phase;

/// A request that is unread in the socket of an idle connection at the shutdown is answered.
#[rstest]
#[case::closing(Phase::Closing)]
#[case::ending(Phase::Ending)]
#[tokio::test]
async fn unread_request(#[case] phase: Phase) {
    let mut server = server(DelayedHandler::default()).await;
    let mut caller = Caller::connect(server.addr).await;
    caller.send(GET);
    assert_eq!(caller.answer().await.status, 200);
    caller.send(GET);
    server.server.enter(phase);
    let answer = caller.answer().await;
    assert_eq!(answer.status, 200, "{answer:?}");
    assert!(answer.closes, "{answer:?}");
    server.server.ended().await;
}

/// The first request of a new connection is answered, whether sent just before or just after the shutdown
/// begins.
#[rstest]
#[case::sent(true)]
#[case::under_way(false)]
#[tokio::test]
async fn new_connection(#[case] is_sent: bool) {
    let mut server = server(DelayedHandler::default()).await;
    let mut caller = Caller::connect(server.addr).await;
    server.accepted(1).await;
    if is_sent {
        caller.send(GET);
        server.server.enter(Phase::Closing);
    } else {
        server.server.enter(Phase::Closing);
        server.settle().await;
        caller.send(GET);
    }
    let answer = caller.answer().await;
    assert_eq!(answer.status, 200, "{answer:?}");
    server.server.ended().await;
}

/// Connections in the backlog of the kernel are served.
#[tokio::test]
async fn backlog() {
    let mut server = server(DelayedHandler::default()).await;
    server.settle().await;
    let mut callers = Vec::new();
    for _ in 0..5 {
        // Does not yield, so the server can't accept the connection yet.
        let mut caller = Caller::connect_at_once(server.addr);
        caller.send(GET);
        callers.push(caller);
    }
    server.server.enter(Phase::Closing);
    for mut caller in callers {
        let answer = caller.answer().await;
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    server.server.ended().await;
}

/// A connection stays usable if its response head was sent before the shutdown, without `Connection: close`.
#[tokio::test]
async fn answer_without_notice() {
    let mut server = server(DelayedHandler::new(Duration::from_millis(300))).await;
    let mut caller = Caller::connect(server.addr).await;
    caller.send(GET);
    let head = caller.head().await;
    assert!(!head.closes, "{head:?}");
    server.server.enter(Phase::Leaving);
    server.server.enter(Phase::Closing);
    caller.body(&head).await;
    caller.send(GET);
    let answer = caller.answer().await;
    assert_eq!(answer.status, 200, "{answer:?}");
    assert!(answer.closes, "{answer:?}");
    server.server.ended().await;
}

/// An idle connection is closed only after the time announced in `Keep-Alive`.
#[tokio::test]
async fn idle_connection() {
    let mut server = server(DelayedHandler::default()).await;
    let mut caller = Caller::connect(server.addr).await;
    caller.send(GET);
    let answer = caller.answer().await;
    let kept = answer
        .keep_alive
        .expect("the response has a Keep-Alive header");
    let since = Instant::now();
    server.server.enter(Phase::Leaving);
    server.server.enter(Phase::Closing);
    caller.ended().await;
    let after = since.elapsed();
    assert!(after > kept, "closed after {after:?}, announced {kept:?}");
    server.server.ended().await;
}

/// Unread bytes in the socket do not reset the connection before the caller reads the last response.
#[tokio::test]
async fn last_answer() {
    let mut server = server(DelayedHandler::default()).await;
    let mut caller = Caller::connect(server.addr).await;
    server.server.enter(Phase::Leaving);
    caller.send(GET);
    caller.send(GET);
    server.settle().await;
    let answer = caller.answer().await;
    assert_eq!(answer.status, 200, "{answer:?}");
    assert!(answer.closes, "{answer:?}");
    caller.ended().await;
    server.server.enter(Phase::Closing);
    server.server.ended().await;
}

/// In `Phase::Ending` idle connections are closed before their announced time, but requests are still
/// answered.
#[tokio::test]
async fn ending_phase() {
    let mut server = server(DelayedHandler::new(Duration::from_millis(200))).await;
    let mut idle = Caller::connect(server.addr).await;
    let mut busy = Caller::connect(server.addr).await;
    server.accepted(2).await;
    busy.send(GET);
    let head = busy.head().await;
    server.server.enter(Phase::Ending);
    idle.ended().await;
    busy.body(&head).await;
    busy.ended().await;
    server.server.ended().await;
}

/// The listener stays open while callers connect: closing it resets handshakes in progress.
#[tokio::test]
async fn not_quiet() {
    let mut server = server(DelayedHandler::new(Duration::from_millis(300))).await;
    let mut early = Caller::connect(server.addr).await;
    early.send(GET);
    let head = early.head().await;
    server.server.enter(Phase::Leaving);
    {
        let mut quiet = std::pin::pin!(server.server.quiet());
        let busy = async {
            early.body(&head).await;
            let mut late = Caller::connect(server.addr).await;
            late.send(GET);
            late.answer().await
        };
        let late = tokio::select! {
            () = &mut quiet => panic!("quiet with a caller"),
            late = busy => late,
        };
        assert!(late.status == 200 && late.closes, "{late:?}");
        drop(early);
        quiet.await;
    }
    server.server.enter(Phase::Closing);
    server.server.ended().await;
}

/// An open stream does not keep the server from counting as quiet.
#[tokio::test]
async fn quiet_beside_stream() {
    let mut server = server(DelayedHandler::new(Duration::from_secs(60))).await;
    let mut stream = Caller::connect(server.addr).await;
    stream.send(GET);
    stream.head().await;
    server.server.enter(Phase::Leaving);
    let quiet = tokio::time::timeout(Duration::from_secs(10), server.server.quiet());
    quiet.await.expect("quiet without a new connection");
    server.server.enter(Phase::Closing);
    drop(stream);
    server.server.ended().await;
}

/// The server does not count as quiet between callers that connect a few times per second.
#[tokio::test]
async fn quiet_between_callers() {
    let server = server(DelayedHandler::default()).await;
    server.server.enter(Phase::Leaving);
    let mut quiet = std::pin::pin!(server.server.quiet());
    let mut ticks = tokio::time::interval(Duration::from_millis(180));
    for _ in 0..6 {
        tokio::select! {
            () = &mut quiet => panic!("quiet between callers"),
            _ = ticks.tick() => {}
        }
        let mut caller = Caller::connect(server.addr).await;
        caller.send(GET);
        assert_eq!(caller.answer().await.status, 200);
    }
}
