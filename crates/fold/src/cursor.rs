//! Position of a fold in its stream, and whether the fold has stopped.

use serde_json::Value;
use wagtailreel_core::{Digest, Offset};

use crate::stop::{FoldStop, GapSnafu, RewrittenSnafu, ShorterSnafu};

/// The last record read, and why the fold has stopped, if it has.
#[derive(Clone, Debug, Default)]
pub(crate) struct Cursor {
    last: Option<(Offset, Digest)>,
    stop: Option<FoldStop>,
}

impl Cursor {
    /// Returns an error if the fold has stopped.
    pub(crate) fn check_running(&self) -> Result<(), FoldStop> {
        self.stop.clone().map_or(Ok(()), Err)
    }

    /// Returns why the fold has stopped.
    pub(crate) fn stop(&self) -> Option<&FoldStop> {
        self.stop.as_ref()
    }

    /// Records the stop if `result` is one, so that the fold stays stopped.
    pub(crate) fn record_stop<T>(&mut self, result: Result<T, FoldStop>) -> Result<T, FoldStop> {
        if let Err(stop) = &result {
            self.stop = Some(stop.clone());
        }
        result
    }

    /// Checks that the log, whose next append gets the offset `next`, contains the record at `applied`.
    pub(crate) fn check_head(&mut self, applied: Offset, next: Offset) -> Result<(), FoldStop> {
        self.check_running()?;
        let checked = if next <= applied {
            ShorterSnafu { applied, next }.fail()
        } else {
            Ok(())
        };
        self.record_stop(checked)
    }

    /// Returns whether the record at `offset` is the one expected next; `false` if it was read before.
    pub(crate) fn check_offset(
        &self,
        expected: Offset,
        offset: Offset,
        data: &Value,
    ) -> Result<bool, FoldStop> {
        if offset > expected {
            let got = offset;
            return GapSnafu { expected, got }.fail();
        }
        let last = self.last.filter(|(last, _)| *last == offset);
        if last.is_some_and(|(_, digest)| digest != record_digest(data)) {
            return RewrittenSnafu { offset }.fail();
        }
        Ok(offset == expected)
    }

    /// Records the record that was read last.
    pub(crate) fn advance(&mut self, offset: Offset, digest: Digest) {
        self.last = Some((offset, digest));
    }

    /// Returns the offset to read first after an outage, if `expected` comes next: the last record
    /// again if there is one, so that a rewritten log is detected.
    pub(crate) fn resume_from(&self, expected: Offset) -> Offset {
        let last = self.last.map(|(offset, _)| offset);
        last.filter(|offset| offset + 1 == expected)
            .unwrap_or(expected)
    }
}

/// Returns the digest of a record's JSON.
pub(crate) fn record_digest(data: &Value) -> Digest {
    Digest::of(data.to_string().as_bytes())
}
