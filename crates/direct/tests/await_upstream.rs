//! A request that may have run waits for another upstream. A request that has not run is refused at once.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::time::{Duration, Instant};

use common::caller::call;
use common::upstream::{Act, TestUpstream, body_of};
use common::{ready_entry, register};
use rstest::rstest;
use tokio::time::sleep;
use wagtailreel_direct::DirectEntry;
use wagtailreel_standins::RegistryStandin;

use crate::common::TestDialect;

/// Time from the loss of the only upstream to the registration of another one.
const REGISTRATION_DELAY: Duration = Duration::from_millis(300);

/// Maximum time to the refusal of a request that can't be served.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(250);

async fn entry_before(upstream: &TestUpstream) -> (RegistryStandin, DirectEntry<TestDialect>) {
    let registry = RegistryStandin::default();
    let entry = ready_entry(&registry, &[("a", upstream.addr)]).await;
    (registry, entry)
}

/// Guards against answers that are broken off with time left because no other upstream is available at once.
#[rstest]
#[case::stream_cut("/stream/1", Act::CutEvents(1, 3), Act::Events(4, 6), body_of(1, 6))]
#[case::read_closed("/read/1", Act::Close, Act::Answer(200, "ok"), "ok".to_owned())]
#[case::read_cut("/read/1", Act::CutBody, Act::Answer(200, "ok"), "ok".to_owned())]
#[tokio::test]
async fn upstream_registers_later(
    #[case] path: &'static str,
    #[case] first: Act,
    #[case] second: Act,
    #[case] body: String,
) {
    let upstream = TestUpstream::start(&[first]).await;
    let (registry, entry) = entry_before(&upstream).await;
    let other = TestUpstream::start(&[second]).await;
    let addr = entry.callers();
    let calling = tokio::spawn(async move { call(addr, "GET", path).await });
    upstream.until_seen(1).await;
    sleep(REGISTRATION_DELAY).await;
    register(&registry, "b", other.addr);
    let answer = calling.await.unwrap();
    assert_eq!((answer.status, answer.body), (200, body));
    assert!(answer.is_whole);
    assert_eq!(other.seen().len(), 1);
}

#[rstest]
#[case::order_not_run("/order/1", Act::NotRun, 503)]
#[case::order_closed("/order/1", Act::Close, 502)]
#[case::read_not_run("/read/1", Act::NotRun, 503)]
#[tokio::test]
async fn answered_at_once(#[case] path: &str, #[case] first: Act, #[case] status: u16) {
    let upstream = TestUpstream::start(&[first]).await;
    let (_registry, entry) = entry_before(&upstream).await;
    let sent = Instant::now();
    let answer = call(entry.callers(), "GET", path).await;
    assert_eq!(answer.status, status);
    assert!(sent.elapsed() < MAX_REFUSAL_TIME, "answered at once");
}

/// Guards against requests that wait past their deadline for an upstream that never registers.
#[rstest]
#[case::stream_cut("/stream/1", Act::CutEvents(1, 3), false)]
#[case::read_closed("/read/1", Act::Close, true)]
#[tokio::test]
async fn no_upstream_registers(#[case] path: &str, #[case] first: Act, #[case] is_whole: bool) {
    let upstream = TestUpstream::start(&[first]).await;
    let (_registry, entry) = entry_before(&upstream).await;
    let sent = Instant::now();
    let answer = call(entry.callers(), "GET", path).await;
    // The timeout of the routes of these tests.
    assert!(
        sent.elapsed() < Duration::from_secs(5),
        "answered before the deadline"
    );
    assert_eq!(answer.is_whole, is_whole);
    assert!(answer.status != 503, "it may have run");
}
