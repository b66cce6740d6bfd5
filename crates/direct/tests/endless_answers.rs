//! Upstreams that send bytes without end that are no answer, fast or one byte at a time.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use common::caller::{Answer, get, parse, request};
use common::upstream::body_of;
use common::{TestDialect, ready_entry};
use rstest::rstest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use wagtailreel_direct::DirectEntry;
use wagtailreel_standins::RegistryStandin;

/// Time between two bytes of a slow upstream.
const BYTE_INTERVAL: Duration = Duration::from_millis(100);

/// Deadline of the requests.
const DEADLINE: Duration = Duration::from_millis(3000);

/// Maximum time after the deadline in which an answer ends.
const MARGIN: Duration = Duration::from_millis(1000);

/// Maximum time of a request to the other upstream meanwhile.
const MAX_OTHER_TIME: Duration = Duration::from_millis(700);

/// Maximum bytes that a caller reads of an answer.
const MAX_READ: u64 = 128 << 20;

/// How fast an upstream sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rate {
    Fast,
    /// One byte at a time.
    Slow,
}

/// What an upstream sends without end.
#[derive(Clone, Copy, Debug)]
struct Endless {
    first: &'static str,
    repeated: &'static str,
    rate: Rate,
}

const fn endless(first: &'static str, repeated: &'static str, rate: Rate) -> Endless {
    Endless {
        first,
        repeated,
        rate,
    }
}

const CHUNKED: &str = "HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n\r\n";
const UNFRAMED: &str = "HTTP/1.1 200 X\r\n\r\n";
const STREAM: &str =
    "HTTP/1.1 200 X\r\ncontent-type: text/event-stream\r\n\r\nid: 1\ndata: piece 1\n\n";
const LONG_CHUNK: &str = "10\r\naaaaaaaaaaaaaaaa\r\n";

/// Two upstreams, of which the one that gets the first request of path `.../faulty` sends without end.
struct Upstreams {
    addrs: [SocketAddr; 2],
    requests: watch::Receiver<usize>,
    /// Whether the entry has closed the connection of the endless answer.
    closed: watch::Receiver<bool>,
}

impl Upstreams {
    async fn start(fault: Endless) -> Self {
        let is_faulty = Arc::new(AtomicBool::new(true));
        let (requests_tx, requests) = watch::channel(0);
        let (closed_tx, closed) = watch::channel(false);
        let mut addrs = Vec::new();
        for _ in 0..2 {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            addrs.push(listener.local_addr().unwrap());
            let (is_faulty, requests, closed) = (
                Arc::clone(&is_faulty),
                requests_tx.clone(),
                closed_tx.clone(),
            );
            tokio::spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let (is_faulty, requests) = (Arc::clone(&is_faulty), requests.clone());
                    tokio::spawn(serve(stream, fault, is_faulty, requests, closed.clone()));
                }
            });
        }
        Self {
            addrs: addrs.try_into().unwrap(),
            requests,
            closed,
        }
    }

    async fn entry(&self) -> DirectEntry<TestDialect> {
        let [a, b] = self.addrs;
        ready_entry(&RegistryStandin::default(), &[("a", a), ("b", b)]).await
    }

    /// Waits until the entry has closed the connection of the endless answer.
    async fn until_closed(&mut self) {
        let closed = self.closed.wait_for(|closed| *closed);
        let closed = tokio::time::timeout(Duration::from_secs(10), closed).await;
        assert!(closed.is_ok(), "the connection is still open");
    }
}

