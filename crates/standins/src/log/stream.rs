//! One stream of the stand-in for the log.

use std::collections::VecDeque;
use std::io::Write as _;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use wagtailreel_core::Offset;

/// Most bytes of records in a page; a first record that is longer comes alone.
const MAX_PAGE: usize = 8 * 1024 * 1024;

/// Bytes of a page round each record's own.
const RECORD_FRAME: usize = 64;

/// One record as it was appended.
#[derive(Debug)]
struct Stored {
    at: SystemTime,
    data: Bytes,
}

/// Records with offsets that start at 1 and have no gap.
#[derive(Debug)]
pub(super) struct LogStream {
    first: Offset,
    records: VecDeque<Stored>,
}

/// What a read found.
#[derive(Debug)]
pub(super) enum Page {
    /// Records, as the JSON of the answer.
    Records(Vec<u8>),
    /// None at or after the offset.
    Empty(Vec<u8>),
    /// The offset is older than what is kept.
    Gone { first: Offset, next: Offset },
}

impl Default for LogStream {
    fn default() -> Self {
        Self {
            first: 1,
            records: VecDeque::new(),
        }
    }
}

impl LogStream {
    pub(super) fn first(&self) -> Offset {
        self.first
    }

    pub(super) fn next(&self) -> Offset {
        self.first + self.records.len() as Offset
    }

    pub(super) fn append(&mut self, data: Bytes) -> Offset {
        let offset = self.next();
        let at = SystemTime::now();
        self.records.push_back(Stored { at, data });
        offset
    }

    /// Drops records at and after `next`.
    pub(super) fn truncate(&mut self, next: Offset) {
        let kept = next.saturating_sub(self.first);
        self.records
            .truncate(usize::try_from(kept).unwrap_or(usize::MAX));
        self.first = self.first.min(next.max(1));
    }

    /// Drops records before `first`.
    pub(super) fn drop_before(&mut self, first: Offset) {
        while self.first < first && self.records.pop_front().is_some() {
            self.first += 1;
        }
    }

    /// Drops records beyond the last `count` and those older than `age`.
    pub(super) fn retain(&mut self, count: Option<usize>, age: Option<Duration>) {
        if let Some(count) = count {
            let excess = self.records.len().saturating_sub(count);
            self.drop_before(self.first + excess as Offset);
        }
        let Some(oldest) = age.and_then(|age| SystemTime::now().checked_sub(age)) else {
            return;
        };
        let lapsed = self.records.iter().take_while(|record| record.at < oldest);
        let lapsed = lapsed.count() as Offset;
        self.drop_before(self.first + lapsed);
    }

    /// Returns the records with their offsets.
    pub(super) fn iter(&self) -> impl Iterator<Item = (Offset, &Bytes)> {
        let offsets = self.first..;
        offsets.zip(self.records.iter().map(|record| &record.data))
    }

    /// Reads at most `limit` records from `from` on.
    pub(super) fn page(&self, from: Offset, limit: usize) -> Page {
        if from < self.first {
            let (first, next) = (self.first, self.next());
            return Page::Gone { first, next };
        }
        let skip = usize::try_from(from - self.first).unwrap_or(usize::MAX);
        let mut bytes = 0;
        let fits = |record: &&Stored| {
            let is_first = bytes == 0;
            bytes += record.data.len();
            is_first || bytes <= MAX_PAGE
        };
        let records = self.records.iter().skip(skip).take(limit);
        let found: Vec<&Stored> = records.take_while(fits).collect();
        let json = self.write_page(from, &found);
        if found.is_empty() {
            return Page::Empty(json);
        }
        Page::Records(json)
    }

    /// Writes the answer; the records are JSON already and aren't read again.
    fn write_page(&self, from: Offset, found: &[&Stored]) -> Vec<u8> {
        let data: usize = found.iter().map(|record| record.data.len()).sum();
        let mut buf = Vec::with_capacity(data + RECORD_FRAME * (found.len() + 1));
        let (first, next) = (self.first, self.next());
        // Writing to a Vec does not fail.
        let _ = write!(buf, r#"{{"first":{first},"next":{next},"records":["#);
        for (offset, record) in (from..).zip(found) {
            let comma = if offset == from { "" } else { "," };
            let at = millis(record.at);
            let _ = write!(buf, r#"{comma}{{"offset":{offset},"at_ms":{at},"data":"#);
            buf.extend_from_slice(&record.data);
            buf.push(b'}');
        }
        buf.extend_from_slice(b"]}");
        buf
    }
}

/// Returns the milliseconds since 1970.
fn millis(at: SystemTime) -> u128 {
    at.duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis()
}
