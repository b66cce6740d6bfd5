//! Follows the bytes of an answer's head, so that one without an end is noticed.

use std::time::{Duration, Instant};

/// Maximum time for which a head may arrive. A head fits a few packets.
const MAX_ARRIVAL: Duration = Duration::from_secs(1);

/// Longest part of a gap between two reads that counts as arrival. A sound upstream may be silent for a second or
/// two within a head, and a lost packet is sent again within a second.
const MAX_COUNTED_GAP: Duration = Duration::from_millis(300);

/// Maximum bytes of the head of an answer, together with the interim answers before it. Heads hold some hundred
/// bytes.
pub const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Start of a head up to the first digit of its status, as in `HTTP/1.1 2`.
const START_BYTES: usize = 10;

/// First digit of the status of an interim answer, which another head follows.
const INTERIM: u8 = b'1';

/// The head of an answer is longer than [`MAX_HEAD_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeadTooLong;

/// How far the head of an answer has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadProgress {
    /// No byte has arrived since the request or the last interim answer.
    Awaited,
    /// A part has arrived.
    Partial,
    /// The head of the final answer is complete.
    Complete,
}

/// Follows the bytes of one answer up to the end of its head.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeadScan {
    /// Bytes of all heads so far.
    bytes: usize,
    start: [u8; START_BYTES],
    start_len: usize,
    at_line_start: bool,
    is_partial: bool,
    is_complete: bool,
}

impl HeadScan {
    /// Adds the next bytes of the answer. Those after the head are ignored.
    ///
    /// # Errors
    ///
    /// Returns [`HeadTooLong`] if the head did not end within [`MAX_HEAD_BYTES`].
    pub fn push(&mut self, data: &[u8]) -> Result<HeadProgress, HeadTooLong> {
        for byte in data {
            if self.is_complete {
                break;
            }
            self.bytes += 1;
            if self.bytes > MAX_HEAD_BYTES {
                return Err(HeadTooLong);
            }
            self.push_byte(*byte);
        }
        Ok(if self.is_complete {
            HeadProgress::Complete
        } else if self.is_partial {
            HeadProgress::Partial
        } else {
            HeadProgress::Awaited
        })
    }

    const fn push_byte(&mut self, byte: u8) {
        self.is_partial = true;
        // Empty lines before a head are not part of it.
        let is_line_end = byte == b'\r' || byte == b'\n';
        if self.start_len == 0 && is_line_end {
            return;
        }
        if self.start_len < START_BYTES {
            self.start[self.start_len] = byte;
            self.start_len += 1;
        }
        match byte {
            b'\n' if self.at_line_start => self.end_head(),
            b'\n' => self.at_line_start = true,
            b'\r' => {}
            _ => self.at_line_start = false,
        }
    }

    const fn end_head(&mut self) {
        self.is_complete = self.start[START_BYTES - 1] != INTERIM;
        self.is_partial = false;
        self.start_len = 0;
        self.at_line_start = false;
    }
}

/// Measures for how long the head of an answer arrives, without the time for which its upstream is silent.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeadPace {
    last_read: Option<Instant>,
    arrival: Duration,
}

impl HeadPace {
    /// Records a read at `now`, after which the head `is_partial`. Returns whether it arrives for too long.
    pub fn on_read(&mut self, is_partial: bool, now: Instant) -> bool {
        if !is_partial {
            *self = Self::default();
            return false;
        }
        if let Some(last) = self.last_read.replace(now) {
            self.arrival += now.saturating_duration_since(last).min(MAX_COUNTED_GAP);
        }
        self.arrival >= MAX_ARRIVAL
    }
}
