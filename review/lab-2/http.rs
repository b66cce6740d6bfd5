//! Minimal blocking HTTP/1.1 for the stand-ins: heads, bodies with a length, in chunks or until the close.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A parsed head: the first line and the headers, whose names are in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the word at `position` of the first line.
    pub fn word(&self, position: usize) -> &str {
        self.first.split(' ').nth(position).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    fn length(&self) -> Option<usize> {
        self.get("content-length")?.trim().parse().ok()
    }

    fn is_chunked(&self) -> bool {
        self.get("transfer-encoding")
            .is_some_and(|it| it.contains("chunked"))
    }
}

/// A connection with a read buffer.
pub struct Conn {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

fn broken(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, text.to_owned())
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    pub fn open(addr: SocketAddr, timeout: Duration) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&addr, timeout)?))
    }

    /// Reads more bytes; returns whether there were any before the end.
    fn fill(&mut self) -> io::Result<bool> {
        let mut part = [0; 16 * 1024];
        let count = self.stream.read(&mut part)?;
        self.buf.extend_from_slice(&part[..count]);
        Ok(count > 0)
    }

    /// Reads a head, or returns `None` at the end of the connection.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        let end = loop {
            if let Some(end) = self.buf.windows(4).position(|it| it == b"\r\n\r\n") {
                break end;
            }
            if !self.fill()? {
                return if self.buf.is_empty() {
                    Ok(None)
                } else {
                    Err(broken("head cut off"))
                };
            }
        };
        let text = String::from_utf8_lossy(&self.buf[..end]).into_owned();
        self.buf.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let first = lines.next().unwrap_or("").to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        Ok(Some(Head { first, headers }))
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < count {
            if !self.fill()? {
                return Err(broken("body cut off"));
            }
        }
        Ok(self.buf.drain(..count).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buf.windows(2).position(|it| it == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 2);
                return Ok(line);
            }
            if !self.fill()? {
                return Err(broken("chunk cut off"));
            }
        }
    }

    /// Reads the body of a request.
    pub fn request_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        if head.is_chunked() {
            self.chunks(&mut body)?;
        } else if let Some(length) = head.length() {
            body = self.take(length)?;
        }
        Ok(body)
    }

    fn chunks(&mut self, body: &mut Vec<u8>) -> io::Result<()> {
        loop {
            let size = self.line()?;
            let size = size.split(';').next().unwrap_or("").trim();
            let size = usize::from_str_radix(size, 16).map_err(|_| broken("no chunk size"))?;
            if size == 0 {
                while !self.line()?.is_empty() {}
                return Ok(());
            }
            // What has come of a chunk that is cut off counts as received.
            while self.buf.len() < size + 2 {
                if !self.fill()? {
                    body.append(&mut self.buf);
                    return Err(broken("chunk cut off"));
                }
            }
            body.extend(self.buf.drain(..size));
            self.buf.drain(..2);
        }
    }

    /// Reads the body of an answer into `body`; an error means that it is not complete.
    pub fn answer_body(&mut self, head: &Head, body: &mut Vec<u8>) -> io::Result<()> {
        if head.is_chunked() {
            return self.chunks(body);
        }
        if let Some(length) = head.length() {
            *body = self.take(length)?;
            return Ok(());
        }
        while self.fill()? {}
        body.append(&mut self.buf);
        Ok(())
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Writes an answer with a length.
    pub fn answer(&mut self, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n",
            body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        self.write(&bytes)
    }
}

/// Returns the value of `name` in the query of `target`.
pub fn query<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = target.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .find(|(known, _)| *known == name)
        .map(|(_, value)| value)
}

/// Accepts connections and serves each in a thread of its own.
pub fn listen<F>(addr: SocketAddr, serve: F) -> io::Result<()>
where
    F: Fn(Conn) + Clone + Send + 'static,
{
    let listener = std::net::TcpListener::bind(addr)?;
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            std::thread::spawn(move || serve(Conn::new(stream)));
        }
    });
    Ok(())
}
