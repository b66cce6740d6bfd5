//! Answers whose status is none of a final answer, and statuses without a body.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::caller::{Answer, call, parse};
use common::pair::Pair;
use common::ready_entry;
use common::upstream::{Act, TestUpstream, body_of};
use rstest::rstest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use wagtailreel_standins::RegistryStandin;

/// Time for which an upstream keeps its connection after a faulty answer.
const OPEN_MS: u64 = 400;

/// Returns an answer with the status line `line`.
fn answer(line: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {line}\r\nx-id: r1\r\ncontent-length: {length}\r\n\r\n{body}")
}

/// Guards against bytes that a caller gets as an answer although their status is none of a final one.
#[rstest]
#[tokio::test]
async fn none_of_a_final_answer(
    #[values(
        "000 X",
        "000",
        "099 X",
        "600 X",
        "999 X",
        "1000 X",
        "20 X",
        "2OO X",
        "-20 X",
        "+200 X",
        "100 Continue",
        "101 Switching Protocols",
        "102 Processing",
        "199 X"
    )]
    line: &str,
    #[values(("/read/1", 200), ("/order/1", 502), ("/stream/1", 200))] call_of: (&str, u16),
    #[values(false, true)] is_kept: bool,
) {
    let (path, status) = call_of;
    let body = body_of(1, 3);
    let first = Act::Steps(vec![(answer(line, "spoilt"), OPEN_MS)]);
    let pair = if is_kept {
        Pair::with_kept_connections(&[first]).await
    } else {
        Pair::start(&[first]).await
    };
    pair.set_second_act(&Act::Steps(vec![(answer("200 X", &body), 0)]));
    let answer = call(pair.entry.callers(), "GET", path).await;
    assert_eq!(answer.status, status, "{answer:?}");
    assert!(answer.is_whole);
    if status == 200 {
        assert_eq!(answer.body, body);
    }
}

/// A failure that an upstream may state is passed on as it is.
#[rstest]
#[tokio::test]
async fn final_statuses(#[values(200, 299, 301, 404, 499, 500, 599)] status: u16) {
    let act = Act::Steps(vec![(answer(&format!("{status} X"), "sound"), OPEN_MS)]);
    let (_upstream, addr, _registry, _entry) = entry_with(&[act]).await;
    let answer = call(addr, "GET", "/order/1").await;
    assert_eq!((answer.status, answer.body.as_str()), (status, "sound"));
}

async fn entry_with(
    acts: &[Act],
) -> (
    TestUpstream,
    SocketAddr,
    RegistryStandin,
    impl Sized + use<>,
) {
    let registry = RegistryStandin::default();
    let upstream = TestUpstream::start(acts).await;
    let entry = ready_entry(&registry, &[("a", upstream.addr)]).await;
    let addr = entry.callers();
    (upstream, addr, registry, entry)
}

/// Sends a request on a connection that stays open, and reads an answer with a length or without a body.
async fn exchange(stream: &mut TcpStream, path: &str) -> Answer {
    let text =
        format!("GET {path} HTTP/1.1\r\nhost: shop.example\r\nx-id: r1\r\nx-key: k1\r\n\r\n");
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut buf = String::new();
    let reading = async {
        loop {
            let answer = parse(&buf);
            let length = answer
                .header("content-length")
                .map(|it| it.parse().unwrap());
            if buf.contains("\r\n\r\n") && answer.body.len() >= length.unwrap_or(0) {
                return answer;
            }
            let mut bytes = [0; 1024];
            let read = stream.read(&mut bytes).await.unwrap();
            assert!(read > 0, "closed after {buf:?}");
            buf += std::str::from_utf8(&bytes[..read]).unwrap();
        }
    };
    let answer = tokio::time::timeout(Duration::from_secs(5), reading).await;
    answer.expect("the answer is as long as it states")
}

/// Guards against a caller's connection that ends with its next request after a status that nobody asked for.
#[rstest]
#[tokio::test]
async fn next_request(#[values("101 Switching Protocols", "600 X")] line: &str) {
    let acts = [
        Act::Steps(vec![(answer(line, ""), OPEN_MS)]),
        Act::Answer(200, "next"),
    ];
    let (_upstream, addr, _registry, _entry) = entry_with(&acts).await;
    let mut stream = TcpStream::connect(addr).await.unwrap();
    assert_eq!(exchange(&mut stream, "/order/1").await.status, 502);
    let next = exchange(&mut stream, "/order/1").await;
    assert_eq!((next.status, next.body.as_str()), (200, "next"));
}

/// Guards against a caller that waits for a body that its status rules out, and against one of an upstream that is
/// taken for the next answer on its connection.
#[rstest]
#[case::length("content-length: 20\r\n", "bytes of no request!")]
#[case::length_alone("content-length: 20\r\n", "")]
#[case::chunks(
    "transfer-encoding: chunked\r\n",
    "14\r\nbytes of no request!\r\n0\r\n\r\n"
)]
#[case::answer(
    "content-length: 43\r\n",
    "HTTP/1.1 200 X\r\ncontent-length: 5\r\n\r\nstale"
)]
#[tokio::test]
async fn no_content(
    #[case] lines: &str,
    #[case] body: &str,
    #[values("/read/1", "/order/1", "/stream/1")] path: &str,
) {
    let text = format!("HTTP/1.1 204 X\r\nx-id: r1\r\n{lines}\r\n{body}");
    let acts = [Act::Steps(vec![(text, OPEN_MS)]), Act::Answer(200, "next")];
    let (_upstream, addr, _registry, _entry) = entry_with(&acts).await;
    let mut stream = TcpStream::connect(addr).await.unwrap();
    let answer = exchange(&mut stream, path).await;
    assert_eq!((answer.status, answer.body.as_str()), (204, ""));
    assert_eq!(answer.header("content-length"), None);
    assert_eq!(answer.header("transfer-encoding"), None);
    let next = exchange(&mut stream, "/order/1").await;
    assert_eq!((next.status, next.body.as_str()), (200, "next"));
}

/// A status without a body ends an answer without any length, so that its connection is kept.
#[rstest]
#[tokio::test]
async fn kept_after_no_content(#[values("/read/1", "/order/1", "/stream/1")] path: &str) {
    let text = "HTTP/1.1 204 X\r\nx-id: r1\r\n\r\n".to_owned();
    let act = Act::Silence(text, OPEN_MS, String::new());
    let (upstream, addr, _registry, _entry) = entry_with(&[act]).await;
    assert_eq!(call(addr, "GET", path).await.status, 204);
    tokio::time::sleep(Duration::from_millis(OPEN_MS / 2)).await;
    assert_eq!(upstream.aborted(), 0);
}
