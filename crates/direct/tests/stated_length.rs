//! Streams whose upstream states their length, and that another upstream resumes with a text of another length.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::time::Duration;

use common::caller::{Answer, call, request};
use common::pair::Pair;
use common::upstream::{Act, TestUpstream, body_of, chunk};
use common::{directory, entry, ready_entry, register, route, until_readiness};
use rstest::rstest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use wagtailreel_fleet::RouteKind;
use wagtailreel_standins::RegistryStandin;

/// Time for which an upstream is silent that does not close its connection: longer than the stall timeout of 1 s.
const SILENCE_MS: u64 = 4000;

/// Headers that describe the bytes of one upstream's answer.
const RUN_HEADERS: [&str; 6] = [
    "content-length",
    "content-digest",
    "repr-digest",
    "digest",
    "content-md5",
    "etag",
];

/// How an upstream says where its answer ends.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Length,
    Chunks,
    Connection,
}

impl Framing {
    /// Returns an answer with `body`, of which the first `sent` bytes come.
    fn answer(self, lines: &str, body: &str, sent: usize) -> String {
        let length = body.len();
        let start = format!("HTTP/1.1 200 X\r\nx-id: r1\r\nx-signature: {length}\r\n{lines}");
        match self {
            Self::Length => format!("{start}content-length: {length}\r\n\r\n{}", &body[..sent]),
            Self::Connection => format!("{start}\r\n{}", &body[..sent]),
            Self::Chunks => {
                let end = if sent == length { "0\r\n\r\n" } else { "" };
                let head = format!("{start}transfer-encoding: chunked\r\n\r\n");
                head + &chunk(&body[..sent]) + end
            }
        }
    }
}

/// How the first upstream leaves its stream.
#[derive(Clone, Copy, Debug)]
enum Loss {
    /// Closes the connection within an event.
    Cut,
    /// Is silent within an event.
    Stall,
}

/// Returns the last three of six events as another run words them: `words` words each.
fn reworded(words: usize) -> String {
    let text = "word ".repeat(words);
    (4..=6)
        .map(|id| format!("id: {id}\ndata: {text}\n\n"))
        .collect()
}

/// Starts an entry with two upstreams: the one that is chosen first sends `first`, is silent for `silence_ms` and
/// closes the connection, the other one sends `second`. Each sends `second` to a further request.
async fn pair(first: String, silence_ms: u64, second: &str) -> Pair {
    let pair = Pair::start(&[Act::Steps(vec![(first, silence_ms)])]).await;
    pair.set_second_act(&Act::Steps(vec![(second.to_owned(), 0)]));
    pair
}

/// Sends the stream `path` through an entry with two upstreams. The one that is chosen first answers with
/// `lines` and the length of six events, and is lost within the fourth; the other one sends `second`.
async fn resume(path: &str, lines: &str, loss: Loss, second: &str) -> Answer {
    let sent = body_of(1, 3).len() + 9;
    let first = Framing::Length.answer(lines, &body_of(1, 6), sent);
    let silence_ms = match loss {
        Loss::Cut => 0,
        Loss::Stall => SILENCE_MS,
    };
    let pair = pair(first, silence_ms, second).await;
    call(pair.entry.callers(), "GET", path).await
}

/// Guards against a resumed stream that is cut at the length of the first upstream and looks complete.
#[rstest]
#[tokio::test]
async fn other_length(
    #[values(Loss::Cut, Loss::Stall)] loss: Loss,
    #[values(Framing::Length, Framing::Chunks, Framing::Connection)] framing: Framing,
    #[values(0, 2, 30)] words: usize,
) {
    let rest = reworded(words);
    let second = framing.answer("", &rest, rest.len());
    let answer = resume("/stream/1", "", loss, &second).await;
    assert_eq!(answer.status, 200);
    assert_eq!(answer.body, body_of(1, 3) + &rest, "each event once");
    assert!(answer.is_whole);
    let signature = body_of(1, 6).len().to_string();
    assert_eq!(
        answer.header("x-signature"),
        Some(signature.as_str()),
        "of the first upstream"
    );
}

/// Guards against a second break that looks like the end of the stream.
#[rstest]
#[tokio::test]
async fn second_break(#[values(Framing::Length, Framing::Chunks)] framing: Framing) {
    let rest = reworded(30);
    let second = framing.answer("", &rest, rest.len() / 2);
    let answer = resume("/stream/1", "", Loss::Cut, &second).await;
    assert!(answer.body.starts_with(&body_of(1, 3)));
    assert!(!answer.is_whole, "{answer:?}");
}

