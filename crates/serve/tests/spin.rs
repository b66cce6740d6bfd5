//! A connection that can't be closed yet waits without using the processor.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use prometheus::Registry;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use wagtailreel_serve::{ConnectionCounters, Handler, Phase, RequestBody, ResponseBody, Server};

/// How long the body of the request is held.
const HELD: Duration = Duration::from_millis(400);

/// Answers before it has read the request's body, and leaves the request's body to another task, as a relay does.
#[derive(Debug)]
struct EarlyAnswer {
    bodies: UnboundedSender<RequestBody>,
}

impl Handler for EarlyAnswer {
    fn answer(
        &self,
        req: Request<RequestBody>,
    ) -> impl Future<Output = Response<impl ResponseBody + use<>>> + Send + use<> {
        self.bodies.send(req.into_body()).unwrap();
        let pause = HELD / 4;
        async move {
            tokio::time::sleep(pause).await;
            Response::new(Full::new(Bytes::from_static(b"early")))
        }
    }
}

/// Returns for how long this thread has used the processor.
fn used() -> Duration {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap();
    let ns = text.split(' ').next().unwrap();
    Duration::from_nanos(ns.parse().unwrap())
}

async fn begin(addr: SocketAddr) -> TcpStream {
    let mut caller = TcpStream::connect(addr).await.unwrap();
    let head = "POST / HTTP/1.1\r\nhost: shop.example\r\ncontent-length: 1000000\r\n\r\n";
    caller.write_all(head.as_bytes()).await.unwrap();
    // More than the HTTP library reads unless it is asked for.
    caller.write_all(&vec![b'x'; 900_000]).await.unwrap();
    let mut buf = [0; 512];
    assert_ne!(caller.read(&mut buf).await.unwrap(), 0);
    caller
}

/// The body of a request that is answered already is not read for a while.
#[tokio::test]
async fn early_answer() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let counters = ConnectionCounters::register(&Registry::new()).unwrap();
    let (bodies, mut held) = unbounded_channel();
    let mut server = Server::start("callers", listener, EarlyAnswer { bodies }, counters);
    let caller = tokio::spawn(begin(addr));
    let body = held.recv().await.unwrap();
    let caller = caller.await.unwrap();
    server.enter(Phase::Ending);
    let before = used();
    tokio::time::sleep(HELD).await;
    let spent = used().saturating_sub(before);
    assert!(spent < HELD / 4, "{spent:?} of {HELD:?} were spent");
    drop(body);
    drop(caller);
    server.ended().await;
}
