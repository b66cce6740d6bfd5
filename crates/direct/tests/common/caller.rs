//! A caller that speaks HTTP on a plain socket, so that tests can tell an answer that was cut off.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

/// An answer as it was received.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    /// The status; 0 if the connection was closed without one.
    pub(crate) status: u16,
    /// The head in lower case.
    pub(crate) head: String,
    /// The body, decoded if it was sent in chunks.
    pub(crate) body: String,
    /// Whether the body is complete according to its framing.
    pub(crate) is_whole: bool,
}

impl Answer {
    /// Returns a header's value.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let start = format!("{name}:");
        let mut lines = self.head.lines();
        lines.find_map(|line| line.strip_prefix(&start).map(str::trim))
    }
}

/// Returns the text of a request with `connection: close`.
pub(crate) fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> String {
    let mut text = format!("{method} {path} HTTP/1.1\r\nhost: shop.example\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() {
        text += &format!("content-length: {}\r\n", body.len());
    }
    text + "connection: close\r\n\r\n" + body
}

/// Sends a request with key `k1` and id `r1`, and reads its answer to the end.
pub(crate) async fn call(addr: SocketAddr, method: &str, path: &str) -> Answer {
    let headers = [("x-id", "r1"), ("x-key", "k1")];
    send(addr, &request(method, path, &headers, "")).await
}

/// Sends a `GET` with `headers`.
pub(crate) async fn get(addr: SocketAddr, path: &str, headers: &[(&str, &str)]) -> Answer {
    send(addr, &request("GET", path, headers, "")).await
}

/// Sends `text` on a new connection and reads the answer to the end.
pub(crate) async fn send(addr: SocketAddr, text: &str) -> Answer {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    read(&mut stream).await
}

/// Reads an answer until the connection is closed.
pub(crate) async fn read(stream: &mut TcpStream) -> Answer {
    let mut buf = Vec::new();
    // A reset ends the answer as well; the bytes before it are kept.
    let _ = stream.read_to_end(&mut buf).await;
    parse(&String::from_utf8_lossy(&buf))
}

/// Parses all bytes of a connection as one answer.
pub(crate) fn parse(text: &str) -> Answer {
    let (head, rest) = text.split_once("\r\n\r\n").unwrap_or((text, ""));
    let head = head.to_ascii_lowercase();
    let status = head.split(' ').nth(1).and_then(|it| it.parse().ok());
    let mut answer = Answer {
        status: status.unwrap_or(0),
        head,
        body: rest.to_owned(),
        is_whole: false,
    };
    if let Some(length) = answer.header("content-length") {
        answer.is_whole = length.parse() == Ok(rest.len());
    } else if answer.header("transfer-encoding").is_some() {
        (answer.body, answer.is_whole) = unchunk(rest);
    }
    answer
}

fn unchunk(mut rest: &str) -> (String, bool) {
    let mut body = String::new();
    while let Some((length, tail)) = rest.split_once("\r\n") {
        let Ok(length) = usize::from_str_radix(length, 16) else {
            return (body, false);
        };
        if length == 0 {
            return (body, true);
        }
        let Some(chunk) = tail.get(..length) else {
            return (body + tail, false);
        };
        body += chunk;
        rest = tail.get(length + 2..).unwrap_or("");
    }
    (body, false)
}
