//! Checks the events of an agent's stream before the caller gets them.

use bytes::{BufMut as _, Bytes, BytesMut};
use serde::Deserialize;
use wagtailreel_adapters::{SseDecoder, SseEvent};
use wagtailreel_core::Outcome;

/// How the events of an agent's stream end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Finish {
    /// The end event arrived, and no token is missing.
    Whole,
    /// The stream failed, or tokens are missing from it.
    Broken,
}

/// Content of one frame.
#[derive(Debug, Default)]
pub(crate) struct Batch {
    /// Complete token events for the caller, in order and each once.
    pub(crate) bytes: Bytes,
    /// Number of token events in `bytes`.
    pub(crate) tokens: u64,
    /// How the stream ended, if it did.
    pub(crate) finish: Option<Finish>,
}

/// Passes on the tokens of one answer across all the streams that carry it.
///
/// Invariant: the relay passes on complete events with indexes 0, 1, 2 and so on, wherever the network
/// splits frames and whichever agent a stream comes from.
#[derive(Debug, Default)]
pub(crate) struct Relay {
    decoder: SseDecoder,
    next: u64,
    from: u64,
}

#[derive(Deserialize)]
struct TokenData {
    index: u64,
}

#[derive(Deserialize)]
struct EndData {
    outcome: Option<Outcome>,
    tokens: u64,
}

impl Relay {
    /// Creates a relay that has seen no token.
    pub(crate) fn new() -> Self {
        Self::default()
    }

    /// Returns the index of the next token.
    pub(crate) fn next(&self) -> u64 {
        self.next
    }

    /// Discards the partial event of a stream that was cut; another stream continues the answer.
    pub(crate) fn restart(&mut self) {
        self.decoder = SseDecoder::new();
        self.from = self.next;
    }

    /// Processes the next frame of the stream.
    pub(crate) fn push(&mut self, frame: &Bytes) -> Batch {
        let starts_whole = !self.decoder.is_mid_event();
        self.decoder.push(frame);
        let mut batch = Batch::default();
        let mut copied = BytesMut::new();
        let mut passed_on = starts_whole;
        while batch.finish.is_none() {
            let event = match self.decoder.next_event() {
                Ok(Some(event)) => event,
                Ok(None) => break,
                Err(_) => {
                    batch.finish = Some(Finish::Broken);
                    break;
                }
            };
            match self.classify(&event) {
                EventKind::Token => {
                    batch.tokens += 1;
                    write_event(&mut copied, &event);
                }
                EventKind::Dropped => passed_on = false,
                EventKind::Finish(finish) => batch.finish = Some(finish),
            }
        }
        // A frame usually holds one complete token event, which is passed on without a copy.
        let as_it_is = passed_on && batch.finish.is_none() && !self.decoder.is_mid_event();
        batch.bytes = if batch.tokens == 0 {
            Bytes::new()
        } else if as_it_is {
            frame.clone()
        } else {
            copied.freeze()
        };
        batch
    }

    fn classify(&mut self, event: &SseEvent) -> EventKind {
        match event.name.as_ref() {
            b"token" => self.classify_token(&event.data),
            b"end" => EventKind::Finish(self.classify_end(&event.data)),
            b"error" => EventKind::Finish(Finish::Broken),
            _ => EventKind::Dropped,
        }
    }

    fn classify_token(&mut self, data: &[u8]) -> EventKind {
        match index_of(data) {
            Some(index) if index == self.next => {
                self.next += 1;
                EventKind::Token
            }
            // The caller has it already.
            Some(index) if index < self.next => EventKind::Dropped,
            // A token is missing, or the index can't be read.
            _ => EventKind::Finish(Finish::Broken),
        }
    }

    fn classify_end(&self, data: &[u8]) -> Finish {
        let Ok(end) = serde_json::from_slice::<EndData>(data) else {
            return Finish::Broken;
        };
        let answered = end
            .outcome
            .is_none_or(|outcome| outcome == Outcome::Answered);
        // A resumed stream may count from its own start or from the answer's.
        let whole = end.tokens == self.next || end.tokens == self.next - self.from;
        if answered && whole {
            Finish::Whole
        } else {
            Finish::Broken
        }
    }
}

enum EventKind {
    Token,
    Dropped,
    Finish(Finish),
}

/// Reads the index of a token. Data that starts with `{"index":` is read without a JSON parser.
fn index_of(data: &[u8]) -> Option<u64> {
    let Some(rest) = data.strip_prefix(b"{\"index\":") else {
        let token: TokenData = serde_json::from_slice(data).ok()?;
        return Some(token.index);
    };
    let rest = rest.trim_ascii_start();
    let digits = rest.iter().take_while(|byte| byte.is_ascii_digit()).count();
    std::str::from_utf8(&rest[..digits]).ok()?.parse().ok()
}

fn write_event(buf: &mut BytesMut, event: &SseEvent) {
    buf.put_slice(b"event: ");
    buf.put_slice(&event.name);
    buf.put_slice(b"\n");
    for line in event.data.split(|byte| *byte == b'\n') {
        buf.put_slice(b"data: ");
        buf.put_slice(line);
        buf.put_slice(b"\n");
    }
    buf.put_slice(b"\n");
}
