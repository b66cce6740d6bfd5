//! Server-sent events, read at byte level.

use bytes::{Buf, Bytes, BytesMut};

/// Longest event that is taken; a longer one is a fault of the sender.
const LONGEST_EVENT: usize = 1 << 20;

/// One event: the bytes between two blank lines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SseEvent {
    raw: Bytes,
}

impl SseEvent {
    /// Returns the event's name; `message` if it names none, as the standard has it.
    pub fn name(&self) -> &[u8] {
        self.field(b"event:").unwrap_or(b"message")
    }

    /// Returns the event's first line of data.
    pub fn data(&self) -> &[u8] {
        self.field(b"data:").unwrap_or_default()
    }

    fn field(&self, name: &[u8]) -> Option<&[u8]> {
        self.raw.split(|byte| *byte == b'\n').find_map(|line| {
            let value = line.strip_prefix(name)?;
            let value = value.strip_prefix(b" ").unwrap_or(value);
            Some(value.strip_suffix(b"\r").unwrap_or(value))
        })
    }
}

/// Cuts a stream of bytes into events.
#[derive(Debug, Default)]
pub struct SseReader {
    buf: BytesMut,
    searched: usize,
}

impl SseReader {
    /// Makes a reader with nothing read.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds bytes as they came.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Returns the next whole event, if there is one.
    pub fn next_event(&mut self) -> Option<SseEvent> {
        loop {
            let end = self.end_of_event()?;
            let raw = self.buf.split_to(end).freeze();
            self.buf.advance(2);
            self.searched = 0;
            // A comment alone, as senders use it to keep a connection open, is no event.
            if !raw.starts_with(b":") && !raw.is_empty() {
                return Some(SseEvent { raw });
            }
        }
    }

    /// Says whether bytes of an unfinished event are left.
    pub fn has_rest(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Says whether an unfinished event is longer than any that is taken.
    pub fn is_overlong(&self) -> bool {
        self.buf.len() > LONGEST_EVENT
    }

    /// Looks for a blank line from where the last search ended, so that no byte is looked at
    /// more than twice.
    fn end_of_event(&mut self) -> Option<usize> {
        let from = self.searched.saturating_sub(1);
        let found = self.buf[from..]
            .windows(2)
            .position(|pair| pair == b"\n\n")
            .map(|at| from + at);
        self.searched = self.buf.len();
        found
    }
}
