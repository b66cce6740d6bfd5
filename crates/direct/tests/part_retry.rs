//! The retry of a quarantined part of prompts reaches one upstream.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::caller::{Answer, request, send};
use common::upstream::{Act, TestUpstream};
use common::{directory, entry_with_agents, register, until_readiness};
use tokio::net::UdpSocket;
use tokio::time::sleep;
use wagtailreel_core::Digest;
use wagtailreel_fleet::{CrashReport, Datagram};
use wagtailreel_standins::RegistryStandin;

/// Time after the last crash at which a part that completed here before is retried.
const RETRY_DELAY: Duration = Duration::from_secs(5);

/// Longest time after the last crash until a part is retried without the others that have its crashes.
const MAX_SHORT_DELAY: Duration = Duration::from_secs(11);

async fn call_with_part(entry: SocketAddr, path: &str) -> Answer {
    let headers = [("x-id", "r1"), ("x-key", "k1"), ("x-parts", "note")];
    send(entry, &request("GET", path, &headers, "")).await
}

/// Reports to the entry at `entry` that five upstreams crashed under the part, `age` ago.
async fn report_crashes(entry: SocketAddr, age: Duration) {
    let age_ms = u32::try_from(age.as_millis()).unwrap();
    let report = CrashReport {
        fingerprint: Digest::of_parts([&b"prompt-part"[..], b"note"]),
        upstreams: ["a", "b", "c", "d", "e"]
            .map(|id| (id.to_owned(), age_ms))
            .into(),
        finished_ms: None,
        retried_ms: None,
    };
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let datagram = Datagram::CrashReports(vec![report]).to_bytes();
    socket.send_to(&datagram, entry).await.unwrap();
}

#[tokio::test]
async fn lost_retry() {
    let registry = RegistryStandin::default();
    registry.config(directory(1));
    let (one, other) = (
        TestUpstream::start(&[]).await,
        TestUpstream::start(&[]).await,
    );
    register(&registry, "one", one.addr);
    register(&registry, "other", other.addr);
    let entry = entry_with_agents(&registry, Duration::from_secs(60), 9).await;
    until_readiness(&entry, 200).await;
    let seen = || one.seen().len() + other.seen().len();
    // After the request that completes each upstream closes a connection without an answer, and goes on.
    one.set_next_act(&one, &other, Act::Close);
    other.set_next_act(&one, &other, Act::Close);
    while call_with_part(entry.callers(), "/read/1").await.status != 200 {}
    let completed = Instant::now();
    sleep(RETRY_DELAY + Duration::from_millis(200)).await;
    // The crashes came after the part completed.
    let age = completed.elapsed() - Duration::from_millis(50);
    report_crashes(entry.neighbours_addr(), age).await;
    sleep(Duration::from_millis(100)).await;
    let before = seen();
    let lost = call_with_part(entry.callers(), "/read/2").await;
    assert_eq!(seen() - before, 1, "a retry is sent once");
    assert_eq!(lost.status, 502, "it may have run");
    let refused = call_with_part(entry.callers(), "/read/3").await;
    assert_eq!(refused.status, 503, "the part is still quarantined");
    assert_eq!(seen() - before, 1);
}

/// Guards against a part that is blocked for minutes with a crashing one: no request with it has completed before,
/// and both have the same crashes.
#[tokio::test]
async fn shared_part() {
    let registry = RegistryStandin::default();
    registry.config(directory(1));
    let upstream = TestUpstream::start(&[]).await;
    register(&registry, "one", upstream.addr);
    let entry = entry_with_agents(&registry, Duration::from_secs(60), 9).await;
    until_readiness(&entry, 200).await;
    let reports = ["note", "crash"].map(|part| CrashReport {
        fingerprint: Digest::of_parts([&b"prompt-part"[..], part.as_bytes()]),
        upstreams: ["a", "b", "c"].map(|id| (id.to_owned(), 100)).into(),
        finished_ms: None,
        retried_ms: None,
    });
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let datagram = Datagram::CrashReports(reports.into()).to_bytes();
    socket
        .send_to(&datagram, entry.neighbours_addr())
        .await
        .unwrap();
    sleep(Duration::from_millis(100)).await;
    let headers = [("x-id", "r1"), ("x-key", "k1"), ("x-parts", "note crash")];
    let crashing = request("GET", "/read/2", &headers, "");
    let reported = Instant::now();
    while call_with_part(entry.callers(), "/read/1").await.status != 200 {
        assert_eq!(send(entry.callers(), &crashing).await.status, 503);
        assert_eq!(upstream.seen().len(), 0, "both are quarantined");
        let waited = reported.elapsed();
        assert!(waited < MAX_SHORT_DELAY, "blocked for {waited:?}");
        sleep(Duration::from_millis(100)).await;
    }
    assert!(reported.elapsed() > RETRY_DELAY - Duration::from_millis(500));
    assert_eq!(call_with_part(entry.callers(), "/read/3").await.status, 200);
    assert_eq!(send(entry.callers(), &crashing).await.status, 503);
    assert_eq!(upstream.seen().len(), 2);
}