async fn serve(
    mut stream: TcpStream,
    fault: Endless,
    is_faulty: Arc<AtomicBool>,
    requests: watch::Sender<usize>,
    closed: watch::Sender<bool>,
) {
    let mut buf = Vec::new();
    loop {
        buf.clear();
        while !buf.ends_with(b"\r\n\r\n") {
            let Ok(byte) = stream.read_u8().await else {
                return;
            };
            buf.push(byte);
        }
        let head = String::from_utf8_lossy(&buf).to_ascii_lowercase();
        if head.contains("/faulty") {
            requests.send_modify(|it| *it += 1);
            if is_faulty.swap(false, Ordering::Relaxed) {
                send_endless(&mut stream, fault).await;
                closed.send_replace(true);
                return;
            }
        }
        let text = if head.contains("/stream/") {
            let after = head
                .lines()
                .find_map(|it| it.strip_prefix("last-event-id: "));
            let from = after.map_or(1, |id| id.parse::<u64>().unwrap() + 1);
            let body = body_of(from, 3);
            format!(
                "HTTP/1.1 200 X\r\ncontent-length: {}\r\n\r\n{body}",
                body.len()
            )
        } else {
            "HTTP/1.1 200 X\r\ncontent-length: 2\r\n\r\nok".to_owned()
        };
        if stream.write_all(text.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Sends until the connection is closed.
async fn send_endless(stream: &mut TcpStream, fault: Endless) {
    if fault.rate == Rate::Fast {
        let _ = stream.write_all(fault.first.as_bytes()).await;
        let many = fault.repeated.repeat(4096 / fault.repeated.len() + 1);
        while stream.write_all(many.as_bytes()).await.is_ok() {}
        return;
    }
    // The head comes at once if a body follows.
    let split = fault.first.rfind("\n\n").map(|at| at + 2);
    let split = split.or_else(|| fault.first.find("\r\n\r\n").map(|at| at + 4));
    let (at_once, slow) = fault.first.split_at(split.unwrap_or(0));
    let _ = stream.write_all(at_once.as_bytes()).await;
    for byte in slow.bytes().chain(fault.repeated.bytes().cycle()) {
        if stream.write_all(&[byte]).await.is_err() {
            return;
        }
        tokio::time::sleep(BYTE_INTERVAL).await;
    }
}

/// Sends a request whose answer has no end, and others beside it. Returns the answer and how long it took.
async fn call(entry: &DirectEntry<TestDialect>, kind: &str) -> (Answer, Duration) {
    let addr = entry.callers();
    let others = tokio::spawn(async move {
        loop {
            let since = Instant::now();
            let answer = get(addr, "/read/other", &[("x-id", "o1"), ("x-key", "k1")]).await;
            assert_eq!((answer.status, answer.body.as_str()), (200, "ok"));
            let took = since.elapsed();
            assert!(took < MAX_OTHER_TIME, "another request took {took:?}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    });
    let deadline = DEADLINE.as_millis().to_string();
    let headers = [
        ("x-id", "r1"),
        ("x-key", "k1"),
        ("x-deadline", deadline.as_str()),
    ];
    let since = Instant::now();
    let path = format!("/{kind}/faulty");
    let reading = read_bounded(addr, request("GET", &path, &headers, ""));
    let answer = tokio::time::timeout(DEADLINE * 3, reading).await;
    let took = since.elapsed();
    assert!(!others.is_finished(), "a request beside it failed");
    others.abort();
    (answer.expect("the answer has no end"), took)
}

/// Sends `text` and reads the answer, up to [`MAX_READ`] bytes.
async fn read_bounded(addr: SocketAddr, text: String) -> Answer {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut buf = Vec::new();
    // A reset ends the answer as well; the bytes before it are kept.
    let _ = (&mut stream).take(MAX_READ).read_to_end(&mut buf).await;
    assert!((buf.len() as u64) < MAX_READ, "the answer has no end");
    parse(&String::from_utf8_lossy(&buf))
}

const INTERIM: &str = "HTTP/1.1 102 X\r\n\r\n";

/// A head that never ends is no answer: the request is repeated if it may be, and is otherwise answered as one
/// that may have run.
#[rstest]
#[case::interim(endless("", INTERIM, Rate::Fast))]
#[case::interim_slow(endless("", INTERIM, Rate::Slow))]
#[case::lines(endless("HTTP/1.1 200 X\r\n", "x-a: b\r\n", Rate::Fast))]
#[case::lines_slow(endless("HTTP/1.1 200 X\r\n", "x-a: b\r\n", Rate::Slow))]
#[case::long_line(endless("HTTP/1.1 200 X\r\nx-a: ", "a", Rate::Fast))]
#[case::long_line_slow(endless("HTTP/1.1 200 X\r\nx-a: ", "a", Rate::Slow))]
#[case::empty_lines(endless("", "\r\n", Rate::Fast))]
#[case::empty_lines_slow(endless("", "\r\n", Rate::Slow))]
#[case::no_http(endless("", "a", Rate::Fast))]
#[case::no_http_slow(endless("", "a", Rate::Slow))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn head(#[case] fault: Endless) {
    for (kind, status, requests, body) in [
        ("read", 200, 2, Some("ok".to_owned())),
        ("stream", 200, 2, Some(body_of(1, 3))),
        ("order", 502, 1, None),
    ] {
        let mut upstreams = Upstreams::start(fault).await;
        let entry = upstreams.entry().await;
        let (answer, took) = call(&entry, kind).await;
        assert_eq!(
            (answer.status, answer.is_whole),
            (status, true),
            "{kind}: {answer:?}"
        );
        assert!(
            body.is_none_or(|body| body == answer.body),
            "{kind}: {answer:?}"
        );
        assert_eq!(*upstreams.requests.borrow(), requests, "{kind}");
        assert!(took < DEADLINE, "{kind} took {took:?}");
        upstreams.until_closed().await;
    }
}

/// A body that never ends reaches no caller as a complete answer, and ends by the deadline.
#[rstest]
#[case::chunks(endless(CHUNKED, LONG_CHUNK, Rate::Fast))]
#[case::chunks_slow(endless(CHUNKED, LONG_CHUNK, Rate::Slow))]
#[case::unframed(endless(UNFRAMED, "a", Rate::Fast))]
#[case::unframed_slow(endless(UNFRAMED, "a", Rate::Slow))]
#[case::extension(endless(
    "HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n\r\n1;x=",
    "a",
    Rate::Fast
))]
#[case::extension_slow(endless(
    "HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n\r\n1;x=",
    "a",
    Rate::Slow
))]
#[case::size_of_zeros(endless(
    "HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n\r\n",
    "0",
    Rate::Fast
))]
#[case::size_of_zeros_slow(endless(
    "HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n\r\n",
    "0",
    Rate::Slow
))]
#[case::long_size(endless(
    "HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n\r\n",
    "f",
    Rate::Fast
))]
#[case::trailers(endless(
    "HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
    "a: b\r\n",
    Rate::Fast
))]
#[case::trailers_slow(endless(
    "HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
    "a: b\r\n",
    Rate::Slow
))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn body(#[case] fault: Endless) {
    for kind in ["read", "order"] {
        let mut upstreams = Upstreams::start(fault).await;
        let entry = upstreams.entry().await;
        let (answer, took) = call(&entry, kind).await;
        let is_repeated = *upstreams.requests.borrow() == 2;
        assert!(
            !answer.is_whole || answer.status >= 500 || (is_repeated && answer.body == "ok"),
            "{kind}: {}, {} bytes",
            answer.status,
            answer.body.len()
        );
        assert_ne!(answer.status, 503, "{kind}: the request has run");
        assert!(took < DEADLINE + MARGIN, "{kind} took {took:?}");
        upstreams.until_closed().await;
    }
}

