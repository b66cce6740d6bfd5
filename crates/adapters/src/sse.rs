//! Decoder of server-sent events.

use bytes::{Bytes, BytesMut};
use snafu::{Snafu, ensure};

/// Longest event that is taken, in bytes.
const MAX_EVENT: usize = 1024 * 1024;

/// One event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SseEvent {
    /// Value of the last `event` line; empty if there is none.
    pub name: Bytes,
    /// Values of the `data` lines, joined by line feeds.
    pub data: Bytes,
}

/// A stream that can't be decoded.
#[derive(Debug, Snafu)]
pub enum SseError {
    /// An event doesn't end.
    #[snafu(display("an event is longer than {limit} bytes: have the server send shorter ones"))]
    TooLong {
        /// Longest event that is taken.
        limit: usize,
    },
}

/// Cuts the bytes of a stream into events, wherever the network cut them into frames.
///
/// Lines end with a line feed, with or without a carriage return before it. Comments and the
/// fields `id` and `retry` are passed over. An event without data is none, as the standard says.
#[derive(Debug, Default)]
pub struct SseDecoder {
    buf: BytesMut,
    /// Start of the line that is being read.
    line: usize,
    /// Bytes of `buf` that hold no further line feed.
    scanned: usize,
}

impl SseDecoder {
    /// Makes a decoder at the start of a stream.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the next bytes of the stream.
    pub fn push(&mut self, frame: &[u8]) {
        self.buf.extend_from_slice(frame);
    }

    /// Returns the next whole event, or none until more bytes have come.
    ///
    /// # Errors
    ///
    /// Returns [`SseError::TooLong`] if an event passes the limit without an end.
    pub fn next_event(&mut self) -> Result<Option<SseEvent>, SseError> {
        while let Some(block) = self.next_block()? {
            if let Some(event) = parse_block(block) {
                return Ok(Some(event));
            }
        }
        Ok(None)
    }

    /// Says whether bytes of an unfinished event are left.
    pub fn is_mid_event(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Takes the bytes up to and with the next blank line.
    fn next_block(&mut self) -> Result<Option<Bytes>, SseError> {
        while let Some(at) = find_line_feed(&self.buf[self.scanned..]) {
            let end = self.scanned + at;
            let is_blank = matches!(&self.buf[self.line..end], b"" | b"\r");
            self.scanned = end + 1;
            self.line = end + 1;
            if is_blank {
                let block = self.buf.split_to(end + 1).freeze();
                self.scanned = 0;
                self.line = 0;
                return Ok(Some(block));
            }
        }
        self.scanned = self.buf.len();
        ensure!(self.scanned <= MAX_EVENT, TooLongSnafu { limit: MAX_EVENT });
        Ok(None)
    }
}

/// Finds the first line feed.
fn find_line_feed(bytes: &[u8]) -> Option<usize> {
    bytes.iter().position(|byte| *byte == b'\n')
}

/// Reads the fields of one block of lines; none if it has no data.
fn parse_block(block: Bytes) -> Option<SseEvent> {
    let mut name = Bytes::new();
    let mut data: Option<Bytes> = None;
    let mut rest = block;
    while let Some(end) = find_line_feed(&rest) {
        let mut line = rest.split_to(end + 1);
        line.truncate(end);
        if line.last() == Some(&b'\r') {
            line.truncate(line.len() - 1);
        }
        if let Some(value) = field(&line, b"data") {
            data = Some(join_data(data, value));
        } else if let Some(value) = field(&line, b"event") {
            name = value;
        }
    }
    data.map(|data| SseEvent { name, data })
}

/// Returns the value of `line` if its field is `name`.
fn field(line: &Bytes, name: &[u8]) -> Option<Bytes> {
    let rest = line.strip_prefix(name)?;
    let value = match rest {
        [] => 0,
        [b':', b' ', ..] => 2,
        [b':', ..] => 1,
        _ => return None,
    };
    Some(line.slice(name.len() + value..))
}

/// Adds one `data` line to those before; the usual single line is not copied.
fn join_data(before: Option<Bytes>, value: Bytes) -> Bytes {
    let Some(before) = before else {
        return value;
    };
    let mut joined = BytesMut::with_capacity(before.len() + value.len() + 1);
    joined.extend_from_slice(&before);
    joined.extend_from_slice(b"\n");
    joined.extend_from_slice(&value);
    joined.freeze()
}
