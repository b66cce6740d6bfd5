//! What certainly wasn't done, and what may have been: the adapters against servers that misbehave.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use http::{HeaderMap, Request, StatusCode};
use rstest::rstest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::JoinHandle;
use wagtailreel_adapters::{
    BaseUrl, Body, Effect, HttpClient, HttpLog, HttpOrigin, LogService as _, Origin as _,
    PlatformError, retry_after,
};
use wagtailreel_core::ModelRef;

/// Longer than any answer takes that comes at all.
const LONG: Duration = Duration::from_secs(30);

/// How long an answer is waited for that never comes.
const SHORT: Duration = Duration::from_millis(200);

/// Longer than a connection takes that is made at all.
const CONNECT: Duration = Duration::from_secs(1);

/// What a server does with each connection.
#[derive(Clone, Copy)]
enum Manner {
    /// Closes without reading.
    Close,
    /// Closes after it has read the request.
    CloseAfterRead,
    /// Answers nothing.
    Silence,
    /// Answers with these bytes, then closes.
    Answer(&'static str),
}

/// Starts a server; it stops with the runtime.
async fn serve(manner: Manner) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let _server: JoinHandle<()> = tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            tokio::spawn(behave(stream, manner));
        }
    });
    addr
}

async fn behave(mut stream: TcpStream, manner: Manner) {
    if matches!(manner, Manner::Close) {
        return;
    }
    let mut buf = [0; 4096];
    let _ = stream.read(&mut buf).await;
    match manner {
        Manner::Answer(answer) => stream.write_all(answer.as_bytes()).await.unwrap(),
        Manner::Silence => std::future::pending().await,
        Manner::Close | Manner::CloseAfterRead => {}
    }
}

async fn append(addr: SocketAddr, timeout: Duration) -> Result<u64, PlatformError> {
    let log = HttpLog::new(addr).with_timeout(timeout);
    log.append("config", b"{}".to_vec()).await
}

#[rstest]
#[case::closed_after_read(Manner::CloseAfterRead)]
#[case::half_a_head(Manner::Answer("HTTP/1.1 200 OK\r\ncontent-le"))]
#[case::half_a_body(Manner::Answer("HTTP/1.1 200 OK\r\ncontent-length: 13\r\n\r\n{\"offset\""))]
#[case::stalled_body(Manner::Answer("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"))]
#[case::no_http(Manner::Answer("what?\r\n\r\n"))]
#[tokio::test]
async fn lost_answer(#[case] manner: Manner) {
    let err = append(serve(manner).await, LONG).await.unwrap_err();
    assert!(matches!(err, PlatformError::Lost { .. }), "{err}");
    assert_eq!(err.took_effect(), Effect::Maybe);
}

/// A head that is cut after any of its bytes is no answer, whether or not it says a length.
#[rstest]
#[case::length("HTTP/1.1 200 OK\r\ncontent-length: 12\r\n\r\n")]
#[case::connection("HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n")]
#[case::after_interim("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n\r\n")]
#[tokio::test]
async fn cut_head(#[case] head: &'static str) {
    for at in 0..head.len() {
        let err = append(serve(Manner::Answer(&head[..at])).await, LONG).await;
        let err = err.unwrap_err();
        assert!(matches!(err, PlatformError::Lost { .. }), "{at}: {err}");
        assert_eq!(err.took_effect(), Effect::Maybe, "{at}");
    }
}

#[tokio::test]
async fn silent_server() {
    let err = append(serve(Manner::Silence).await, CONNECT)
        .await
        .unwrap_err();
    assert!(matches!(err, PlatformError::Lost { .. }), "{err}");
    assert_eq!(err.took_effect(), Effect::Maybe);
}

/// A closed connection is the same to a client whether the server had read the request or not.
#[tokio::test]
async fn closed_at_once() {
    let err = append(serve(Manner::Close).await, LONG).await.unwrap_err();
    let is_unsent = matches!(err, PlatformError::Unreachable { .. });
    let is_lost = matches!(err, PlatformError::Lost { .. });
    assert!(is_unsent || is_lost, "{err}");
}

#[rstest]
#[case::no_json(Manner::Answer("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nOK"))]
#[case::wrong_json(Manner::Answer("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}"))]
#[tokio::test]
async fn broken_protocol(#[case] manner: Manner) {
    let err = append(serve(manner).await, LONG).await.unwrap_err();
    assert!(matches!(err, PlatformError::Protocol { .. }), "{err}");
    assert_eq!(err.took_effect(), Effect::Maybe);
}

#[tokio::test]
async fn nobody_listens() {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let err = append(socket.local_addr().unwrap(), LONG)
        .await
        .unwrap_err();
    assert!(matches!(err, PlatformError::Unreachable { .. }), "{err}");
    assert_eq!(err.took_effect(), Effect::No);
}

/// A listener whose queue is full takes no connection: the timeout comes before anything is sent.
#[tokio::test]
async fn no_connection_in_time() {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(0).unwrap();
    let addr = listener.local_addr().unwrap();
    let mut queued = Vec::new();
    while let Ok(Ok(stream)) = tokio::time::timeout(CONNECT, TcpStream::connect(addr)).await {
        queued.push(stream);
    }
    let err = append(addr, SHORT).await.unwrap_err();
    assert!(matches!(err, PlatformError::Unreachable { .. }), "{err}");
    assert_eq!(err.took_effect(), Effect::No);
}

