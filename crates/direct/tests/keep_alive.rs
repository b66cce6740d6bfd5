//! Keep-alive times that upstreams state.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use common::caller::call;
use common::ready_entry;
use common::upstream::{Act, TestUpstream};
use rstest::rstest;
use wagtailreel_standins::RegistryStandin;

/// Guards against a time that no clock reaches, which ended the task of the caller without an answer.
#[rstest]
#[case::hour("x-keep-alive: 3600\r\n")]
#[case::longest_time("x-keep-alive: 9223372036854775807\r\n")]
#[case::longest_number("x-keep-alive: 18446744073709551615\r\n")]
#[case::no_time("x-keep-alive: 0\r\n")]
#[tokio::test]
async fn stated_time(#[case] line: &'static str, #[values("/read/1", "/order/1")] path: &str) {
    let acts = [Act::AnswerWith(200, line), Act::AnswerWith(200, line)];
    let upstream = TestUpstream::start(&acts).await;
    let registry = RegistryStandin::default();
    let entry = ready_entry(&registry, &[("a", upstream.addr)]).await;
    for _ in 0..2 {
        let answer = call(entry.callers(), "GET", path).await;
        assert_eq!((answer.status, answer.is_whole), (200, true));
    }
}
