//! Clients.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use crate::http::{Conn, Head};

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// A complete answer: status, `Response-Stamp` and body.
    Answer(u16, Option<String>, Vec<u8>),
    /// The connection ended without a complete answer.
    Cut(String),
}

impl End {
    pub fn status(&self) -> u16 {
        match self {
            Self::Answer(status, ..) => *status,
            Self::Cut(_) => 0,
        }
    }
}

impl std::fmt::Display for End {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Answer(status, stamp, body) => {
                let stamp = stamp.as_deref().unwrap_or("none");
                let text = String::from_utf8_lossy(body);
                let start: String = text.trim_end().chars().take(60).collect();
                write!(f, "{status}, stamp {stamp}, body {start:?}")
            }
            Self::Cut(why) => write!(f, "no complete answer: {why}"),
        }
    }
}

/// A request of a client.
pub struct Request<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub host: &'a str,
    pub id: &'a str,
    pub key: &'a str,
    pub deadline: Duration,
}

impl Request<'_> {
    /// The head, for a body of `length` bytes.
    pub fn head(&self, length: usize) -> String {
        format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\nAttempt-Id: {}\r\nDeadline-Ms: {}\r\nCredential: {}\r\n\
             Content-Length: {length}\r\n\r\n",
            self.method,
            self.path,
            self.host,
            self.id,
            self.deadline.as_millis(),
            self.key
        )
    }

    /// Sends the request with `body` and reads the answer.
    pub fn send(&self, conn: &mut Conn, body: &[u8]) -> End {
        let mut data = self.head(body.len()).into_bytes();
        data.extend_from_slice(body);
        match conn.write(&data) {
            Ok(()) => read_answer(conn, self.deadline),
            Err(e) => End::Cut(e.to_string()),
        }
    }
}

/// Reads an answer, for two seconds longer than the deadline.
pub fn read_answer(conn: &mut Conn, deadline: Duration) -> End {
    let read = || -> io::Result<(Head, Vec<u8>)> {
        let limit = deadline + Duration::from_secs(2);
        conn.stream.set_read_timeout(Some(limit))?;
        let head = conn.read_head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let body = conn.read_body(&head)?;
        Ok((head, body))
    };
    let mut read = read;
    match read() {
        Ok((head, body)) => {
            let stamp = head.get("response-stamp").map(str::to_owned);
            End::Answer(head.status(), stamp, body)
        }
        Err(e) => End::Cut(e.to_string()),
    }
}

/// Reads a page of a process's status listener.
pub fn get(addr: SocketAddr, path: &str) -> End {
    let limit = Duration::from_millis(500);
    let asked = Conn::connect(addr, limit).and_then(|mut conn| {
        conn.write(format!("GET {path} HTTP/1.1\r\nHost: {addr}\r\n\r\n").as_bytes())?;
        Ok(conn)
    });
    match asked {
        Ok(mut conn) => read_answer(&mut conn, Duration::ZERO),
        Err(e) => End::Cut(e.to_string()),
    }
}
