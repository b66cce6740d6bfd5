//! Answers to callers of an entry that was suspended while its grace period ended.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use common::caller::{parse, request};
use common::upstream::TestUpstream;
use common::{TestDialect, ready_entry, until_status};
use rstest::rstest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::runtime::{Builder, Runtime};
use tokio::task::JoinHandle;
use wagtailreel_direct::DirectEntry;
use wagtailreel_standins::RegistryStandin;

/// Grace period of the entries of these tests.
const GRACE_PERIOD: Duration = Duration::from_secs(2);

/// Time after the grace period at which the process would be killed.
const KILL_DELAY: Duration = Duration::from_millis(600);

/// Number of concurrent callers: more than the runtime serves in one turn.
const CALLERS: usize = 100;

/// A request that keeps its connection open.
const KEEP_ALIVE_REQUEST: &str = "GET /read/1 HTTP/1.1\r\nhost: shop.example\r\n\
                    x-id: r0\r\nx-key: k1\r\nx-deadline: 5000\r\n\r\n";

/// How much of a request is sent.
#[derive(Clone, Copy, Debug)]
enum Part {
    /// All of it.
    Whole,
    /// A part of its head.
    Head,
    /// Its head and a part of its body.
    Body,
}

impl Part {
    fn text(self) -> String {
        let headers = [("x-id", "r1"), ("x-key", "k1"), ("x-deadline", "5000")];
        let mut text = request("POST", "/order/1", &headers, &"x".repeat(500));
        let length = match self {
            Self::Whole => text.len(),
            Self::Head => 34,
            Self::Body => text.find("\r\n\r\n").unwrap() + 8,
        };
        text.truncate(length);
        text
    }
}

/// When a caller opens its connection.
#[derive(Clone, Copy, Debug)]
enum Opened {
    /// Before the entry shuts down, and a request was answered on it.
    BeforeShutdown,
    /// While the entry is suspended.
    WhileSuspended,
}

/// Returns a runtime that stands for the process of the entry: dropping it closes all connections of the
/// entry.
fn runtime() -> Runtime {
    Builder::new_current_thread().enable_all().build().unwrap()
}

/// Opens a connection and waits until a request was answered on it.
async fn kept_connection(addr: SocketAddr) -> TcpStream {
    let mut stream = tokio::net::TcpStream::connect(addr).await.unwrap();
    stream
        .write_all(KEEP_ALIVE_REQUEST.as_bytes())
        .await
        .unwrap();
    let mut got = Vec::new();
    while !parse(&String::from_utf8_lossy(&got)).is_whole {
        assert_ne!(stream.read_buf(&mut got).await.unwrap(), 0, "{got:?}");
    }
    let stream = stream.into_std().unwrap();
    stream.set_nonblocking(false).unwrap();
    stream
}

/// Blocks the only thread of the runtime until `until`.
fn suspend_until(until: Instant) {
    while let Some(left) = until.checked_duration_since(Instant::now()) {
        std::thread::sleep(left);
    }
}

/// Opens [`CALLERS`] connections on which a request was answered.
async fn kept_connections(addr: SocketAddr) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    for _ in 0..CALLERS {
        streams.push(kept_connection(addr).await);
    }
    streams
}

/// Waits until the entry closes an idle connection, which it does in the last phase of its shutdown.
async fn until_idle_closed(idle: TcpStream) {
    idle.set_nonblocking(true).unwrap();
    let mut idle = tokio::net::TcpStream::from_std(idle).unwrap();
    assert_eq!(idle.read(&mut [0]).await.unwrap(), 0);
}

/// Sends `text` on each connection, into the receive buffers of the entry.
fn send(streams: &mut [TcpStream], text: &str) {
    for stream in streams {
        stream.write_all(text.as_bytes()).unwrap();
    }
}

