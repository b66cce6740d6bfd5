//! Splits the bytes of a server-sent event stream into complete events.

use bytes::{Bytes, BytesMut};

/// Maximum bytes that are buffered for one incomplete event. Events hold some hundred bytes; the bound
/// keeps a stream without event ends from filling the memory.
const MAX_PENDING: usize = 64 * 1024;

/// Result of one frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Split {
    /// Complete events for the caller; empty if the frame completed none.
    Events(Bytes),
    /// An event is missing, or the bytes are not an event stream.
    Broken,
}

/// Splits the event stream of one answer, across all upstreams that send a part of the answer.
///
/// Invariant: the output consists of complete events, each once and without a gap in the ids, wherever an
/// upstream breaks off. It contains each event up to [`last`](Self::last).
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    /// Bytes of `pending` in which no event ends.
    scanned: usize,
    last: Option<u64>,
    /// The current upstream broke the order of its events.
    is_broken: bool,
    events: u64,
}

impl EventSplitter {
    /// Creates a splitter for a caller that has the events up to the id `last`.
    pub fn new(last: Option<u64>) -> Self {
        Self {
            last,
            ..Self::default()
        }
    }

    /// Returns the id of the last complete event.
    pub const fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns the number of events with an id that were passed on.
    pub const fn events(&self) -> u64 {
        self.events
    }

    /// Returns whether an incomplete event is buffered.
    pub fn is_mid_event(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns whether the current upstream broke the order of its events. The events that [`push`](Self::push)
    /// returned before are sound.
    pub const fn is_broken(&self) -> bool {
        self.is_broken
    }

    /// Begins the part of another upstream, and discards the incomplete event, which it sends from its start.
    pub fn restart(&mut self) {
        self.pending.clear();
        self.scanned = 0;
        self.is_broken = false;
    }

    /// Adds the next bytes, and returns the events that they complete, up to the first one out of order.
    pub fn push(&mut self, data: &Bytes) -> Split {
        if self.is_broken {
            return Split::Broken;
        }
        // The usual frame is one complete event, which is passed on without a copy.
        if self.pending.is_empty() && end_of_event(data) == Some(data.len()) {
            return match self.check_order(data) {
                Order::Pass => Split::Events(data.clone()),
                Order::Skip => Split::Events(Bytes::new()),
                Order::Gap => self.broken_after(BytesMut::new()),
            };
        }
        self.pending.extend_from_slice(data);
        let mut out = BytesMut::new();
        // Without the start, an event that arrives byte by byte takes time that grows by the square of its size.
        while let Some(end) = end_of_event(&self.pending[self.scanned..]) {
            let event = self.pending.split_to(self.scanned + end);
            self.scanned = 0;
            match self.check_order(&event) {
                Order::Pass => out.extend_from_slice(&event),
                Order::Skip => {}
                Order::Gap => return self.broken_after(out),
            }
        }
        self.scanned = last_line_start(&self.pending);
        if self.pending.len() > MAX_PENDING {
            return self.broken_after(out);
        }
        Split::Events(out.freeze())
    }

    /// Records that the events are out of order. Those in `out` came before and are still passed on, since `last`
    /// counts them.
    fn broken_after(&mut self, out: BytesMut) -> Split {
        self.is_broken = true;
        if out.is_empty() {
            Split::Broken
        } else {
            Split::Events(out.freeze())
        }
    }

    /// Compares the id of an event with the last id, and advances the last id if the event comes next.
    fn check_order(&mut self, event: &[u8]) -> Order {
        let Some(id) = id_of(event) else {
            return Order::Pass;
        };
        match self.last {
            Some(last) if id <= last => return Order::Skip,
            Some(last) if id > last + 1 => return Order::Gap,
            _ => {}
        }
        self.last = Some(id);
        self.events += 1;
        Order::Pass
    }
}

enum Order {
    /// The event is the next one, or has no id.
    Pass,
    /// The caller already has the event.
    Skip,
    /// An event before it is missing.
    Gap,
}

/// Returns the length of the first event, including the empty line at its end.
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

/// Returns the start of the last line of an incomplete event, which may turn out to be the empty line at its
/// end. It is the line end before, since a line that is empty from its start is none for `end_of_event`.
fn last_line_start(buf: &[u8]) -> usize {
    buf.iter()
        .rposition(|byte| *byte == b'\n')
        .unwrap_or(buf.len())
}

/// Returns the id of an event, if it has one.
fn id_of(event: &[u8]) -> Option<u64> {
    let line = event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
