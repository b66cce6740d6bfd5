//! Kept connections of callers while an entry shuts down.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::time::{Duration, Instant};

use common::{Bench, SERVICE};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

/// Reads an answer without a body and returns the time-out in its `keep-alive` header.
async fn keep_alive_timeout(stream: &mut TcpStream) -> Option<Duration> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.unwrap());
    }
    let head = String::from_utf8(head).unwrap().to_ascii_lowercase();
    let timeout = head
        .lines()
        .find_map(|line| line.strip_prefix("keep-alive: timeout="))?;
    Some(Duration::from_secs(timeout.trim().parse().unwrap()))
}

/// Guards against closing an unused connection before its keep-alive time-out: a caller that does not
/// know of the shutdown may still send on it.
#[tokio::test(flavor = "multi_thread")]
async fn kept_connection() {
    let mut bench = Bench::start(SERVICE, 1, &["u1"]).await;
    let mut stream = TcpStream::connect(bench.callers(0)).await.unwrap();
    let req = "HEAD /no/such/route HTTP/1.1\r\nhost: entry\r\n\r\n";
    stream.write_all(req.as_bytes()).await.unwrap();
    let kept = keep_alive_timeout(&mut stream).await;
    let kept = kept.expect("callers are told how long a connection is kept");
    let since = Instant::now();
    let entry = bench.entries.remove(0);
    let shutdown = tokio::spawn(entry.shutdown());
    assert_eq!(stream.read(&mut [0]).await.unwrap(), 0);
    let after = since.elapsed();
    assert!(after > kept, "closed after {after:?}, kept for {kept:?}");
    shutdown.await.unwrap();
}
