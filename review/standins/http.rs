//! A minimal HTTP/1.1 reader and writer on blocking sockets.

use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use std::io::BufRead;

/// The head of a request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The three words of the first line; of an answer the second is the status.
    pub start: [String; 3],
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start[1].parse().unwrap_or(0)
    }

    /// The path of a request without its query.
    pub fn path(&self) -> &str {
        self.start[1].split('?').next().unwrap_or("")
    }

    /// A parameter of the query of a request.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.start[1].split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(known, _)| *known == name).map(|(_, value)| value)
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.query(name)?.parse().ok()
    }
}

/// A connection, for either side.
pub struct Conn {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        let reader = BufReader::with_capacity(64 * 1024, stream.try_clone()?);
        Ok(Self { stream, reader })
    }

    pub fn connect(addr: SocketAddr, timeout: Duration) -> io::Result<Self> {
        Self::new(TcpStream::connect_timeout(&addr, timeout)?)
    }

    /// Reads a head; `None` if the peer has closed the connection before it.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        let mut head = Head::default();
        let mut line = String::new();
        if self.reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let mut words = line.trim_end().splitn(3, ' ').map(str::to_owned);
        head.start = std::array::from_fn(|_| words.next().unwrap_or_default());
        loop {
            line.clear();
            if self.reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let text = line.trim_end();
            if text.is_empty() {
                return Ok(Some(head));
            }
            if let Some((name, value)) = text.split_once(':') {
                let name = name.to_ascii_lowercase();
                head.headers.push((name, value.trim().to_owned()));
            }
        }
    }

    /// Reads the body that belongs to `head`.
    pub fn read_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        if head.get("transfer-encoding").is_some() {
            while let Some(chunk) = self.read_chunk()? {
                body.extend(chunk);
            }
        } else if let Some(length) = head.get("content-length") {
            let length = length.parse().map_err(io::Error::other)?;
            body.resize(length, 0);
            self.reader.read_exact(&mut body)?;
        }
        Ok(body)
    }

    /// Reads one chunk of a chunked body; `None` is its orderly end.
    pub fn read_chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let mut line = String::new();
        if self.reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let length = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
        let mut data = vec![0; length + 2];
        self.reader.read_exact(&mut data)?;
        data.truncate(length);
        Ok((length > 0).then_some(data))
    }

    pub fn write(&mut self, data: &[u8]) -> io::Result<()> {
        self.stream.write_all(data)
    }

    /// Writes an answer with a length.
    pub fn answer(&mut self, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
        let mut data =
            format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len())
                .into_bytes();
        data.extend_from_slice(body);
        self.write(&data)
    }
}

/// Serves each connection of `listener` on a thread of its own.
pub fn serve<F>(listener: TcpListener, handle: F)
where
    F: Fn(Conn) -> io::Result<()> + Send + Sync + 'static,
{
    let handle = std::sync::Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(conn) = stream.and_then(Conn::new) else {
                continue;
            };
            let handle = std::sync::Arc::clone(&handle);
            // An error ends the connection, as it does at a real server.
            std::thread::spawn(move || drop(handle(conn)));
        }
    });
}