/// Guards against digests, validators and a length of one upstream's bytes on the bytes of two.
#[rstest]
#[tokio::test]
async fn headers_of_one_run() {
    let lines: String = RUN_HEADERS[1..]
        .iter()
        .map(|name| format!("{name}: \"0\"\r\n"))
        .collect();
    let lines = lines + "content-type: text/event-stream\r\n";
    let rest = reworded(2);
    let second = Framing::Length.answer("", &rest, rest.len());
    let answer = resume("/stream/1", &lines, Loss::Cut, &second).await;
    for name in RUN_HEADERS {
        assert_eq!(answer.header(name), None, "{name}");
    }
    assert_eq!(answer.header("content-type"), Some("text/event-stream"));
}

/// Guards against the bytes of a coded body, or of a part of one, behind the events of another upstream.
#[rstest]
#[case::coded("content-encoding: gzip\r\n")]
#[case::several_codings("content-encoding: identity, br\r\n")]
#[tokio::test]
async fn coded_second_run(#[case] lines: &str) {
    let rest = reworded(2);
    let second = Framing::Length.answer(lines, &rest, rest.len());
    let answer = resume("/stream/1", "", Loss::Cut, &second).await;
    assert_eq!(answer.body, body_of(1, 3));
    assert!(!answer.is_whole, "{answer:?}");
}

/// A coded stream is not split into events, so that its bytes and the headers on them stay as they are.
#[rstest]
#[tokio::test]
async fn coded_stream(#[values(true, false)] is_whole: bool) {
    let coded = "coded\n\nid: 9\n\nbytes";
    let sent = if is_whole { coded.len() } else { 8 };
    let lines = "content-encoding: gzip\r\netag: \"0\"\r\n";
    let act = Act::Steps(vec![(Framing::Length.answer(lines, coded, sent), 0)]);
    let upstream = TestUpstream::start(&[act]).await;
    let registry = RegistryStandin::default();
    let entry = ready_entry(&registry, &[("a", upstream.addr)]).await;
    let answer = call(entry.callers(), "GET", "/stream/1").await;
    assert_eq!(answer.is_whole, is_whole);
    assert_eq!(answer.body, coded[..sent]);
    assert_eq!(answer.header("etag"), Some("\"0\""));
    assert_eq!(answer.header("content-length"), Some("19"));
}

/// The length of a stream that no other upstream may resume tells its caller of a break, and is kept.
#[rstest]
#[tokio::test]
async fn unresumable(#[values(true, false)] is_whole: bool) {
    let body = body_of(1, 3);
    let sent = if is_whole { body.len() } else { 30 };
    let act = Act::Steps(vec![(Framing::Length.answer("", &body, sent), 0)]);
    let upstream = TestUpstream::start(&[act]).await;
    let registry = RegistryStandin::default();
    let kind = RouteKind::Stream {
        resumable: false,
        gap: None,
    };
    registry.config(directory(1).with_routes(vec![route("/once/", kind)]));
    register(&registry, "a", upstream.addr);
    let entry = entry(&registry, Duration::from_secs(4)).await;
    until_readiness(&entry, 200).await;
    let answer = call(entry.callers(), "GET", "/once/1").await;
    assert_eq!(answer.is_whole, is_whole, "{answer:?}");
    let length = body.len().to_string();
    assert_eq!(answer.header("content-length"), Some(length.as_str()));
    assert_eq!(upstream.seen().len(), 1);
}

/// The caller's connection carries the next answer behind a resumed one.
#[rstest]
#[tokio::test]
async fn next_on_connection() {
    let first = Framing::Length.answer("", &body_of(1, 3), body_of(1, 2).len());
    let rest = "id: 3\ndata: a text that is longer than the first one\n\n";
    let second = Framing::Length.answer("", rest, rest.len());
    let pair = pair(first, 0, &second).await;
    let headers = [("x-id", "r1"), ("x-key", "k1")];
    let close = "connection: close\r\n";
    let kept_open = request("GET", "/stream/1", &headers, "").replace(close, "");
    let mut stream = TcpStream::connect(pair.entry.callers()).await.unwrap();
    stream.write_all(kept_open.as_bytes()).await.unwrap();
    let mut buf = Vec::new();
    while !buf.ends_with(b"0\r\n\r\n") {
        assert_ne!(stream.read_buf(&mut buf).await.unwrap(), 0);
    }
    let last = request("GET", "/read/1", &headers, "");
    stream.write_all(last.as_bytes()).await.unwrap();
    let next = common::caller::read(&mut stream).await;
    assert_eq!((next.status, next.body.as_str()), (200, rest));
    assert!(next.is_whole);
    let text = String::from_utf8(buf).unwrap();
    let streamed = common::caller::parse(&text);
    assert_eq!(streamed.body, body_of(1, 2) + rest);
}
