//! What a caller gets whose request is still under way as the grace ends.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::time::Duration;

use common::caller::get;
use common::ready_entry;
use common::upstream::{Act, TestUpstream};
use rstest::rstest;
use wagtailreel_standins::RegistryStandin;

/// A whole request that was passed on gets an answer, which promises nothing.
#[rstest]
#[case::once("/order/1")]
#[case::repeatable("/read/1")]
#[tokio::test]
async fn passed_on(#[case] path: &'static str) {
    let registry = RegistryStandin::default();
    let upstream = TestUpstream::start(&[Act::Silent, Act::Silent]).await;
    let entry = ready_entry(&registry, &[("a", upstream.addr)]).await;
    let callers = entry.callers();
    let headers = [("x-id", "r1"), ("x-key", "k1"), ("x-deadline", "5000")];
    let call = tokio::spawn(async move { get(callers, path, &headers).await });
    upstream.until_seen(1).await;
    entry.shutdown().await;
    // The process ends now; what is on its way to the caller still arrives.
    let answer = tokio::time::timeout(Duration::from_millis(300), call).await;
    let answer = answer.expect("the process ends without an answer").unwrap();
    assert!(matches!(answer.status, 502 | 504), "{answer:?}");
}
