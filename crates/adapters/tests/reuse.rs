//! How long connections are used again.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use http::Request;
use rstest::rstest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use wagtailreel_adapters::{Body, HttpClient, collect_body};

/// Answers every request of a connection.
async fn serve(mut stream: TcpStream) {
    let mut head = Vec::new();
    while let Ok(byte) = stream.read_u8().await {
        head.push(byte);
        if head.ends_with(b"\r\n\r\n") {
            head.clear();
            let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
            stream.write_all(answer).await.unwrap();
        }
    }
}

/// A server that ends closes connections that were idle for longer than 2 s.
#[rstest]
#[case::at_once(Duration::ZERO, 1)]
#[case::after_idle(Duration::from_secs(2), 2)]
#[tokio::test]
async fn idle_connection(#[case] pause: Duration, #[case] connections: u64) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}/", listener.local_addr().unwrap());
    let accepted = Arc::new(AtomicU64::new(0));
    let count = Arc::clone(&accepted);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            count.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(serve(stream));
        }
    });
    let client = HttpClient::new();
    for pause in [Duration::ZERO, pause] {
        tokio::time::sleep(pause).await;
        let req = Request::get(&url).body(Body::empty()).unwrap();
        let response = client.request(req).await.unwrap();
        let body = collect_body(&url, response.into_body(), 10, Duration::from_secs(5));
        assert_eq!(body.await.unwrap(), "ok");
        // The connection goes back to the pool in a task of its own.
        tokio::task::yield_now().await;
    }
    assert_eq!(accepted.load(Ordering::Relaxed), connections);
}
