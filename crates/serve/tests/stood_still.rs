//! Requests that arrive while the process stands still for longer than a connection may be idle.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

#[allow(dead_code, reason = "shared by the tests of this crate")]
mod common;

use std::time::Duration;

use common::{Caller, DelayedHandler, GET, server};
use rstest::rstest;

const IDLE: Duration = Duration::from_millis(300);

/// A whole request that lies unread as the idle time passes is answered, and the connection isn't reset.
#[rstest]
#[case::kept("", GET)]
#[case::half_head(&GET[..20], &GET[20..])]
#[tokio::test]
async fn unread_request(#[case] first: &str, #[case] rest: &str) {
    let server = server(DelayedHandler::default().with_idle(IDLE)).await;
    let mut caller = Caller::connect(server.addr).await;
    server.accepted(1).await;
    caller.send(GET);
    assert_eq!(caller.answer().await.status, 200);
    caller.send(first);
    server.settle().await;
    caller.send(rest);
    // Blocks the runtime that the server runs on as well.
    std::thread::sleep(2 * IDLE);
    assert_eq!(caller.answer().await.status, 200);
}
