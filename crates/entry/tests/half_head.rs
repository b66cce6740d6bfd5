//! A caller that never sends the rest of its request doesn't keep an entry from ending.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::time::Duration;

use common::{Bench, SERVICE};
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;

/// Longer than the grace that processes are given by default.
const LONGEST: Duration = Duration::from_secs(10);

#[tokio::test(flavor = "multi_thread")]
async fn half_head() {
    let mut bench = Bench::start(SERVICE, 1, &["u1"]).await;
    let mut caller = TcpStream::connect(bench.callers(0)).await.unwrap();
    caller.write_all(b"GET /v1/services/").await.unwrap();
    let entry = bench.entries.remove(0);
    let shutdown = tokio::time::timeout(LONGEST, entry.shutdown()).await;
    assert!(shutdown.is_ok(), "the entry still runs after {LONGEST:?}");
    drop(caller);
}
