//! Search for a snapshot after the log has dropped records that the fold needs.

use std::collections::VecDeque;
use std::time::SystemTime;

use wagtailreel_core::{ConfigRecord, Digest, Offset};

/// Maximum number of records that are buffered until a snapshot is found.
const MAX_BUFFERED_RECORDS: usize = 4096;

/// Maximum total length of the buffered records, in bytes.
const MAX_BUFFERED_BYTES: usize = 32 << 20;

/// A decoded record that is not applied yet.
#[derive(Clone, Debug)]
pub(crate) struct Incoming {
    pub(crate) offset: Offset,
    pub(crate) at: SystemTime,
    pub(crate) record: ConfigRecord,
    pub(crate) digest: Digest,
    /// Length of the record's JSON in bytes.
    pub(crate) length: usize,
}

/// Buffer of the records read from `first` on, none of them applied.
#[derive(Clone, Debug)]
pub(crate) struct SnapshotSearch {
    first: Offset,
    next: Offset,
    buffered: VecDeque<Incoming>,
    bytes: usize,
}

impl SnapshotSearch {
    pub(crate) fn new(first: Offset) -> Self {
        Self {
            first,
            next: first,
            buffered: VecDeque::new(),
            bytes: 0,
        }
    }

    /// Returns the offset to read next.
    pub(crate) fn next(&self) -> Offset {
        self.next
    }

    /// Returns whether no record is missing between a state as of `at` and the buffered records.
    pub(crate) fn connects_to(&self, at: Offset) -> bool {
        at + 1 >= self.first
    }

    /// Buffers the next record.
    ///
    /// Beyond the limits the oldest records are dropped, so that a later snapshot is needed. One
    /// always follows, because a snapshot holds the state as of shortly before itself.
    pub(crate) fn buffer(&mut self, incoming: Incoming) {
        self.next = incoming.offset + 1;
        self.bytes += incoming.length;
        self.buffered.push_back(incoming);
        while self.buffered.len() > MAX_BUFFERED_RECORDS || self.bytes > MAX_BUFFERED_BYTES {
            let Some(dropped) = self.buffered.pop_front() else {
                break;
            };
            self.bytes -= dropped.length;
            self.first = dropped.offset + 1;
        }
    }

    /// Returns the buffered records, oldest first.
    pub(crate) fn into_records(self) -> VecDeque<Incoming> {
        self.buffered
    }
}
