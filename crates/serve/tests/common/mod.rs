//! A server on a socket, and callers that see how their connections end.

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

/// Body of every answer.
const BODY: &str = "inscription";

/// Longest wait for anything that a caller waits for.
const LONGEST: Duration = Duration::from_secs(10);

/// Answers each request after a pause, whose head comes at once.
#[derive(Clone, Debug, Default)]
pub(crate) struct DelayedHandler {
    pause: Duration,
    idle: Option<Duration>,
    begun: Arc<AtomicU64>,
}

impl DelayedHandler {
    pub(crate) fn new(pause: Duration) -> Self {
        Self {
            pause,
            idle: None,
            begun: Arc::default(),
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
        // Told for each connection as it is served for the first time.
        self.begun.fetch_add(1, Ordering::Relaxed);
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

/// A server with its address.
pub(crate) struct TestServer {
    pub(crate) server: Server,
    pub(crate) addr: SocketAddr,
    begun: Arc<AtomicU64>,
}

/// Starts a server.
pub(crate) async fn server(handler: DelayedHandler) -> TestServer {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let begun = Arc::clone(&handler.begun);
    let counters = ConnectionCounters::register(&Registry::new()).unwrap();
    TestServer {
        server: Server::start("callers", listener, handler, counters),
        addr,
        begun,
    }
}

impl TestServer {
    /// Waits until `connections` have been accepted and are served.
    pub(crate) async fn accepted(&self, connections: u64) {
        while self.begun.load(Ordering::Relaxed) < connections {
            tokio::task::yield_now().await;
        }
    }

    /// Lets every task run that has something to do.
    pub(crate) async fn settle(&self) {
        for _ in 0..100 {
            tokio::task::yield_now().await;
        }
    }
}

/// What a caller got.
#[derive(Debug)]
pub(crate) struct Answer {
    /// The status; 0 if the connection ended without one.
    pub(crate) status: u16,
    /// The connection ends with this answer.
    pub(crate) closes: bool,
    /// How long the connection is kept unused.
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

    /// Connects without a pause in which another task could run.
    pub(crate) fn connect_at_once(addr: SocketAddr) -> Self {
        let stream = std::net::TcpStream::connect(addr).unwrap();
        stream.set_nonblocking(true).unwrap();
        Self::new(TcpStream::from_std(stream).unwrap())
    }

    fn new(stream: TcpStream) -> Self {
        let buf = Vec::new();
        Self { stream, buf }
    }

    /// Sends bytes without a pause in which another task could run.
    pub(crate) fn send(&mut self, text: &str) {
        // Behind an adapter of std, whose write asks the kernel at once.
        let fd = std::os::fd::AsFd::as_fd(&self.stream);
        let fd = fd.try_clone_to_owned().unwrap();
        let mut stream = std::net::TcpStream::from(fd);
        stream.write_all(text.as_bytes()).unwrap();
    }

    /// Reads an answer to its end.
    pub(crate) async fn answer(&mut self) -> Answer {
        let answer = self.head().await;
        self.body(&answer).await;
        answer
    }

    /// Reads the head of an answer.
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
            assert_ne!(self.fill().await, 0, "the answer is not whole");
        }
        if head.status != 0 {
            self.buf.drain(..BODY.len());
        }
    }

    /// Waits until the server ends the connection in good order.
    pub(crate) async fn ended(&mut self) {
        let read = tokio::time::timeout(LONGEST, self.stream.read_buf(&mut self.buf));
        assert_eq!(read.await.unwrap().unwrap(), 0, "more bytes came");
    }

    /// Reads what comes next; 0 at the end, or at a reset.
    async fn fill(&mut self) -> usize {
        let read = tokio::time::timeout(LONGEST, self.stream.read_buf(&mut self.buf));
        read.await.unwrap().unwrap_or(0)
    }
}
