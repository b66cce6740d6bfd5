//! A connection that can't be closed yet waits without a busy loop.
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

/// Time for which the request body is not read.
const BODY_HOLD: Duration = Duration::from_millis(400);

/// Handler that answers before the request body is read, and passes the body to another task, as a relay
/// does.
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
        let pause = BODY_HOLD / 4;
        async move {
            tokio::time::sleep(pause).await;
            Response::new(Full::new(Bytes::from_static(b"early")))
        }
    }
}

/// Returns the CPU time of this thread.
fn cpu_time() -> Duration {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap();
    let ns = text.split(' ').next().unwrap();
    Duration::from_nanos(ns.parse().unwrap())
}

async fn send_upload(addr: SocketAddr) -> TcpStream {
    let mut caller = TcpStream::connect(addr).await.unwrap();
    let head = "POST / HTTP/1.1\r\nhost: shop.example\r\ncontent-length: 1000000\r\n\r\n";
    caller.write_all(head.as_bytes()).await.unwrap();
    // More than the HTTP library reads before the body is polled.
    caller.write_all(&vec![b'x'; 900_000]).await.unwrap();
    let mut buf = [0; 512];
    assert_ne!(caller.read(&mut buf).await.unwrap(), 0);
    caller
}

/// The body of an answered request stays unread for a while.
#[tokio::test]
async fn early_answer() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let counters = ConnectionCounters::register(&Registry::new()).unwrap();
    let (bodies, mut held) = unbounded_channel();
    let mut server = Server::start("callers", listener, EarlyAnswer { bodies }, counters);
    let caller = tokio::spawn(send_upload(addr));
    let body = held.recv().await.unwrap();
    let caller = caller.await.unwrap();
    server.enter(Phase::Ending);
    let before = cpu_time();
    tokio::time::sleep(BODY_HOLD).await;
    let spent = cpu_time().saturating_sub(before);
    assert!(
        spent < BODY_HOLD / 4,
        "{spent:?} of {BODY_HOLD:?} were spent"
    );
    drop(body);
    drop(caller);
    server.ended().await;
}
