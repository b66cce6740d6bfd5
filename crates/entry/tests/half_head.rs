//! Guards against a shutdown that hangs on a caller that never sends the rest of its request head.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::time::Duration;

use common::{Bench, SERVICE};
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;

/// Longer than the default grace period of processes.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(10);

#[tokio::test(flavor = "multi_thread")]
async fn half_head() {
    let mut bench = Bench::start(SERVICE, 1, &["u1"]).await;
    let mut caller = TcpStream::connect(bench.callers(0)).await.unwrap();
    caller.write_all(b"GET /v1/services/").await.unwrap();
    let entry = bench.entries.remove(0);
    let shutdown = tokio::time::timeout(SHUTDOWN_TIMEOUT, entry.shutdown()).await;
    assert!(
        shutdown.is_ok(),
        "the entry still runs after {SHUTDOWN_TIMEOUT:?}"
    );
    drop(caller);
}
