//! Callers that send a request without end, fast or one byte at a time.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::time::{Duration, Instant};

use common::caller::{get, parse};
use common::ready_entry;
use common::upstream::TestUpstream;
use rstest::rstest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use wagtailreel_standins::RegistryStandin;

/// Time between two bytes of a slow caller.
const BYTE_INTERVAL: Duration = Duration::from_millis(100);

/// Deadline of the requests.
const DEADLINE: Duration = Duration::from_millis(1000);

/// Maximum time after the deadline in which a request ends.
const MARGIN: Duration = Duration::from_millis(1500);

const CHUNKED: &str = "transfer-encoding: chunked\r\n\r\n";
const LONG: &str = "content-length: 1000000000\r\n\r\n";
const CHUNK: &str = "8\r\naaaaaaaa\r\n";

/// A request whose body never ends is refused as not run, by its deadline, and reaches no upstream. Others are
/// answered meanwhile.
#[rstest]
#[case::chunks(CHUNKED, CHUNK, Duration::ZERO, 413)]
#[case::chunks_slow(CHUNKED, CHUNK, BYTE_INTERVAL, 503)]
#[case::length(LONG, "a", Duration::ZERO, 413)]
#[case::length_slow(LONG, "a", BYTE_INTERVAL, 503)]
#[case::extension("transfer-encoding: chunked\r\n\r\n1;x=", "a", Duration::ZERO, 400)]
#[case::extension_slow("transfer-encoding: chunked\r\n\r\n1;x=", "a", BYTE_INTERVAL, 503)]
#[case::trailers(
    "transfer-encoding: chunked\r\n\r\n0\r\n",
    "a: b\r\n",
    Duration::ZERO,
    400
)]
#[case::trailers_slow(
    "transfer-encoding: chunked\r\n\r\n0\r\n",
    "a: b\r\n",
    BYTE_INTERVAL,
    503
)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn body(
    #[case] first: &str,
    #[case] repeated: &'static str,
    #[case] interval: Duration,
    #[case] status: u16,
) {
    let upstream = TestUpstream::start(&[]).await;
    let entry = ready_entry(&RegistryStandin::default(), &[("a", upstream.addr)]).await;
    let mut stream = TcpStream::connect(entry.callers()).await.unwrap();
    let text = format!(
        "POST /order/endless HTTP/1.1\r\nhost: shop.example\r\nx-id: r1\r\nx-key: k1\r\n\
         x-deadline: {}\r\n{first}",
        DEADLINE.as_millis()
    );
    stream.write_all(text.as_bytes()).await.unwrap();
    let (mut reader, mut writer) = stream.into_split();
    let writing = tokio::spawn(async move {
        let many = repeated.repeat(4096);
        let mut bytes = repeated.bytes().cycle();
        loop {
            let byte = [bytes.next().unwrap()];
            let next = if interval.is_zero() {
                many.as_bytes()
            } else {
                &byte
            };
            if writer.write_all(next).await.is_err() {
                return;
            }
            tokio::time::sleep(interval).await;
        }
    });
    let since = Instant::now();
    let reading = async {
        let mut buf = Vec::new();
        // A reset ends the answer as well.
        let _ = reader.read_to_end(&mut buf).await;
        parse(&String::from_utf8_lossy(&buf))
    };
    let others = async {
        loop {
            let since = Instant::now();
            let answer = get(
                entry.callers(),
                "/read/other",
                &[("x-id", "o1"), ("x-key", "k1")],
            );
            assert_eq!(answer.await.status, 200);
            assert!(
                since.elapsed() < Duration::from_millis(700),
                "another request waited"
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let answer = tokio::select! {
        answer = tokio::time::timeout(DEADLINE * 5, reading) => answer,
        () = others => unreachable!(),
    };
    let answer = answer.expect("the connection stays open");
    let took = since.elapsed();
    // A caller that goes on sending may lose the answer to a reset.
    let is_refused = answer.status == status || (interval.is_zero() && answer.status == 0);
    assert!(is_refused, "{answer:?}");
    assert!(took < DEADLINE + MARGIN, "took {took:?}");
    assert!(!upstream.seen().iter().any(|head| head.contains("endless")));
    drop(reader);
    let ended = tokio::time::timeout(DEADLINE * 5, writing).await;
    assert!(ended.is_ok(), "the caller can still send");
}
