//! Bytes that a faulty upstream sends before its answer, in the form of an answer that names no request.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use common::caller::call;
use common::pair::Pair;
use common::upstream::{Act, body_of};
use rstest::rstest;

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
    let first = Act::Steps(vec![(extra(of_extra) + &sound, 0)]);
    let pair = if is_kept {
        Pair::with_kept_connections(&[first]).await
    } else {
        Pair::start(&[first]).await
    };
    pair.set_second_act(&Act::Steps(vec![(sound, 0)]));
    let answer = call(pair.entry.callers(), "GET", path).await;
    assert_eq!(answer.status, status, "{answer:?}");
    assert!(answer.is_whole);
    if status == 200 {
        assert_eq!(answer.body, body);
    }
}
