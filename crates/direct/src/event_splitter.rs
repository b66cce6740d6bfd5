//! Cuts a stream of events into whole ones.

use bytes::{Bytes, BytesMut};

/// Bytes of one event that are kept until its end comes. Events hold some hundred bytes; a stream
/// without ends must not fill the memory.
const MOST_PENDING: usize = 1 << 20;

/// What a frame brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cut {
    /// Whole events, which may be none, for the caller.
    Events(Bytes),
    /// An event is missing, or the stream is none.
    Broken,
}

/// Cuts the stream that one answer consists of, over all upstreams that give it.
///
/// Invariant: what it lets through are whole events, each once and with no gap in their ids,
/// wherever an upstream broke off.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    last: Option<u64>,
    events: u64,
}

impl EventSplitter {
    /// Makes a splitter for a caller that has the events up to `last`.
    pub fn new(last: Option<u64>) -> Self {
        Self {
            pending: BytesMut::new(),
            last,
            events: 0,
        }
    }

    /// Returns the id of the last whole event.
    pub const fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns how many events were let through.
    pub const fn events(&self) -> u64 {
        self.events
    }

    /// Says whether a part of an event waits for its rest.
    pub fn is_mid_event(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Forgets the part of an event that another upstream will send whole.
    pub fn restart(&mut self) {
        self.pending.clear();
    }

    /// Takes the next bytes.
    pub fn push(&mut self, data: &Bytes) -> Cut {
        // The usual frame is one whole event, which goes on as it is.
        if self.pending.is_empty() && end_of_event(data) == Some(data.len()) {
            return match self.judge(data) {
                Judgement::Pass => Cut::Events(data.clone()),
                Judgement::Skip => Cut::Events(Bytes::new()),
                Judgement::Gap => Cut::Broken,
            };
        }
        self.pending.extend_from_slice(data);
        let mut out = BytesMut::new();
        while let Some(end) = end_of_event(&self.pending) {
            let event = self.pending.split_to(end);
            match self.judge(&event) {
                Judgement::Pass => out.extend_from_slice(&event),
                Judgement::Skip => {}
                Judgement::Gap => return Cut::Broken,
            }
        }
        if self.pending.len() > MOST_PENDING {
            return Cut::Broken;
        }
        Cut::Events(out.freeze())
    }

    /// Compares an event's id with the last one.
    fn judge(&mut self, event: &[u8]) -> Judgement {
        let Some(id) = id_of(event) else {
            return Judgement::Pass;
        };
        match self.last {
            Some(last) if id <= last => return Judgement::Skip,
            Some(last) if id > last + 1 => return Judgement::Gap,
            _ => {}
        }
        self.last = Some(id);
        self.events += 1;
        Judgement::Pass
    }
}

enum Judgement {
    /// The event comes next, or has no id.
    Pass,
    /// The caller has the event.
    Skip,
    /// An event before it is missing.
    Gap,
}

/// Returns where the first event ends, its empty line included.
fn end_of_event(buf: &[u8]) -> Option<usize> {
    let mut at_line_start = false;
    for (position, byte) in buf.iter().enumerate() {
        match byte {
            b'\n' if at_line_start => return Some(position + 1),
            b'\n' => at_line_start = true,
            b'\r' => {}
            _ => at_line_start = false,
        }
    }
    None
}

/// Reads the id of an event.
fn id_of(event: &[u8]) -> Option<u64> {
    let line = event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
