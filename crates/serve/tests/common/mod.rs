//! Test server on a socket, and callers that observe how their connections end.

use std::io::{self, Write as _};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body::Frame;
use http_body_util::StreamBody;
use prometheus::Registry;
use tokio::io::AsyncReadExt as _;
use tokio::net::{TcpListener, TcpStream};
use wagtailreel_serve::{ConnectionCounters, Handler, RequestBody, ResponseBody, Server};

/// A request without a body.
pub(crate) const GET: &str = "GET / HTTP/1.1\r\nhost: shop.example\r\n\r\n";

/// Body of every response.
const BODY: &str = "inscription";

/// Time-out of each read of a caller.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Handler that sends the head of each response at once and the body after a pause.
#[derive(Clone, Debug, Default)]
pub(crate) struct DelayedHandler {
    pause: Duration,
    idle: Option<Duration>,
    served: Arc<AtomicU64>,
}

impl DelayedHandler {
    pub(crate) fn new(pause: Duration) -> Self {
        Self {
            pause,
            idle: None,
            served: Arc::default(),
        }
    }

    #[allow(dead_code, reason = "not every test's connections are idle")]
    pub(crate) fn with_idle(mut self, idle: Duration) -> Self {
        self.idle = Some(idle);
        self
    }
}

impl Handler for DelayedHandler {
    fn limits(&self) -> wagtailreel_serve::Limits {
        // Called once per connection, when it starts to be served.
        self.served.fetch_add(1, Ordering::Relaxed);
        let limits = wagtailreel_serve::Limits::default();
        wagtailreel_serve::Limits {
            idle: self.idle.unwrap_or(limits.idle),
            ..limits
        }
    }

    fn answer(
        &self,
        _req: Request<RequestBody>,
    ) -> impl Future<Output = Response<impl ResponseBody + use<>>> + Send + use<> {
        let pause = self.pause;
        async move {
            let body = futures::stream::once(async move {
                tokio::time::sleep(pause).await;
                io::Result::Ok(Frame::data(Bytes::from_static(BODY.as_bytes())))
            });
            let mut response = Response::new(StreamBody::new(body));
            let length = http::HeaderValue::from(BODY.len());
            response.headers_mut().insert("content-length", length);
            response
        }
    }
}

/// A test server and its address.
pub(crate) struct TestServer {
    pub(crate) server: Server,
    pub(crate) addr: SocketAddr,
    served: Arc<AtomicU64>,
}

/// Starts a server.
pub(crate) async fn server(handler: DelayedHandler) -> TestServer {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let served = Arc::clone(&handler.served);
    let counters = ConnectionCounters::register(&Registry::new()).unwrap();
    TestServer {
        server: Server::start("callers", listener, handler, counters),
        addr,
        served,
    }
}

impl TestServer {
    /// Waits until `connections` have been accepted and are served.
    pub(crate) async fn accepted(&self, connections: u64) {
        while self.served.load(Ordering::Relaxed) < connections {
            tokio::task::yield_now().await;
        }
    }

    /// Yields often enough for all ready tasks to run.
    pub(crate) async fn settle(&self) {
        for _ in 0..100 {
            tokio::task::yield_now().await;
        }
    }
}

/// Head of a response, as a caller received it.
#[derive(Debug)]
pub(crate) struct Answer {
    /// Status code, or 0 if the connection ended without a response.
    pub(crate) status: u16,
    /// The response carries `Connection: close`.
    pub(crate) closes: bool,
    /// Time-out in the `Keep-Alive` header.
    pub(crate) keep_alive: Option<Duration>,
}

/// A caller that uses one connection.
pub(crate) struct Caller {
    stream: TcpStream,
    buf: Vec<u8>,
}

impl Caller {
    pub(crate) async fn connect(addr: SocketAddr) -> Self {
        Self::new(TcpStream::connect(addr).await.unwrap())
    }

    /// Connects without yielding to other tasks.
    pub(crate) fn connect_at_once(addr: SocketAddr) -> Self {
        let stream = std::net::TcpStream::connect(addr).unwrap();
        stream.set_nonblocking(true).unwrap();
        Self::new(TcpStream::from_std(stream).unwrap())
    }

    fn new(stream: TcpStream) -> Self {
        let buf = Vec::new();
        Self { stream, buf }
    }

    /// Sends bytes without yielding to other tasks.
    pub(crate) fn send(&mut self, text: &str) {
        // A std stream writes to the kernel directly, not through the runtime.
        let fd = std::os::fd::AsFd::as_fd(&self.stream);
        let fd = fd.try_clone_to_owned().unwrap();
        let mut stream = std::net::TcpStream::from(fd);
        stream.write_all(text.as_bytes()).unwrap();
    }

    /// Reads a response to its end.
    pub(crate) async fn answer(&mut self) -> Answer {
        let answer = self.head().await;
        self.body(&answer).await;
        answer
    }

    /// Reads the head of a response.
    pub(crate) async fn head(&mut self) -> Answer {
        let end = loop {
            if let Some(at) = self.buf.windows(4).position(|it| it == b"\r\n\r\n") {
                break at + 4;
            }
            if self.fill().await == 0 {
                break self.buf.len();
            }
        };
        let head: Vec<u8> = self.buf.drain(..end).collect();
        let head = String::from_utf8(head).unwrap().to_ascii_lowercase();
        let status = head.split(' ').nth(1).and_then(|it| it.parse().ok());
        let timeout = head
            .lines()
            .find_map(|line| line.strip_prefix("keep-alive: timeout="));
        let timeout = timeout.map(|it| Duration::from_secs(it.trim().parse().unwrap()));
        Answer {
            status: status.unwrap_or(0),
            closes: head.contains("connection: close"),
            keep_alive: timeout,
        }
    }

    /// Reads the body that follows `head`.
    pub(crate) async fn body(&mut self, head: &Answer) {
        while head.status != 0 && self.buf.len() < BODY.len() {
            assert_ne!(self.fill().await, 0, "the response body is truncated");
        }
        if head.status != 0 {
            self.buf.drain(..BODY.len());
        }
    }

    /// Waits until the server closes the connection without a reset.
    pub(crate) async fn ended(&mut self) {
        let read = tokio::time::timeout(TIMEOUT, self.stream.read_buf(&mut self.buf));
        assert_eq!(
            read.await.unwrap().unwrap(),
            0,
            "bytes received after the response"
        );
    }

    /// Reads more bytes; returns 0 at the end of the stream or on a reset.
    async fn fill(&mut self) -> usize {
        let read = tokio::time::timeout(TIMEOUT, self.stream.read_buf(&mut self.buf));
        read.await.unwrap().unwrap_or(0)
    }
}
