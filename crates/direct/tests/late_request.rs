//! Requests of which a part has arrived as the configuration changes. Each gets one final answer.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::time::Duration;

use common::caller::{read, request};
use common::edits::{Edit, directory};
use common::upstream::TestUpstream;
use common::{entry, register, until_readiness, until_status};
use rstest::rstest;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use wagtailreel_standins::RegistryStandin;

/// Longer than the changed idle time with its margin.
const PAUSE: Duration = Duration::from_millis(1300);

/// A request whose rest comes after the change is answered or refused, and runs once at most.
#[rstest]
#[case::in_head(34)]
#[case::after_head(usize::MAX)]
#[tokio::test]
async fn rest_after_change(
    #[case] at: usize,
    #[values(
        Edit::Nothing,
        Edit::IdleTime,
        Edit::Timeout,
        Edit::RouteMoved,
        Edit::RouteRemoved,
        Edit::KeyRevoked,
        Edit::ServiceRemoved
    )]
    edit: Edit,
) {
    let registry = RegistryStandin::default();
    let upstream = TestUpstream::start(&[]).await;
    register(&registry, "a", upstream.addr);
    registry.config(directory(1, Edit::Nothing));
    let entry = entry(&registry, Duration::from_secs(4)).await;
    until_readiness(&entry, 200).await;
    let headers = [("x-id", "r1"), ("x-key", "k1")];
    let text = request("POST", "/order/1", &headers, &"x".repeat(500));
    let body_at = text.find("\r\n\r\n").unwrap() + 8;
    let (first, rest) = text.split_at(at.min(body_at));
    let mut caller = TcpStream::connect(entry.callers()).await.unwrap();
    caller.write_all(first.as_bytes()).await.unwrap();
    registry.config(directory(2, edit));
    until_status(entry.callers(), "/v2/", 503).await;
    tokio::time::sleep(PAUSE).await;
    // A request that is refused before its body may be closed on.
    let _ = caller.write_all(rest.as_bytes()).await;
    let answer = read(&mut caller).await;
    assert_ne!(answer.status, 0, "no answer");
    assert!(answer.is_whole, "{answer:?}");
    let runs = usize::from(answer.status == 200);
    assert_eq!(upstream.seen().len(), runs, "{answer:?}");
}
