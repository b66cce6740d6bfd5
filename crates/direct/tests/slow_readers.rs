//! Callers that do not read their answers.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::time::Duration;

use common::caller::{get, parse, request};
use common::{TestDialect, ready_entry};
use rstest::rstest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::mpsc::unbounded_channel;
use wagtailreel_direct::DirectEntry;
use wagtailreel_standins::RegistryStandin;

/// Time within which the answer of a caller that does not read is ended. Below the deadline of the routes, 5 s.
const MAX_TIME: Duration = Duration::from_millis(3500);

/// Size of an answer, which no socket buffers hold.
const SIZE: usize = 48 << 20;

/// Returns the bytes that the entry holds for callers.
async fn held_bytes(entry: &DirectEntry<TestDialect>) -> u64 {
    let metrics = get(entry.status(), "/metrics", &[]).await.body;
    let line = metrics
        .lines()
        .find_map(|line| line.strip_prefix("wagtailreel_held_bytes "));
    line.unwrap().parse().unwrap()
}

/// An answer that its caller does not read is ended at the caller, as incomplete, and at its upstream, which would
/// hold it otherwise. Other requests are answered meanwhile.
#[rstest]
#[case::length("read", "content-length: 50331648\r\n\r\n", "a")]
#[case::stream("stream", "content-type: text/event-stream\r\n\r\n", "data: a\n\n")]
#[tokio::test]
async fn unread_answer(
    #[case] kind: &str,
    #[case] head: &'static str,
    #[case] piece: &'static str,
) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let upstream = listener.local_addr().unwrap();
    let (ended_tx, mut ended) = unbounded_channel();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let ended = ended_tx.clone();
            tokio::spawn(async move {
                let mut buf = Vec::new();
                while matches!(stream.read_buf(&mut buf).await, Ok(1..)) {
                    if !buf.ends_with(b"\r\n\r\n") {
                        continue;
                    }
                    let is_long = String::from_utf8_lossy(&buf).contains("/long");
                    buf.clear();
                    if !is_long {
                        let text = b"HTTP/1.1 200 X\r\ncontent-length: 2\r\n\r\nok";
                        stream.write_all(text).await.unwrap();
                        continue;
                    }
                    let text = format!("HTTP/1.1 200 X\r\n{head}");
                    stream.write_all(text.as_bytes()).await.unwrap();
                    let body = piece.repeat(SIZE / piece.len());
                    let sent = stream.write_all(body.as_bytes()).await;
                    ended.send(sent.is_ok()).unwrap();
                }
            });
        }
    });
    let entry = ready_entry(&RegistryStandin::default(), &[("a", upstream)]).await;
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(16 * 1024).unwrap();
    let mut caller = socket.connect(entry.callers()).await.unwrap();
    let headers = [("x-id", "r1"), ("x-key", "k1")];
    let text = request("GET", &format!("/{kind}/long"), &headers, "");
    caller.write_all(text.as_bytes()).await.unwrap();
    while held_bytes(&entry).await == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let was_sent = tokio::time::timeout(MAX_TIME, ended.recv()).await;
    let was_sent = was_sent
        .expect("the upstream still holds the answer")
        .unwrap();
    assert!(!was_sent, "the entry holds all of the answer");
    let mut buf = Vec::new();
    // A reset ends the answer.
    let _ = caller.read_to_end(&mut buf).await;
    let answer = parse(&String::from_utf8_lossy(&buf));
    assert!(!answer.is_whole, "{} bytes", answer.body.len());
    let other = get(entry.callers(), "/read/other", &headers).await;
    assert_eq!(other.status, 200);
    let metrics = get(entry.status(), "/metrics", &[]).await.body;
    let is_counted = |line: &str| line.contains("callers") && line.contains("\"unread\"} 1");
    assert!(metrics.lines().any(is_counted), "{metrics}");
    assert_eq!(held_bytes(&entry).await, 0);
}
