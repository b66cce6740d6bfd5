//! The `Keep-Alive` and `Connection` headers announce how long a connection is kept open.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

#[allow(dead_code, reason = "shared by the tests of this crate")]
mod common;

use std::time::Duration;

use common::{Caller, DelayedHandler, GET, server};
use wagtailreel_serve::Phase;

/// A request with `Connection: close` gets no `Keep-Alive` header.
#[tokio::test]
async fn caller_closes() {
    let server = server(DelayedHandler::default()).await;
    let mut caller = Caller::connect(server.addr).await;
    caller.send("GET / HTTP/1.1\r\nhost: shop.example\r\nconnection: close\r\n\r\n");
    let answer = caller.answer().await;
    assert_eq!(answer.status, 200, "{answer:?}");
    assert!(answer.closes, "{answer:?}");
    assert_eq!(answer.keep_alive, None, "{answer:?}");
}

/// An HTTP/1.0 request without `Connection: keep-alive` gets no `Keep-Alive` header.
#[tokio::test]
async fn old_caller() {
    let server = server(DelayedHandler::default()).await;
    let mut caller = Caller::connect(server.addr).await;
    caller.send("GET / HTTP/1.0\r\nhost: shop.example\r\n\r\n");
    let answer = caller.answer().await;
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(answer.keep_alive, None, "{answer:?}");
    caller.ended().await;
}

/// An HTTP/1.0 caller with `Connection: keep-alive` keeps its connection until `Phase::Leaving`.
#[tokio::test]
async fn old_caller_keeps() {
    let keep_alive_req = "GET / HTTP/1.0\r\nhost: shop.example\r\nconnection: keep-alive\r\n\r\n";
    let server = server(DelayedHandler::default()).await;
    let mut caller = Caller::connect(server.addr).await;
    caller.send(keep_alive_req);
    let answer = caller.answer().await;
    assert!(answer.keep_alive.is_some(), "{answer:?}");
    server.server.enter(Phase::Leaving);
    caller.send(keep_alive_req);
    let answer = caller.answer().await;
    assert_eq!(answer.status, 200, "{answer:?}");
    assert!(answer.closes, "{answer:?}");
    assert_eq!(answer.keep_alive, None, "{answer:?}");
    caller.ended().await;
}

/// A connection is not closed before the announced time, also if the idle limit is short.
#[tokio::test]
async fn short_idle() {
    let handler = DelayedHandler::default().with_idle(Duration::from_millis(1200));
    let server = server(handler).await;
    let mut caller = Caller::connect(server.addr).await;
    caller.send(GET);
    let answer = caller.answer().await;
    let since = std::time::Instant::now();
    caller.ended().await;
    let after = since.elapsed();
    let kept = answer.keep_alive.unwrap_or_default();
    assert!(after > kept, "closed after {after:?}, announced {kept:?}");
}

/// If the handler does not read a request body, the response carries `Connection: close` or the connection
/// stays usable.
#[tokio::test]
async fn unread_body() {
    let server = server(DelayedHandler::new(Duration::from_millis(50))).await;
    let mut caller = Caller::connect(server.addr).await;
    caller.send("POST / HTTP/1.1\r\nhost: shop.example\r\ncontent-length: 4\r\n\r\n");
    let answer = caller.answer().await;
    assert_eq!(answer.status, 200, "{answer:?}");
    if !answer.closes {
        caller.send("abcd");
        caller.send(GET);
        let answer = caller.answer().await;
        assert_eq!(answer.status, 200, "{answer:?}");
    } else {
        assert_eq!(answer.keep_alive, None, "{answer:?}");
    }
}

/// A slow caller counts the keep-alive time from when it has read the response.
#[tokio::test]
async fn slow_caller() {
    let server = server(DelayedHandler::new(Duration::from_millis(50))).await;
    let mut caller = Caller::connect(server.addr).await;
    caller.send(GET);
    let head = caller.head().await;
    assert!(!head.closes, "{head:?}");
    server.server.enter(Phase::Leaving);
    let kept = head.keep_alive.unwrap();
    // The response stays in the caller's socket for longer than the keep-alive time.
    tokio::time::sleep(kept + kept / 2).await;
    caller.body(&head).await;
    caller.send(GET);
    let answer = caller.answer().await;
    assert_eq!(answer.status, 200, "{answer:?}");
}