/// Checks that each caller gets a complete refusal from a process that has ended.
fn assert_refused(streams: Vec<TcpStream>) {
    for (number, mut stream) in streams.into_iter().enumerate() {
        let mut got = Vec::new();
        let end = stream.read_to_end(&mut got);
        let answer = parse(&String::from_utf8_lossy(&got));
        assert!(end.is_ok(), "{number}: {end:?} after {answer:?}");
        assert_eq!(answer.status, 503, "{number}: {answer:?}");
        assert!(answer.is_whole, "{number}: {answer:?}");
        assert!(answer.header("retry-after").is_some(), "{answer:?}");
        assert_eq!(answer.header("connection"), Some("close"), "{answer:?}");
    }
}

/// Starts an entry with one upstream.
async fn start_entry() -> (RegistryStandin, TestUpstream, DirectEntry<TestDialect>) {
    let registry = RegistryStandin::default();
    let upstream = TestUpstream::start(&[]).await;
    let entry = ready_entry(&registry, &[("a", upstream.addr)]).await;
    (registry, upstream, entry)
}

/// Starts the shutdown of an entry. Returns its task, and the end of the grace period.
async fn start_shutdown(entry: DirectEntry<TestDialect>) -> (JoinHandle<()>, Instant) {
    let status = entry.status();
    let shutdown = tokio::spawn(entry.shutdown());
    until_status(status, "/readyz", 503).await;
    (shutdown, Instant::now() + GRACE_PERIOD)
}

/// Ends the process, and checks that each caller got a refusal and that the process ended in time.
fn assert_process_end(runtime: Runtime, streams: Vec<TcpStream>, after: Duration) {
    drop(runtime);
    assert_refused(streams);
    assert!(after < KILL_DELAY, "ended {after:?} after its grace period");
}

/// Guards against requests that get no answer because they arrived while the process was suspended, until the
/// end of its grace period. The entry reads and refuses them before the process ends.
#[rstest]
fn suspended_until_grace_end(
    #[values(Part::Whole, Part::Head, Part::Body)] part: Part,
    #[values(Opened::BeforeShutdown, Opened::WhileSuspended)] opened: Opened,
) {
    let runtime = runtime();
    let (streams, after) = runtime.block_on(async {
        let (_registry, upstream, entry) = start_entry().await;
        let callers = entry.callers();
        let kept = kept_connections(callers).await;
        let ran = upstream.seen().len();
        let (shutdown, until) = start_shutdown(entry).await;
        let mut streams = match opened {
            Opened::BeforeShutdown => kept,
            Opened::WhileSuspended => (0..CALLERS)
                .map(|_| TcpStream::connect(callers).unwrap())
                .collect(),
        };
        send(&mut streams, &part.text());
        suspend_until(until);
        shutdown.await.unwrap();
        assert_eq!(upstream.seen().len(), ran, "a request was run");
        (streams, until.elapsed())
    });
    assert_process_end(runtime, streams, after);
}

/// Guards against a missing answer to a request whose head is incomplete as the last phase of the shutdown
/// begins, if the process is suspended for all of that phase. The entry refuses the request, whether the rest
/// of its head arrives or not.
#[rstest]
fn incomplete_head_at_grace_end(#[values(false, true)] sends_rest: bool) {
    let runtime = runtime();
    let (streams, after) = runtime.block_on(async {
        let (_registry, upstream, entry) = start_entry().await;
        let callers = entry.callers();
        let mut streams = kept_connections(callers).await;
        let idle = kept_connection(callers).await;
        let ran = upstream.seen().len();
        let (shutdown, until) = start_shutdown(entry).await;
        let (first, rest) = KEEP_ALIVE_REQUEST.split_at(34);
        send(&mut streams, first);
        until_idle_closed(idle).await;
        if sends_rest {
            send(&mut streams, rest);
        }
        suspend_until(until);
        shutdown.await.unwrap();
        assert_eq!(upstream.seen().len(), ran, "a request was run");
        (streams, until.elapsed())
    });
    assert_process_end(runtime, streams, after);
}
