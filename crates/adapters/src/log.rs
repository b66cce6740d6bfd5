//! The platform's append-only log.

use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};
use serde_with::{TimestampMilliSeconds, serde_as};
use wagtailreel_core::Offset;

use crate::PlatformError;

/// One record of a stream.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Position in the stream.
    pub offset: Offset,
    /// When the log took it, by the log's clock.
    #[serde_as(as = "TimestampMilliSeconds<i64>")]
    #[serde(rename = "at_ms")]
    pub at: SystemTime,
    /// The record itself.
    pub data: serde_json::Value,
}

/// Some records of a stream, and how far the stream goes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogPage {
    /// Oldest offset kept.
    pub first: Offset,
    /// Offset that the next append gets.
    pub next: Offset,
    /// The records in order, without gaps.
    pub records: Vec<LogRecord>,
}

/// The platform's append-only log: streams of records with offsets that start at 1.
pub trait LogService: Clone + Send + Sync + 'static {
    /// Appends `record` (JSON) to `stream` and returns its offset.
    ///
    /// # Errors
    ///
    /// Returns a [`PlatformError`]; the record may stand in the log all the same unless
    /// [`PlatformError::took_effect`] says no.
    fn append(
        &self,
        stream: &str,
        record: Vec<u8>,
    ) -> impl Future<Output = Result<Offset, PlatformError>> + Send;

    /// Reads at most `limit` records of `stream` at and after `from`; waits up to `wait` for the
    /// first.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Gone`] if `from` is older than what the log keeps, or what else
    /// went wrong.
    fn read(
        &self,
        stream: &str,
        from: Offset,
        limit: usize,
        wait: Duration,
    ) -> impl Future<Output = Result<LogPage, PlatformError>> + Send;
}
