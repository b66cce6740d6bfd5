//! What an entry does with its last known state of the fleet, and when that is too old to use.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::time::Duration;

use common::caller::call;
use common::upstream::{Act, TestUpstream};
use common::{directory, entry, ready_entry, register, registered, until_readiness, until_status};
use rstest::rstest;
use wagtailreel_fleet::{AllowedRegions, Change, UpstreamState};
use wagtailreel_standins::RegistryStandin;

#[tokio::test]
async fn no_configuration() {
    let registry = RegistryStandin::default();
    registry.set_away(true);
    let entry = entry(&registry, Duration::from_secs(4)).await;
    until_readiness(&entry, 503).await;
    let answer = call(entry.callers(), "GET", "/none/").await;
    assert_eq!(
        answer.status, 503,
        "no request is denied without a configuration"
    );
    assert!(answer.header("retry-after").is_some());
    registry.config(directory(1));
    registry.set_away(false);
    until_readiness(&entry, 200).await;
    until_status(entry.callers(), "/none/", 404).await;
}

#[tokio::test]
async fn stale_keys() {
    let registry = RegistryStandin::default();
    let upstream = TestUpstream::start(&[]).await;
    registry.config(directory(1));
    register(&registry, "a", upstream.addr);
    let entry = entry(&registry, Duration::from_millis(1800)).await;
    until_readiness(&entry, 200).await;
    registry.set_away(true);
    let answer = call(entry.callers(), "GET", "/read/1").await;
    assert_eq!(answer.status, 200, "a short outage has no effect");
    until_readiness(&entry, 503).await;
    let reached = upstream.seen().len();
    for path in ["/read/1", "/none/"] {
        let answer = call(entry.callers(), "GET", path).await;
        assert_eq!(answer.status, 503, "{path}");
        assert!(answer.header("retry-after").is_some());
    }
    assert_eq!(
        upstream.seen().len(),
        reached,
        "a refused request is not run"
    );
    let answer = call(entry.callers(), "GET", "/public/1").await;
    assert_eq!(answer.status, 200, "public routes still work");
    registry.set_away(false);
    until_readiness(&entry, 200).await;
    until_status(entry.callers(), "/read/1", 200).await;
}

#[tokio::test]
async fn revoked_key() {
    let registry = RegistryStandin::default();
    let upstream = TestUpstream::start(&[]).await;
    let entry = ready_entry(&registry, &[("a", upstream.addr)]).await;
    assert_eq!(call(entry.callers(), "GET", "/read/1").await.status, 200);
    let mut other = directory(2);
    let customer = wagtailreel_fleet::Customer {
        name: "quay".to_owned(),
        rank: None,
        keys: vec!["k2".to_owned()],
        regions: AllowedRegions::default(),
    };
    other = other.with_customers(vec![customer]);
    registry.config(other);
    until_status(entry.callers(), "/read/1", 401).await;
    registry.config(directory(1));
    registry.config(directory(1));
    let answer = call(entry.callers(), "GET", "/read/1").await;
    assert_eq!(
        answer.status, 401,
        "an older configuration is never applied"
    );
}

#[tokio::test]
async fn leaving_upstream() {
    let registry = RegistryStandin::default();
    let (a, b) = (
        TestUpstream::start(&[]).await,
        TestUpstream::start(&[]).await,
    );
    let entry = ready_entry(&registry, &[("a", a.addr)]).await;
    until_status(entry.callers(), "/read/1", 200).await;
    let mut leaving = registered("a", a.addr);
    leaving.state = UpstreamState::Draining;
    registry.upstream(Change::Upstream(Box::new(leaving)));
    until_status(entry.callers(), "/read/1", 503).await;
    let reached = a.seen().len();
    register(&registry, "b", b.addr);
    until_status(entry.callers(), "/read/1", 200).await;
    assert_eq!(a.seen().len(), reached);
    registry.upstream(Change::Gone("b".to_owned()));
    until_status(entry.callers(), "/read/1", 503).await;
}

#[rstest]
#[tokio::test]
async fn graceful_end() {
    let registry = RegistryStandin::default();
    let upstream = TestUpstream::start(&[Act::Events(1, 3), Act::NoAnswer]).await;
    let entry = ready_entry(&registry, &[("a", upstream.addr)]).await;
    let (callers, status) = (entry.callers(), entry.status());
    assert!(call(callers, "GET", "/stream/1").await.is_whole);
    let open = tokio::spawn(async move { call(callers, "GET", "/quick/1").await });
    upstream.until_seen(2).await;
    let ending = tokio::spawn(entry.shutdown());
    loop {
        let ready = common::caller::get(status, "/readyz", &[]).await;
        if ready.status == 503 {
            break;
        }
    }
    let answer = call(callers, "GET", "/read/2").await;
    assert_eq!(answer.status, 200, "late callers are still served");
    assert_eq!(answer.header("connection"), Some("close"));
    assert_eq!(
        open.await.unwrap().status,
        504,
        "the open request got its answer"
    );
    ending.await.unwrap();
    assert!(tokio::net::TcpStream::connect(callers).await.is_err());
}

#[tokio::test]
async fn record_becomes_unreadable() {
    let registry = RegistryStandin::default();
    let (unreadable, readable) = (
        TestUpstream::start(&[]).await,
        TestUpstream::start(&[]).await,
    );
    let registered = [("a", unreadable.addr), ("b", readable.addr)];
    let entry = ready_entry(&registry, &registered).await;
    registry.upstream(Change::Unreadable {
        key: "a".to_owned(),
        reason: "no state `odd` is known".to_owned(),
    });
    registry.upstream(Change::Unreadable {
        key: "nobody".to_owned(),
        reason: "EOF".to_owned(),
    });
    // Both upstreams get requests until the entry reads the record.
    let mut last = unreadable.seen().len();
    loop {
        for _ in 0..4 {
            assert_eq!(call(entry.callers(), "GET", "/read/1").await.status, 200);
        }
        let seen = unreadable.seen().len();
        if seen == last {
            break;
        }
        last = seen;
    }
    assert!(
        !readable.seen().is_empty(),
        "the other upstream still serves"
    );
}
