//! The count of bytes that an entry holds for its callers.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use prometheus::IntGauge;
use wagtailreel_direct::Held;

/// Guards against bytes that are counted twice or stay counted, for any copies.
#[tokio::test]
async fn copies() {
    let gauge = IntGauge::new("held", "held").unwrap();
    let held = Held::new(100, gauge.clone());
    let mut bytes = held.hold(Bytes::from_static(&[7; 60]));
    let copy = bytes.clone();
    let part = bytes.split_to(10);
    assert_eq!((held.used(), gauge.get(), part.len()), (60, 60, 10));
    drop((bytes, copy));
    assert_eq!(held.used(), 60, "a part is still held");
    drop(part);
    assert_eq!((held.used(), gauge.get()), (0, 0));
}

/// Guards against answers that are read without room for them, and against waiters that are not told of room.
#[tokio::test]
async fn room() {
    let held = Held::new(100, IntGauge::new("held", "held").unwrap());
    assert!(held.room(Duration::ZERO).await);
    let first = held.hold(Bytes::from_static(&[7; 60]));
    let second = held.hold(Bytes::from_static(&[7; 60]));
    assert!(!held.room(Duration::from_millis(20)).await);
    let waiting = {
        let held = Arc::clone(&held);
        tokio::spawn(async move { held.room(Duration::from_secs(10)).await })
    };
    tokio::task::yield_now().await;
    drop(first);
    assert!(waiting.await.unwrap());
    drop(second);
}
