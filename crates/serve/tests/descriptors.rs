//! A server without free file descriptors at the close of its listener.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

#[allow(dead_code, reason = "shared by the tests of this crate")]
mod common;

use std::fs::File;
use std::time::Duration;

use common::{Caller, DelayedHandler, GET, server};
use wagtailreel_serve::Phase;

/// The backlog is accepted once descriptors are free again.
#[tokio::test]
async fn backlog() {
    let mut server = server(DelayedHandler::default()).await;
    server.settle().await;
    let mut callers = Vec::new();
    for _ in 0..3 {
        let mut caller = Caller::connect_at_once(server.addr);
        caller.send(GET);
        callers.push(caller);
    }
    let mut taken = Vec::new();
    while let Ok(file) = File::open("/dev/null") {
        taken.push(file);
    }
    server.server.enter(Phase::Closing);
    // Longer than the pause after a failed accept.
    tokio::time::sleep(Duration::from_millis(200)).await;
    drop(taken);
    for mut caller in callers {
        let answer = caller.answer().await;
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    server.server.ended().await;
}
