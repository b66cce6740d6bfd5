//! Requests that come, or can be sent, late in the grace period of an entry.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::time::Duration;

use common::caller::{Answer, parse, request};
use common::ready_entry;
use common::upstream::{Act, TestUpstream};
use rstest::rstest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use wagtailreel_standins::RegistryStandin;

/// Time within which data that the process has sent reaches the caller after its end.
const ARRIVAL: Duration = Duration::from_millis(100);

fn order() -> String {
    let headers = [("x-id", "r1"), ("x-key", "k1"), ("x-deadline", "5000")];
    request("POST", "/order/1", &headers, &"x".repeat(500))
}

/// Reads one answer with a length, or what came of it before the connection ended.
async fn read_one(stream: &mut TcpStream) -> Answer {
    let mut buf = String::new();
    let mut bytes = [0; 1024];
    loop {
        let answer = parse(&buf);
        if answer.is_whole {
            return answer;
        }
        match stream.read(&mut bytes).await {
            Ok(read @ 1..) => buf += std::str::from_utf8(&bytes[..read]).unwrap(),
            _ => return answer,
        }
    }
}

/// Plays `work` beside the shutdown of an entry whose upstream takes `takes_ms` for an answer, on a connection that has
/// carried an answer before. Returns the answer to the order, and how many orders reached the upstream.
async fn beside_shutdown<F>(takes_ms: u64, work: F) -> (Answer, usize)
where
    F: AsyncFnOnce(&mut TcpStream),
{
    let registry = RegistryStandin::default();
    let late = Act::DelayedAnswerWith(takes_ms, 200, "");
    let upstream = TestUpstream::start(&[Act::Answer(200, "first"), late]).await;
    let entry = ready_entry(&registry, &[("a", upstream.addr)]).await;
    let mut stream = TcpStream::connect(entry.callers()).await.unwrap();
    let first = order().replace("connection: close\r\n", "");
    stream.write_all(first.as_bytes()).await.unwrap();
    assert_eq!(read_one(&mut stream).await.body, "first");
    let calling = async {
        work(&mut stream).await;
        read_one(&mut stream).await
    };
    let process = async {
        entry.shutdown().await;
        tokio::time::sleep(ARRIVAL).await;
    };
    let answer = tokio::select! {
        answer = calling => answer,
        () = process => panic!("the process ends without an answer"),
    };
    (answer, upstream.seen().len() - 1)
}

/// Guards against an order on a kept connection that is cut at the end of the grace period.
#[rstest]
#[tokio::test]
async fn order_on_kept_connection(
    // Time after the signal. The grace period is 2 s, of which the last 250 ms are for final answers.
    #[values(0, 500, 950, 1050, 1400, 1700, 1800)] sent_after_ms: u64,
    #[values(50, 700, 4000)] takes_ms: u64,
) {
    let (answer, reached) = beside_shutdown(takes_ms, async |stream| {
        tokio::time::sleep(Duration::from_millis(sent_after_ms)).await;
        let _ = stream.write_all(order().as_bytes()).await;
    })
    .await;
    // A request that crosses the close of its connection is not read.
    if answer.status == 0 {
        assert!(sent_after_ms > 0 && reached == 0, "{answer:?}");
        return;
    }
    assert!(answer.is_whole, "{answer:?}");
    assert!(matches!(answer.status, 200 | 502..=504), "{answer:?}");
    assert!(answer.status != 503 || reached == 0, "a promise");
    assert!(sent_after_ms < 1000 || reached == 0, "it may take longer");
}

/// Guards against an order that is passed on although its body came so late that the answer may take longer than the
/// rest of the grace period. It has not run, and another entry can serve it.
#[rstest]
#[tokio::test]
async fn late_body(#[values(1100, 1500)] rest_after_ms: u64, #[values(50, 4000)] takes_ms: u64) {
    let (answer, reached) = beside_shutdown(takes_ms, async |stream| {
        let order = order();
        let (first, rest) = order.split_at(order.len() - 100);
        stream.write_all(first.as_bytes()).await.unwrap();
        tokio::time::sleep(Duration::from_millis(rest_after_ms)).await;
        stream.write_all(rest.as_bytes()).await.unwrap();
    })
    .await;
    assert_eq!((answer.status, reached), (503, 0), "{answer:?}");
    assert!(answer.header("retry-after").is_some());
}
