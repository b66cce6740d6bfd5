//! An entry that shuts down accepts the requests that it can answer in time, and refuses others at once.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::caller::{Answer, get};
use common::upstream::{Act, TestUpstream};
use common::{TestDialect, ready_entry};
use tokio::task::JoinHandle;
use wagtailreel_direct::DirectEntry;
use wagtailreel_standins::RegistryStandin;

/// Sends a request with a deadline of `deadline_ms`.
async fn get_with_deadline(addr: SocketAddr, path: &str, deadline_ms: &str) -> Answer {
    let headers = [("x-id", "r1"), ("x-key", "k1"), ("x-deadline", deadline_ms)];
    get(addr, path, &headers).await
}

/// Starts an entry, and sends it an order that the upstream does not answer.
async fn entry_with_open_order() -> (DirectEntry<TestDialect>, JoinHandle<Answer>) {
    let registry = RegistryStandin::default();
    let upstream = TestUpstream::start(&[Act::NoAnswer]).await;
    let entry = ready_entry(&registry, &[("a", upstream.addr)]).await;
    let callers = entry.callers();
    let order = tokio::spawn(async move { get_with_deadline(callers, "/order/1", "5000").await });
    upstream.until_seen(1).await;
    (entry, order)
}

/// Repeats a request with a long deadline until it is refused because the entry shuts down. All requests
/// before it are answered.
async fn until_refused_as_leaving(addr: SocketAddr) -> Answer {
    loop {
        let answer = get_with_deadline(addr, "/read/1", "5000").await;
        if answer.body.contains("leaving") {
            return answer;
        }
        assert_eq!(answer.status, 200, "{answer:?}");
    }
}

/// Guards against refusals of short requests during a shutdown. If most entries shut down at once, the
/// balancer goes on sending callers to all of them.
#[tokio::test]
async fn short_request_is_answered() {
    let registry = RegistryStandin::default();
    let upstream = TestUpstream::start(&[Act::Events(1, 1), Act::EventsThenStall(1, 1)]).await;
    let entry = ready_entry(&registry, &[("a", upstream.addr)]).await;
    let callers = entry.callers();
    // A stream from before the signal keeps the entry from ending sooner.
    assert_eq!(
        get_with_deadline(callers, "/stream/1", "5000").await.status,
        200
    );
    let stream = tokio::spawn(async move { get_with_deadline(callers, "/stream/2", "1800").await });
    upstream.until_seen(2).await;
    let shutdown = tokio::spawn(entry.shutdown());
    let refused = until_refused_as_leaving(callers).await;
    assert_eq!(refused.status, 503);
    assert_eq!(refused.header("connection"), Some("close"));
    let pause: f64 = refused.header("retry-after").unwrap().parse().unwrap();
    assert!(pause < 0.1, "another entry serves it at once: {pause}");
    assert_eq!(
        get_with_deadline(callers, "/read/1", "100").await.status,
        200
    );
    shutdown.await.unwrap();
    let _ = stream.await.unwrap();
}

/// Guards against an entry that outlasts its grace period because a caller keeps its request open.
#[tokio::test]
async fn grace_period_is_kept() {
    let (entry, order) = entry_with_open_order().await;
    let since = Instant::now();
    entry.shutdown().await;
    // The entries of the tests have a grace period of 2 s.
    assert!(since.elapsed() < Duration::from_secs(4));
    order.abort();
}

/// Guards against a stream that is cut off by the end of the process. The entry refuses it at once, also
/// while the balancer still sends callers.
#[tokio::test]
async fn long_stream_is_refused() {
    let (entry, order) = entry_with_open_order().await;
    let callers = entry.callers();
    let shutdown = tokio::spawn(entry.shutdown());
    let refused = loop {
        let answer = get_with_deadline(callers, "/stream/1", "5000").await;
        if answer.status == 503 {
            break answer;
        }
    };
    assert!(refused.body.contains("leaving"), "{refused:?}");
    let taken = get_with_deadline(callers, "/read/1", "5000").await;
    assert_eq!(
        taken.status, 200,
        "the balancer has not noticed yet: {taken:?}"
    );
    shutdown.await.unwrap();
    let _ = order.await.unwrap();
}
