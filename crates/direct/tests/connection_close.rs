//! How the connection to an upstream is closed: by a reset if the request is abandoned, in order if its
//! answer was read completely.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use common::caller::{request, send};
use common::ready_entry;
use rstest::rstest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _, Interest};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use wagtailreel_standins::RegistryStandin;

/// Maximum wait for a reset. If the connection is not reset, there is no other event to wait for.
const RESET_TIMEOUT: Duration = Duration::from_secs(1);

/// Size of the upstream's receive buffer, in bytes: how much of a request its kernel accepts before the
/// upstream reads.
const RECEIVE_BUFFER: u32 = 4096;

/// What an upstream read of a request, and the error that ended the connection after it.
struct Received {
    text: String,
    end: Option<ErrorKind>,
}

/// Listens with a small receive buffer. Callers can connect and fill it before the connection is accepted.
fn listener() -> TcpListener {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER).unwrap();
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    socket.listen(8).unwrap()
}

/// Reads a connection to its end, like an upstream that was suspended until now.
async fn read_to_end(stream: &mut TcpStream) -> Received {
    let mut buf = Vec::new();
    let read = stream.read_to_end(&mut buf).await;
    Received {
        text: String::from_utf8(buf).unwrap(),
        end: read.err().map(|e| e.kind()),
    }
}

async fn until_reset(stream: &TcpStream) {
    let reset = stream.ready(Interest::ERROR);
    let _ = tokio::time::timeout(RESET_TIMEOUT, reset).await;
}

fn order(path: &str, body: &str) -> String {
    request("POST", path, &[("x-id", "r1"), ("x-key", "k1")], body)
}

/// Guards against a suspended upstream that reads the rest of a request and runs it after the caller got the
/// final answer.
#[rstest]
#[tokio::test]
async fn unsent_rest_is_discarded() {
    let listener = listener();
    let registry = RegistryStandin::default();
    let entry = ready_entry(&registry, &[("a", listener.local_addr().unwrap())]).await;
    let body = "b".repeat(60_000);
    let answer = send(entry.callers(), &order("/quick/1", &body)).await;
    assert_eq!(answer.status, 504);
    let (mut stream, _) = listener.accept().await.unwrap();
    until_reset(&stream).await;
    let received = read_to_end(&mut stream).await;
    assert!(received.text.starts_with("POST /quick/1"));
    assert!(
        received.text.len() < body.len(),
        "{} bytes were received, which include the whole request",
        received.text.len()
    );
    assert_eq!(received.end, Some(ErrorKind::ConnectionReset));
}

/// Data in the receive buffer of the upstream can't be discarded by the entry; the reset after it tells the
/// upstream that the answer is no longer wanted.
#[rstest]
#[tokio::test]
async fn reset_follows_delivered_data() {
    let listener = listener();
    let registry = RegistryStandin::default();
    let entry = ready_entry(&registry, &[("a", listener.local_addr().unwrap())]).await;
    let answer = send(entry.callers(), &order("/quick/1", "")).await;
    assert_eq!(answer.status, 504);
    let (mut stream, _) = listener.accept().await.unwrap();
    until_reset(&stream).await;
    let received = read_to_end(&mut stream).await;
    assert!(received.text.ends_with("\r\n\r\n"), "the head is whole");
    assert_eq!(received.end, Some(ErrorKind::ConnectionReset));
}

/// Guards against an upstream that goes on with an answer after its caller has disconnected.
#[rstest]
#[tokio::test]
async fn caller_disconnects_within_answer() {
    let listener = listener();
    let registry = RegistryStandin::default();
    let entry = ready_entry(&registry, &[("a", listener.local_addr().unwrap())]).await;
    let mut caller = TcpStream::connect(entry.callers()).await.unwrap();
    let text = order("/stream/1", "");
    caller.write_all(text.as_bytes()).await.unwrap();
    let (mut stream, _) = listener.accept().await.unwrap();
    let head = "HTTP/1.1 200 X\r\nx-id: r1\r\ncontent-type: text/event-stream\r\n\
                transfer-encoding: chunked\r\n\r\n";
    stream.write_all(head.as_bytes()).await.unwrap();
    drop(caller);
    let received = read_to_end(&mut stream).await;
    assert_eq!(received.end, Some(ErrorKind::ConnectionReset));
}

/// Guards against a reset after an answer was read completely, whether the connection is kept or not.
#[rstest]
#[case::kept("")]
#[case::not_kept("connection: close\r\n")]
#[tokio::test]
async fn complete_answer_closes_in_order(#[case] header: &str) {
    let listener = listener();
    let registry = RegistryStandin::default();
    let entry = ready_entry(&registry, &[("a", listener.local_addr().unwrap())]).await;
    let callers = entry.callers();
    let calling = tokio::spawn(async move { send(callers, &order("/order/1", "")).await });
    let (mut stream, _) = listener.accept().await.unwrap();
    let answer = format!("HTTP/1.1 200 X\r\nx-id: r1\r\n{header}content-length: 2\r\n\r\nok");
    stream.write_all(answer.as_bytes()).await.unwrap();
    assert_eq!(calling.await.unwrap().status, 200);
    let received = read_to_end(&mut stream).await;
    assert_eq!(received.end, None);
}
