//! Responses to HTTP/1.0 callers, whose body ends with the connection if its length is not known.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt as _;
use http::{HeaderValue, Request, Response, header};
use http_body::Frame;
use http_body_util::StreamBody;
use prometheus::Registry;
use rstest::rstest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use wagtailreel_serve::{ConnectionCounters, Handler, RequestBody, ResponseBody, Server};

/// Body of a response that does not break off.
const BODY: &str = "first second";

/// How the body of a response ends after its first part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    Whole,
    Broken,
    Never,
}

#[derive(Clone, Copy, Debug)]
struct Answers {
    ending: Ending,
    states_length: bool,
}

impl Handler for Answers {
    fn answer(
        &self,
        _req: Request<RequestBody>,
    ) -> impl Future<Output = Response<impl ResponseBody + use<>>> + Send + use<> {
        let Self {
            ending,
            states_length,
        } = *self;
        async move {
            let (first, second) = BODY.split_at(6);
            let frame = |text: &'static str| Ok(Frame::data(Bytes::from_static(text.as_bytes())));
            let rest = futures::stream::once(async move {
                // The first part is on the wire before the body goes on.
                tokio::time::sleep(Duration::from_millis(20)).await;
                match ending {
                    Ending::Whole => frame(second),
                    Ending::Broken => Err(io::Error::other("broken")),
                    Ending::Never => std::future::pending().await,
                }
            });
            let first = futures::stream::once(std::future::ready(frame(first)));
            let mut response = Response::new(StreamBody::new(first.chain(rest)));
            if states_length {
                let length = HeaderValue::from(BODY.len());
                response
                    .headers_mut()
                    .insert(header::CONTENT_LENGTH, length);
            }
            response
        }
    }
}

async fn start(answers: Answers) -> (Server, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let counters = ConnectionCounters::register(&Registry::new()).unwrap();
    let server = Server::start("callers", listener, answers, counters);
    (server, addr)
}

async fn request(addr: SocketAddr, version: &str) -> TcpStream {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    let text = format!("GET / HTTP/{version}\r\nhost: shop.example\r\nconnection: close\r\n\r\n");
    stream.write_all(text.as_bytes()).await.unwrap();
    stream
}

/// Reads to the end of the connection; returns the text, and whether the connection was reset.
async fn read(stream: &mut TcpStream) -> (String, bool) {
    let mut buf = Vec::new();
    let read = stream.read_to_end(&mut buf).await;
    (String::from_utf8(buf).unwrap(), read.is_err())
}

/// Guards against a broken response that looks complete, since its connection ends as that of a complete one.
#[rstest]
#[case::whole(Ending::Whole, false)]
#[case::broken(Ending::Broken, true)]
#[tokio::test]
async fn without_length(#[case] ending: Ending, #[case] is_reset: bool) {
    let answers = Answers {
        ending,
        states_length: false,
    };
    let (_server, addr) = start(answers).await;
    let mut stream = request(addr, "1.0").await;
    let (text, was_reset) = read(&mut stream).await;
    assert_eq!(was_reset, is_reset, "{text}");
    assert!(is_reset || text.ends_with(BODY), "{text}");
    assert!(!text.to_lowercase().contains("transfer-encoding"), "{text}");
}

/// Guards against a process that ends within a response, whose sockets the kernel would close in order.
#[test]
fn process_ends() {
    let runtime = || tokio::runtime::Runtime::new().unwrap();
    let (process, caller) = (runtime(), runtime());
    let answers = Answers {
        ending: Ending::Never,
        states_length: false,
    };
    let (_server, addr) = process.block_on(start(answers));
    let mut stream = caller.block_on(async {
        let mut stream = request(addr, "1.0").await;
        let mut buf = Vec::new();
        while !buf.ends_with(b"first ") {
            assert_ne!(stream.read_buf(&mut buf).await.unwrap(), 0);
        }
        stream
    });
    drop(process);
    let (text, was_reset) = caller.block_on(read(&mut stream));
    assert!(was_reset, "{text}");
}

/// A response that states its length, or is sent in chunks, shows a break by itself, and none of what was written
/// before it is lost to a reset.
#[rstest]
#[tokio::test]
async fn with_framing(
    #[values(("1.0", true), ("1.1", true), ("1.1", false))] framing: (&str, bool),
    #[values(Ending::Whole, Ending::Broken)] ending: Ending,
) {
    let (version, states_length) = framing;
    let answers = Answers {
        ending,
        states_length,
    };
    let (_server, addr) = start(answers).await;
    let mut stream = request(addr, version).await;
    let (text, was_reset) = read(&mut stream).await;
    assert!(!was_reset, "{text}");
    let end = match (states_length, ending) {
        (true, Ending::Whole) => BODY,
        (true, _) => "first ",
        (false, Ending::Whole) => "0\r\n\r\n",
        (false, _) => "first \r\n",
    };
    assert!(text.ends_with(end), "{text}");
}
