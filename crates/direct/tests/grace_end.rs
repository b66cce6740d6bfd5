//! Answers to requests that are still open when the grace period of the entry ends.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::time::Duration;

use common::caller::{get, read, request};
use common::ready_entry;
use common::upstream::{Act, TestUpstream};
use rstest::rstest;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use wagtailreel_standins::RegistryStandin;

/// Guards against a missing answer to a request that was sent to an upstream. The answer leaves open whether
/// the request ran.
#[rstest]
#[case::once("/order/1")]
#[case::repeatable("/read/1")]
#[tokio::test]
async fn request_at_upstream(#[case] path: &'static str) {
    let registry = RegistryStandin::default();
    let upstream = TestUpstream::start(&[Act::NoAnswer, Act::NoAnswer]).await;
    let entry = ready_entry(&registry, &[("a", upstream.addr)]).await;
    let callers = entry.callers();
    let headers = [("x-id", "r1"), ("x-key", "k1"), ("x-deadline", "5000")];
    let call = tokio::spawn(async move { get(callers, path, &headers).await });
    upstream.until_seen(1).await;
    entry.shutdown().await;
    // The process ends here; data that it has sent still reaches the caller.
    let answer = tokio::time::timeout(Duration::from_millis(300), call).await;
    let answer = answer.expect("the process ends without an answer").unwrap();
    assert!(matches!(answer.status, 502 | 504), "{answer:?}");
}

/// How much of a request is sent at once.
#[derive(Clone, Copy, Debug)]
enum Part {
    /// A part of its head.
    Head,
    /// Its head and a part of its body.
    Body,
}

impl Part {
    /// Returns the text that is sent at once, and the rest.
    fn split(self) -> (String, String) {
        let headers = [("x-id", "r1"), ("x-key", "k1"), ("x-deadline", "5000")];
        let request = request("POST", "/order/1", &headers, &"x".repeat(500));
        let at = match self {
            Self::Head => 20,
            Self::Body => request.find("\r\n\r\n").unwrap() + 8,
        };
        let (first, rest) = request.split_at(at);
        (first.to_owned(), rest.to_owned())
    }
}

/// Guards against a reset in place of an answer to a request that is still incomplete as the process ends.
/// The entry has to refuse it before.
#[rstest]
#[tokio::test]
async fn incomplete_request(
    #[values(Part::Head, Part::Body)] part: Part,
    // Time after the signal. At 1600 ms the entry accepts no request that could outlast it.
    #[values(0, 1600)] starts_after_ms: u64,
    // Whether the rest is sent a byte at a time, until the process ends.
    #[values(false, true)] sends_rest: bool,
) {
    let registry = RegistryStandin::default();
    let upstream = TestUpstream::start(&[]).await;
    let entry = ready_entry(&registry, &[("a", upstream.addr)]).await;
    let mut stream = TcpStream::connect(entry.callers()).await.unwrap();
    let (first, rest) = part.split();
    let sending = async {
        tokio::time::sleep(Duration::from_millis(starts_after_ms)).await;
        stream.write_all(first.as_bytes()).await.unwrap();
        for byte in rest.bytes().filter(|_| sends_rest) {
            tokio::time::sleep(Duration::from_millis(40)).await;
            if stream.write_all(&[byte]).await.is_err() {
                break;
            }
        }
        std::future::pending().await
    };
    tokio::select! {
        () = entry.shutdown() => {}
        () = sending => {}
    }
    // The process ends here; data that it has sent still reaches the caller.
    let answer = tokio::time::timeout(Duration::from_millis(50), read(&mut stream)).await;
    let answer = answer.expect("the process ends without an answer");
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(answer.is_whole, "{answer:?}");
    assert!(answer.header("retry-after").is_some(), "{answer:?}");
    assert_eq!(answer.header("connection"), Some("close"), "{answer:?}");
    assert_eq!(upstream.seen(), Vec::<String>::new(), "the request was run");
}
