//! Servers whose answers have no end.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::Request;
use rstest::rstest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;
use wagtailreel_adapters::{Body, HttpClient, body_timeout, collect_body};

/// Time between two bytes of a slow server.
const BYTE_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum time between two frames.
const STALL: Duration = Duration::from_millis(200);

/// Maximum size of an answer.
const LIMIT: usize = 1 << 20;

/// Starts a server that answers each request with `first`, and with `repeated` without end. With an interval
/// it sends the latter one byte at a time.
async fn endless(first: &'static str, repeated: &'static str, interval: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut buf = [0; 1024];
                assert!(stream.read(&mut buf).await.unwrap() > 0);
                stream.write_all(first.as_bytes()).await.unwrap();
                let many = repeated.repeat(4096);
                let mut bytes = repeated.bytes().cycle();
                loop {
                    let byte = [bytes.next().unwrap()];
                    let next = if interval.is_zero() {
                        many.as_bytes()
                    } else {
                        &byte
                    };
                    if stream.write_all(next).await.is_err() {
                        return;
                    }
                    tokio::time::sleep(interval).await;
                }
            });
        }
    });
    addr
}

const CHUNKED: &str = "HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n\r\n";
const CHUNK: &str = "8\r\naaaaaaaa\r\n";

/// An answer without an end fails within its time and size, whatever it consists of.
#[rstest]
#[case::chunks(CHUNKED, CHUNK, Duration::ZERO)]
#[case::chunks_slow(CHUNKED, CHUNK, BYTE_INTERVAL)]
#[case::unframed("HTTP/1.1 200 X\r\n\r\n", "a", Duration::ZERO)]
#[case::unframed_slow("HTTP/1.1 200 X\r\n\r\n", "a", BYTE_INTERVAL)]
#[case::long(
    "HTTP/1.1 200 X\r\ncontent-length: 99999999999\r\n\r\n",
    "a",
    Duration::ZERO
)]
#[case::long_slow(
    "HTTP/1.1 200 X\r\ncontent-length: 99999999999\r\n\r\n",
    "a",
    BYTE_INTERVAL
)]
#[case::interim("", "HTTP/1.1 102 X\r\n\r\n", Duration::ZERO)]
#[case::interim_slow("", "HTTP/1.1 102 X\r\n\r\n", BYTE_INTERVAL)]
#[case::lines("HTTP/1.1 200 X\r\n", "a: b\r\n", Duration::ZERO)]
#[case::lines_slow("HTTP/1.1 200 X\r\n", "a: b\r\n", BYTE_INTERVAL)]
#[tokio::test]
async fn answer(
    #[case] first: &'static str,
    #[case] repeated: &'static str,
    #[case] interval: Duration,
) {
    let addr = endless(first, repeated, interval).await;
    let client = HttpClient::new();
    let url = format!("http://{addr}/");
    let req = Request::get(&url).body(Body::empty()).unwrap();
    let since = Instant::now();
    let reading = async {
        let response = client.request_within(req, STALL).await.ok()?;
        let body = collect_body(&url, response.into_body(), LIMIT, STALL).await;
        body.ok()
    };
    let read = tokio::time::timeout(Duration::from_secs(20), reading).await;
    let took = since.elapsed();
    assert_eq!(read.expect("the answer is read without end"), None);
    let max = body_timeout(STALL, LIMIT) + STALL * 2;
    assert!(took < max, "took {took:?}");
}

/// Guards against a limit that ends long answers which arrive at an ordinary rate.
#[rstest]
#[case::empty(0, Duration::from_millis(1200))]
#[case::megabyte(1 << 20, Duration::from_secs(65))]
fn time_grows_with_bytes(#[case] received: usize, #[case] min: Duration) {
    assert!(body_timeout(STALL, received) >= min);
}
