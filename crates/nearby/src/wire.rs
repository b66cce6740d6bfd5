//! Format of a neighbour's answer.

use serde::{Deserialize, Serialize};
use wagtailreel_core::Offset;
use wagtailreel_fleet::Keyed;

/// Header of an answer while a read that is expected to bring newer records is in progress.
pub(crate) const READING_HEADER: &str = "wagtailreel-reading";

/// Records from a neighbour's mirror, as JSON.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct KnownRecords {
    /// The records, the newest of each key, in the order of the log.
    pub(crate) items: Vec<Keyed>,
    /// Offset of the next record to read.
    pub(crate) next: Offset,
}