#[rstest]
#[case::bad_request("400 Bad Request", Effect::No)]
#[case::timeout("408 Request Timeout", Effect::Maybe)]
#[case::conflict("409 Conflict", Effect::No)]
#[case::too_many("429 Too Many Requests", Effect::No)]
#[case::internal("500 Internal Server Error", Effect::Maybe)]
#[case::gateway("502 Bad Gateway", Effect::Maybe)]
#[case::unavailable("503 Service Unavailable", Effect::No)]
#[case::gateway_timeout("504 Gateway Timeout", Effect::Maybe)]
#[case::no_place("507 Insufficient Storage", Effect::No)]
#[tokio::test]
async fn refusals(#[case] status: &'static str, #[case] effect: Effect) {
    let answer = format!("HTTP/1.1 {status}\r\nretry-after: 3\r\ncontent-length: 4\r\n\r\nbusy");
    let manner = Manner::Answer(Box::leak(answer.into_boxed_str()));
    let err = append(serve(manner).await, LONG).await.unwrap_err();
    assert_eq!(err.status().unwrap().as_str(), &status[..3]);
    assert_eq!(err.retry_after(), Some(Duration::from_secs(3)));
    assert_eq!(err.took_effect(), effect);
    assert!(err.to_string().contains("busy"), "{err}");
}

/// A refusal stands even if its text breaks off.
#[tokio::test]
async fn refusal_without_text() {
    let answer = "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 100\r\n\r\nhal";
    let err = append(serve(Manner::Answer(answer)).await, LONG)
        .await
        .unwrap_err();
    assert_eq!(err.status(), Some(StatusCode::SERVICE_UNAVAILABLE));
    assert_eq!(err.took_effect(), Effect::No);
}

#[rstest]
#[case::short("HTTP/1.1 206 Partial Content\r\ncontent-length: 3\r\n\r\nabc")]
#[case::long("HTTP/1.1 206 Partial Content\r\ncontent-length: 5\r\n\r\nabcde")]
#[tokio::test]
async fn wrong_range_length(#[case] answer: &'static str) {
    let origin = HttpOrigin::new(serve(Manner::Answer(answer)).await);
    let part = ModelRef {
        name: "scribe".to_owned(),
        version: "1".to_owned(),
    };
    let err = origin.range(&part, 0, 4).await.unwrap_err();
    assert!(matches!(err, PlatformError::Protocol { .. }), "{err}");
}

/// A whole blob in place of the range is no answer either.
#[tokio::test]
async fn ignored_range() {
    let answer = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nabcd";
    let origin = HttpOrigin::new(serve(Manner::Answer(answer)).await);
    let part = ModelRef {
        name: "scribe".to_owned(),
        version: "1".to_owned(),
    };
    assert!(origin.range(&part, 0, 4).await.is_err());
}

/// A request that was written to a pooled connection is never written again to another.
#[tokio::test]
async fn never_sent_twice() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let seen = Arc::new(AtomicUsize::new(0));
    let counted = seen.clone();
    let _server: JoinHandle<()> = tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            tokio::spawn(answer_first(stream, counted.clone()));
        }
    });
    let log = HttpLog::new(addr).with_timeout(LONG);
    assert_eq!(log.append("config", b"{}".to_vec()).await.unwrap(), 1);
    let err = log.append("config", b"{}".to_vec()).await.unwrap_err();
    assert!(matches!(err, PlatformError::Lost { .. }), "{err}");
    assert_eq!(seen.load(Ordering::SeqCst), 2);
}

/// Answers the first request of all, and closes the connection of any other after it was read.
async fn answer_first(mut stream: TcpStream, seen: Arc<AtomicUsize>) {
    let mut buf = [0; 4096];
    while let Ok(1..) = stream.read(&mut buf).await {
        if seen.fetch_add(1, Ordering::SeqCst) > 0 {
            return;
        }
        let answer = "HTTP/1.1 200 OK\r\ncontent-length: 12\r\n\r\n{\"offset\":1}";
        stream.write_all(answer.as_bytes()).await.unwrap();
    }
}

#[tokio::test]
async fn url_without_address() {
    let req = Request::builder().uri("/path").body(Body::empty()).unwrap();
    assert!(HttpClient::new().request(req).await.is_err());
}

#[rstest]
#[case::seconds(&[("retry-after", "2")], Some(2000))]
#[case::milliseconds(&[("retry-after", "2"), ("wagtailreel-retry-after-ms", "1500")], Some(1500))]
#[case::date(&[("retry-after", "Wed, 21 Oct 2026 07:28:00 GMT")], None)]
#[case::none(&[], None)]
fn time_to_return(#[case] headers: &[(&'static str, &str)], #[case] expected: Option<u64>) {
    let mut map = HeaderMap::new();
    for (name, value) in headers {
        map.insert(*name, value.parse().unwrap());
    }
    assert_eq!(retry_after(&map), expected.map(Duration::from_millis));
}

#[rstest]
#[case::good("http://10.0.0.1:9001", true)]
#[case::slash("http://10.0.0.1:9001/", true)]
#[case::https("https://10.0.0.1:9001", false)]
#[case::path("http://10.0.0.1:9001/v1", false)]
#[case::query("http://10.0.0.1:9001?a=b", false)]
#[case::bare("10.0.0.1:9001", false)]
#[case::empty("", false)]
fn base_urls(#[case] text: &str, #[case] is_good: bool) {
    assert_eq!(BaseUrl::new(text).is_ok(), is_good);
}
