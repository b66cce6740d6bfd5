//! Callers that send bytes without end, fast or one byte at a time.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

#[allow(dead_code, reason = "shared by the tests of this crate")]
mod common;

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use common::{Caller, DelayedHandler, GET, server};
use rstest::rstest;

/// Time between two bytes of a slow caller.
const BYTE_INTERVAL: Duration = Duration::from_millis(100);

/// Idle time of a connection, which is also the time for a head.
const IDLE: Duration = Duration::from_millis(800);

/// Maximum time of a connection: the time for a head, then the time for which the peer is waited for.
const MAX_TIME: Duration = Duration::from_millis(3500);

/// Maximum time of another request meanwhile.
const MAX_OTHER_TIME: Duration = Duration::from_millis(500);

/// Sends `first`, and `repeated` until the connection is closed. Returns how long that took.
fn send_endless(
    addr: SocketAddr,
    first: &'static str,
    repeated: &'static str,
    interval: Duration,
) -> Duration {
    let since = Instant::now();
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.write_all(first.as_bytes()).unwrap();
    let mut answer = stream.try_clone().unwrap();
    // A reset ends the answer as well.
    let reading = thread::spawn(move || answer.read_to_end(&mut Vec::new()).map(drop));
    let many = repeated.repeat(16 * 1024);
    let mut bytes = repeated.bytes().cycle();
    while since.elapsed() < MAX_TIME * 2 {
        let byte = [bytes.next().unwrap()];
        let next = if interval.is_zero() {
            many.as_bytes()
        } else {
            &byte
        };
        if stream.write_all(next).is_err() {
            break;
        }
        thread::sleep(interval);
    }
    let took = since.elapsed();
    drop(stream);
    let _ = reading.join().unwrap();
    took
}

/// A head or a request without an end, and bytes after the last answer of a connection, are read for a bounded
/// time, and hold up no other request.
#[rstest]
#[case::lines("GET / HTTP/1.1\r\n", "a: b\r\n", Duration::ZERO)]
#[case::lines_slow("GET / HTTP/1.1\r\n", "a: b\r\n", BYTE_INTERVAL)]
#[case::long_line("GET /", "a", Duration::ZERO)]
#[case::long_line_slow("GET /", "a", BYTE_INTERVAL)]
#[case::empty_lines("", "\r\n", Duration::ZERO)]
#[case::empty_lines_slow("", "\r\n", BYTE_INTERVAL)]
#[case::after_last(
    "GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n",
    "a",
    Duration::ZERO
)]
#[case::after_last_slow(
    "GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n",
    "a",
    BYTE_INTERVAL
)]
#[case::unread_body(
    "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 99999999999\r\n\r\n",
    "a",
    Duration::ZERO
)]
#[case::unread_body_slow(
    "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 99999999999\r\n\r\n",
    "a",
    BYTE_INTERVAL
)]
#[tokio::test]
async fn request(
    #[case] first: &'static str,
    #[case] repeated: &'static str,
    #[case] interval: Duration,
) {
    let server = server(DelayedHandler::default().with_idle(IDLE)).await;
    let addr = server.addr;
    let senders: Vec<_> = (0..3)
        .map(|_| thread::spawn(move || send_endless(addr, first, repeated, interval)))
        .collect();
    let mut longest = Duration::ZERO;
    while !senders.iter().all(thread::JoinHandle::is_finished) {
        let since = Instant::now();
        let mut caller = Caller::connect(addr).await;
        caller.send(GET);
        assert_eq!(caller.answer().await.status, 200);
        longest = longest.max(since.elapsed());
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    for sender in senders {
        let took = sender.join().unwrap();
        assert!(took < MAX_TIME, "a connection was open for {took:?}");
    }
    assert!(longest < MAX_OTHER_TIME, "another request took {longest:?}");
}
