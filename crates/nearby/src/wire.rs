//! What a neighbour answers, as JSON.

use serde::{Deserialize, Serialize};
use wagtailreel_core::Offset;
use wagtailreel_fleet::Keyed;

/// Name of the header that says that a read which will make the records younger is under way.
pub(crate) const READING_HEADER: &str = "wagtailreel-reading";

/// Records that a neighbour knows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct KnownRecords {
    /// The records, the newest of each key, in the order of the log.
    pub(crate) items: Vec<Keyed>,
    /// Place of the next record to be read.
    pub(crate) next: Offset,
}
