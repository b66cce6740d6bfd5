//! Bytes that a faulty upstream sends before its answer, in the form of an answer that names no request.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use common::caller::call;
use common::ready_entry;
use common::upstream::{Act, TestUpstream, body_of};
use rstest::rstest;
use wagtailreel_standins::RegistryStandin;

/// Returns an answer that names no request.
fn extra(status: u16) -> String {
    let body = "spoilt bytes";
    let length = body.len();
    format!("HTTP/1.1 {status} X\r\nx-unnamed: 1\r\ncontent-length: {length}\r\n\r\n{body}")
}

/// Guards against extra bytes that become the answer of the next request on their connection, a success of an order
/// that has not run among them.
#[rstest]
#[case::read("/read/1", 200)]
#[case::order("/order/1", 502)]
#[case::stream("/stream/1", 200)]
#[tokio::test]
async fn before_answer(
    #[case] path: &str,
    #[case] status: u16,
    #[values(200, 404, 500, 503)] of_extra: u16,
    #[values(false, true)] is_kept: bool,
) {
    let body = if path == "/stream/1" {
        body_of(1, 3)
    } else {
        "whole".to_owned()
    };
    let length = body.len();
    let sound = format!("HTTP/1.1 200 X\r\nx-id: r1\r\ncontent-length: {length}\r\n\r\n{body}");
    let mut acts = vec![Act::Steps(vec![(extra(of_extra) + &sound, 0)])];
    if is_kept {
        acts.insert(0, Act::Answer(200, "first"));
    }
    let (a, b) = (
        TestUpstream::start(&acts).await,
        TestUpstream::start(&acts).await,
    );
    let registry = RegistryStandin::default();
    let entry = ready_entry(&registry, &[("a", a.addr), ("b", b.addr)]).await;
    if is_kept {
        while a.seen().is_empty() || b.seen().is_empty() {
            assert_eq!(call(entry.callers(), "GET", "/read/0").await.body, "first");
        }
    }
    for upstream in [&a, &b] {
        upstream.set_next_act(&a, &b, Act::Steps(vec![(sound.clone(), 0)]));
    }
    let answer = call(entry.callers(), "GET", path).await;
    assert_eq!(answer.status, status, "{answer:?}");
    assert!(answer.is_whole);
    if status == 200 {
        assert_eq!(answer.body, body);
    }
}
