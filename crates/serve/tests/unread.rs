//! Callers that read a response slowly, or not at all.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt as _;
use http::{Request, Response};
use http_body::Frame;
use http_body_util::{Either, Full, StreamBody};
use prometheus::Registry;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use wagtailreel_serve::{ConnectionCounters, Handler, Limits, RequestBody, ResponseBody, Server};

/// Longest time for which a caller may read nothing.
const UNREAD: Duration = Duration::from_millis(800);

/// Idle time of a connection, which bounds a response that is complete at the server.
const IDLE: Duration = Duration::from_millis(3000);

/// Maximum wait for a condition.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Size of a response, which no socket buffer holds.
const SIZE: usize = 32 << 20;

const FRAME: usize = 16 * 1024;

/// Signals when it is dropped.
struct Dropped(UnboundedSender<()>);

impl Drop for Dropped {
    fn drop(&mut self) {
        let _ = self.0.send(());
    }
}

/// Handler that answers in one piece or frame by frame.
#[derive(Debug)]
struct LongAnswer {
    is_whole: bool,
    /// Told when a body is dropped.
    dropped: UnboundedSender<()>,
}

impl Handler for LongAnswer {
    fn limits(&self) -> Limits {
        Limits {
            idle: IDLE,
            unread: Some(UNREAD),
            ..Limits::default()
        }
    }

    fn answer(
        &self,
        _req: Request<RequestBody>,
    ) -> impl Future<Output = Response<impl ResponseBody + use<>>> + Send + use<> {
        let is_whole = self.is_whole;
        let dropped = Dropped(self.dropped.clone());
        async move {
            if is_whole {
                return Response::new(Either::Left(Full::new(Bytes::from(vec![b'a'; SIZE]))));
            }
            let frames = futures::stream::iter(0..SIZE / FRAME).map(move |_| {
                let _ = &dropped;
                io::Result::Ok(Frame::data(Bytes::from(vec![b'a'; FRAME])))
            });
            Response::new(Either::Right(StreamBody::new(frames)))
        }
    }
}

async fn start(is_whole: bool) -> (Server, SocketAddr, UnboundedReceiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let (dropped, ended) = unbounded_channel();
    let counters = ConnectionCounters::register(&Registry::new()).unwrap();
    let server = Server::start(
        "callers",
        listener,
        LongAnswer { is_whole, dropped },
        counters,
    );
    (server, addr, ended)
}

/// Sends a request with a small receive buffer.
async fn request(addr: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(16 * 1024).unwrap();
    let mut stream = socket.connect(addr).await.unwrap();
    let head = b"GET / HTTP/1.1\r\nhost: shop.example\r\nconnection: close\r\n\r\n";
    stream.write_all(head).await.unwrap();
    stream
}

/// A response that nobody reads is dropped, and its connection is reset, so that it can't look complete.
#[tokio::test]
async fn unread_stream() {
    let (_server, addr, mut ended) = start(false).await;
    let mut stream = request(addr).await;
    let dropped = tokio::time::timeout(TIMEOUT, ended.recv()).await;
    assert!(dropped.is_ok(), "the response is still held");
    let mut buf = Vec::new();
    let read = stream.read_to_end(&mut buf).await;
    assert_eq!(read.unwrap_err().kind(), io::ErrorKind::ConnectionReset);
}

/// Guards against a limit that counts from the last write: a caller that reads slowly but steadily makes room
/// in a large send buffer only after a long time.
#[tokio::test]
async fn steady_reader() {
    let (_server, addr, mut ended) = start(false).await;
    let mut stream = request(addr).await;
    let mut buf = vec![0; FRAME];
    for _ in 0..50 {
        stream.read_exact(&mut buf).await.unwrap();
        tokio::time::sleep(Duration::from_millis(80)).await;
    }
    assert!(ended.try_recv().is_err(), "the response was dropped");
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).await.unwrap();
    assert!(rest.len() > SIZE - 51 * FRAME, "the response is complete");
}

/// A response that the server has in full is delivered also when it is read late.
#[tokio::test]
async fn late_reader() {
    let (_server, addr, _ended) = start(true).await;
    let mut stream = request(addr).await;
    tokio::time::sleep(UNREAD * 2).await;
    let mut buf = Vec::new();
    stream.read_to_end(&mut buf).await.unwrap();
    assert!(buf.len() > SIZE);
}

/// A response that the server has in full is not held for ever.
#[tokio::test]
async fn unread_whole() {
    let (_server, addr, _ended) = start(true).await;
    let mut stream = request(addr).await;
    tokio::time::sleep(IDLE * 2).await;
    let mut buf = Vec::new();
    let read = stream.read_to_end(&mut buf).await;
    assert_eq!(read.unwrap_err().kind(), io::ErrorKind::ConnectionReset);
}
