//! Answers that are sent in chunks and state a length as well, which holds for nothing then.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::time::Duration;

use common::caller::{Answer, call};
use common::upstream::{Act, TestUpstream, body_of, chunk};
use common::{directory, register, route};
use rstest::rstest;
use wagtailreel_fleet::RouteKind;
use wagtailreel_standins::RegistryStandin;

/// Longer than what an entry buffers of a body before it passes it on.
const LONG: usize = 300 * 1024;

/// Sends a request to an upstream that answers with `body` in chunks under a head with `lines`.
async fn answer_with(path: &str, lines: &str, body: &str) -> Answer {
    let head = format!("HTTP/1.1 200 X\r\nx-id: r1\r\n{lines}\r\n");
    let text = head + &chunk(body) + "0\r\n\r\n";
    let upstream = TestUpstream::start(&[Act::Steps(vec![(text, 0)])]).await;
    let registry = RegistryStandin::default();
    let mut routes = vec![
        route("/read/", RouteKind::Idempotent),
        route("/order/", RouteKind::NonIdempotent),
    ];
    for (prefix, resumable) in [("/stream/", true), ("/once/", false)] {
        let kind = RouteKind::Stream {
            resumable,
            gap: None,
        };
        routes.push(route(prefix, kind));
    }
    registry.config(directory(1).with_routes(routes));
    register(&registry, "a", upstream.addr);
    let entry = common::entry(&registry, Duration::from_secs(4)).await;
    common::until_readiness(&entry, 200).await;
    call(entry.callers(), "GET", path).await
}

/// Guards against a body that is cut at a length that its upstream did not keep to, or exceeds it on the caller's
/// connection.
#[rstest]
#[tokio::test]
async fn stated_beside_chunks(
    #[values("/read/1", "/order/1", "/stream/1", "/once/1")] path: &str,
    #[values(0, 30, 9_000_000)] stated: usize,
    #[values(false, true)] is_long: bool,
) {
    let count = if is_long { LONG as u64 / 20 } else { 4 };
    let body = body_of(1, count);
    let lines = format!("content-length: {stated}\r\ntransfer-encoding: chunked\r\n");
    let answer = answer_with(path, &lines, &body).await;
    assert_eq!(answer.status, 200);
    assert!(answer.is_whole, "{}", answer.head);
    assert!(
        answer.body == body,
        "{} bytes of {}",
        answer.body.len(),
        body.len()
    );
}
