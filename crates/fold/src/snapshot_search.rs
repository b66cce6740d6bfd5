//! The search for a snapshot when the oldest records have lapsed.

use std::collections::VecDeque;
use std::time::SystemTime;

use wagtailreel_core::{ConfigRecord, Digest, Offset};

/// Most records that are held until a snapshot comes.
const MAX_BUFFERED_RECORDS: usize = 4096;

/// Most bytes of records that are held until a snapshot comes.
const MAX_BUFFERED_BYTES: usize = 32 << 20;

/// A record on its way into the fold.
#[derive(Clone, Debug)]
pub(crate) struct Incoming {
    pub(crate) offset: Offset,
    pub(crate) at: SystemTime,
    pub(crate) record: ConfigRecord,
    pub(crate) digest: Digest,
    /// Length of the record's JSON in bytes.
    pub(crate) length: usize,
}

/// The records read since `first`, none of them applied.
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

    /// Returns the offset that is read next.
    pub(crate) fn next(&self) -> Offset {
        self.next
    }

    /// Says whether a state as of `at` and the records held have nothing missing in between.
    pub(crate) fn connects_to(&self, at: Offset) -> bool {
        at + 1 >= self.first
    }

    /// Holds the next record.
    ///
    /// Over the bounds the oldest records go, and a later snapshot is needed. One always comes,
    /// because a snapshot says the state as of shortly before itself.
    pub(crate) fn push(&mut self, incoming: Incoming) {
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

    /// Returns the records held, oldest first.
    pub(crate) fn into_records(self) -> VecDeque<Incoming> {
        self.buffered
    }
}