/// An event that never ends breaks the stream, which another upstream resumes.
#[rstest]
#[case::line(endless(STREAM, "a", Rate::Fast))]
#[case::line_slow(endless(STREAM, "a", Rate::Slow))]
#[case::lines(endless(STREAM, "data: a\n", Rate::Fast))]
#[case::lines_slow(endless(STREAM, "data: a\n", Rate::Slow))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn event(#[case] fault: Endless) {
    let mut upstreams = Upstreams::start(fault).await;
    let entry = upstreams.entry().await;
    let (answer, took) = call(&entry, "stream").await;
    assert_eq!((answer.status, answer.is_whole), (200, true), "{answer:?}");
    assert_eq!(answer.body, body_of(1, 3));
    assert!(took < DEADLINE, "took {took:?}");
    upstreams.until_closed().await;
}

/// Comments are events without an id, and a stream of them ends by the deadline.
#[rstest]
#[case::fast(endless(STREAM, ": a\n\n", Rate::Fast))]
#[case::slow(endless(STREAM, ": a\n\n", Rate::Slow))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn comments(#[case] fault: Endless) {
    let mut upstreams = Upstreams::start(fault).await;
    let entry = upstreams.entry().await;
    let (answer, took) = call(&entry, "stream").await;
    assert!(!answer.is_whole, "{} bytes", answer.body.len());
    assert!(took < DEADLINE + MARGIN, "took {took:?}");
    upstreams.until_closed().await;
}

/// Bytes after a complete answer close the connection, and are not taken for the next answer.
#[rstest]
#[case::fast(Rate::Fast)]
#[case::slow(Rate::Slow)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn after_answer(#[case] rate: Rate) {
    const LATE: &str = "HTTP/1.1 200 X\r\ncontent-length: 4\r\n\r\nlate";
    let first = "HTTP/1.1 200 X\r\ncontent-length: 2\r\n\r\nok";
    let mut upstreams = Upstreams::start(endless(first, LATE, rate)).await;
    let entry = upstreams.entry().await;
    let (answer, _) = call(&entry, "read").await;
    assert_eq!((answer.status, answer.body.as_str()), (200, "ok"));
    upstreams.until_closed().await;
}
