//! Splits the bytes of a server-sent event stream into complete events.

use bytes::{Bytes, BytesMut};

/// Maximum bytes that are buffered for one incomplete event. Events hold some hundred bytes; the bound
/// keeps a stream without event ends from filling the memory.
const MAX_PENDING: usize = 64 * 1024;

/// Highest id of the first event of a stream. Upstreams number events from 0 or 1.
const MAX_FIRST_ID: u64 = 1;

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
/// The part of one upstream is a run. It goes on after the last event that was passed on, or starts anew with the
/// first event of the stream, and its ids increase by one.
///
/// Invariant: the output consists of complete events, each once and without a gap in the ids, wherever an
/// upstream breaks off. It contains each event up to [`last`](Self::last).
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    /// Bytes of `pending` in which no event ends.
    scanned: usize,
    last: Option<u64>,
    /// Id of the last event of the current run.
    run_last: Option<u64>,
    /// The current run broke the order of its events.
    is_broken: bool,
    /// An event without an id was passed on after the one with the id `last`.
    ends_without_id: bool,
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

    /// Returns whether the current run broke the order of its events. The events that [`push`](Self::push) returned
    /// before are sound.
    pub const fn is_broken(&self) -> bool {
        self.is_broken
    }

    /// Returns whether the current run may end here. One that started anew and ends before the last event that was
    /// passed on is incomplete.
    pub fn is_complete(&self) -> bool {
        !self.is_mid_event() && (self.run_last.is_none() || self.run_last >= self.last)
    }

    /// Returns whether another upstream may go on after [`last`](Self::last). It would repeat the events without an
    /// id that were passed on after it.
    pub const fn is_resumable(&self) -> bool {
        !self.ends_without_id
    }

    /// Begins the run of another upstream, and discards the incomplete event, which it sends from its start.
    pub fn restart(&mut self) {
        self.pending.clear();
        self.scanned = 0;
        self.run_last = None;
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
                Order::Broken => self.broken_after(BytesMut::new()),
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
                Order::Broken => return self.broken_after(out),
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

    /// Compares the id of an event with those before it, and advances the last id if the event comes next.
    fn check_order(&mut self, event: &[u8]) -> Order {
        let id = match id_of(event) {
            EventId::Number(id) => id,
            EventId::Unreadable => return Order::Broken,
            EventId::None if self.is_repeating() => return Order::Skip,
            EventId::None => {
                self.ends_without_id |= has_data(event);
                return Order::Pass;
            }
        };
        let is_next = match self.run_last {
            Some(before) => follows(id, before),
            None => id <= MAX_FIRST_ID || self.last.is_some_and(|last| follows(id, last)),
        };
        if !is_next {
            return Order::Broken;
        }
        self.run_last = Some(id);
        if self.last.is_some_and(|last| id <= last) {
            return Order::Skip;
        }
        self.last = Some(id);
        self.ends_without_id = false;
        self.events += 1;
        Order::Pass
    }

    /// Returns whether the current run repeats events that were passed on.
    fn is_repeating(&self) -> bool {
        self.run_last.is_some() && self.run_last < self.last
    }
}

fn follows(id: u64, before: u64) -> bool {
    before.checked_add(1) == Some(id)
}

enum Order {
    /// The event is the next one, or has no id.
    Pass,
    /// The caller already has the event.
    Skip,
    /// The event is not the next one of its run, or its id can't be read.
    Broken,
}

/// The id of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EventId {
    Number(u64),
    /// The id is no number, or there are several that differ.
    Unreadable,
    None,
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

/// Returns the id of an event.
fn id_of(event: &[u8]) -> EventId {
    let mut ids = values_of(event, b"id").map(number);
    let Some(first) = ids.next() else {
        return EventId::None;
    };
    match first {
        Some(id) if ids.all(|other| other == first) => EventId::Number(id),
        _ => EventId::Unreadable,
    }
}

fn number(value: &[u8]) -> Option<u64> {
    let digits = value.trim_ascii();
    // The parser accepts a sign.
    if !digits.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(digits).ok()?.parse().ok()
}

/// Returns whether an event is more than comments and settings of the stream.
fn has_data(event: &[u8]) -> bool {
    values_of(event, b"data").next().is_some()
}

/// Returns the values of an event's field `name`. A line without a colon has an empty value.
fn values_of<'a>(event: &'a [u8], name: &'a [u8]) -> impl Iterator<Item = &'a [u8]> {
    let lines = event.split(|byte| *byte == b'\n');
    lines.filter_map(
        move |line| match line.strip_prefix(name)?.trim_ascii_end() {
            [] => Some(&[][..]),
            [b':', value @ ..] => Some(value),
            _ => None,
        },
    )
}
