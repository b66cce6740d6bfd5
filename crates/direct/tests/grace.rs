//! What a caller gets whose request is still under way as the grace ends.
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

/// A whole request that was passed on gets an answer, which promises nothing.
#[rstest]
#[case::once("/order/1")]
#[case::repeatable("/read/1")]
#[tokio::test]
async fn passed_on(#[case] path: &'static str) {
    let registry = RegistryStandin::default();
    let upstream = TestUpstream::start(&[Act::NoAnswer, Act::NoAnswer]).await;
    let entry = ready_entry(&registry, &[("a", upstream.addr)]).await;
    let callers = entry.callers();
    let headers = [("x-id", "r1"), ("x-key", "k1"), ("x-deadline", "5000")];
    let call = tokio::spawn(async move { get(callers, path, &headers).await });
    upstream.until_seen(1).await;
    entry.shutdown().await;
    // The process ends now; what is on its way to the caller still arrives.
    let answer = tokio::time::timeout(Duration::from_millis(300), call).await;
    let answer = answer.expect("the process ends without an answer").unwrap();
    assert!(matches!(answer.status, 502 | 504), "{answer:?}");
}

/// The beginning of a request of which a part is still to come as the entry ends.
#[derive(Clone, Copy, Debug)]
enum Part {
    /// Its head breaks off.
    Head,
    /// Its head is whole, its body is not.
    Body,
}

impl Part {
    /// Returns what is sent at once, and what may follow it.
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

/// A request of which a part is still to come as the process ends is refused while there is a process: the rest
/// would be answered by a reset.
#[rstest]
#[tokio::test]
async fn begun(
    #[values(Part::Head, Part::Body)] part: Part,
    // After the signal; at the later time the entry takes no request that could outlast it.
    #[values(0, 1600)] begins_ms: u64,
    // Whether more of it comes, a byte at a time, to the end.
    #[values(false, true)] trickles: bool,
) {
    let registry = RegistryStandin::default();
    let upstream = TestUpstream::start(&[]).await;
    let entry = ready_entry(&registry, &[("a", upstream.addr)]).await;
    let mut stream = TcpStream::connect(entry.callers()).await.unwrap();
    let (first, rest) = part.split();
    let sending = async {
        tokio::time::sleep(Duration::from_millis(begins_ms)).await;
        stream.write_all(first.as_bytes()).await.unwrap();
        for byte in rest.bytes().filter(|_| trickles) {
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
    // The process ends now; what is on its way to the caller still arrives.
    let answer = tokio::time::timeout(Duration::from_millis(50), read(&mut stream)).await;
    let answer = answer.expect("the process ends without an answer");
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(answer.is_whole, "{answer:?}");
    assert!(answer.header("retry-after").is_some(), "{answer:?}");
    assert_eq!(answer.header("connection"), Some("close"), "{answer:?}");
    assert_eq!(upstream.seen(), Vec::<String>::new(), "it was run");
}
