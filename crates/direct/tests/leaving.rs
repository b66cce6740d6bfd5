//! An entry that leaves takes what it can answer, and refuses the rest at once.
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

/// Sends a request that is given up after `deadline_ms`.
async fn within(addr: SocketAddr, path: &str, deadline_ms: &str) -> Answer {
    let headers = [("x-id", "r1"), ("x-key", "k1"), ("x-deadline", deadline_ms)];
    get(addr, path, &headers).await
}

/// Starts an entry, and an order at it to which no answer comes.
async fn entry_with_order() -> (DirectEntry<TestDialect>, JoinHandle<Answer>) {
    let registry = RegistryStandin::default();
    let upstream = TestUpstream::start(&[Act::NoAnswer]).await;
    let entry = ready_entry(&registry, &[("a", upstream.addr)]).await;
    let callers = entry.callers();
    let order = tokio::spawn(async move { within(callers, "/order/1", "5000").await });
    upstream.until_seen(1).await;
    (entry, order)
}

/// Repeats a long request until it is refused because the entry leaves; all before are answered.
async fn until_leaving(addr: SocketAddr) -> Answer {
    loop {
        let answer = within(addr, "/read/1", "5000").await;
        if answer.body.contains("leaving") {
            return answer;
        }
        assert_eq!(answer.status, 200, "{answer:?}");
    }
}

/// The balancer goes on sending callers where most entries leave at once.
#[tokio::test]
async fn short_request() {
    let registry = RegistryStandin::default();
    let upstream = TestUpstream::start(&[Act::Events(1, 1), Act::EventsThenStall(1, 1)]).await;
    let entry = ready_entry(&registry, &[("a", upstream.addr)]).await;
    let callers = entry.callers();
    // Kept by a stream from before the signal, so that the entry doesn't end sooner.
    assert_eq!(within(callers, "/stream/1", "5000").await.status, 200);
    let stream = tokio::spawn(async move { within(callers, "/stream/2", "1800").await });
    upstream.until_seen(2).await;
    let shutdown = tokio::spawn(entry.shutdown());
    let refused = until_leaving(callers).await;
    assert_eq!(refused.status, 503);
    assert_eq!(refused.header("connection"), Some("close"));
    let pause: f64 = refused.header("retry-after").unwrap().parse().unwrap();
    assert!(pause < 0.1, "another entry serves it at once: {pause}");
    assert_eq!(within(callers, "/read/1", "100").await.status, 200);
    shutdown.await.unwrap();
    let _ = stream.await.unwrap();
}

/// The grace is kept, whatever callers do with their connections.
#[tokio::test]
async fn grace() {
    let (entry, order) = entry_with_order().await;
    let since = Instant::now();
    entry.shutdown().await;
    // The tests' entries have a grace of 2 s.
    assert!(since.elapsed() < Duration::from_secs(4));
    order.abort();
}

/// A stream that could be cut off in its middle is refused at once, also while the balancer sends callers.
#[tokio::test]
async fn long_stream() {
    let (entry, order) = entry_with_order().await;
    let callers = entry.callers();
    let shutdown = tokio::spawn(entry.shutdown());
    let refused = loop {
        let answer = within(callers, "/stream/1", "5000").await;
        if answer.status == 503 {
            break answer;
        }
    };
    assert!(refused.body.contains("leaving"), "{refused:?}");
    let taken = within(callers, "/read/1", "5000").await;
    assert_eq!(
        taken.status, 200,
        "the balancer has not noticed yet: {taken:?}"
    );
    shutdown.await.unwrap();
    let _ = order.await.unwrap();
}
