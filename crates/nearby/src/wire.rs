//! What a neighbour answers, as JSON.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMicroSeconds, serde_as};
use wagtailreel_core::Offset;
use wagtailreel_fleet::Keyed;

/// Records that a neighbour knows.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct KnownRecords {
    /// The records, the newest of each key, in the order of the log.
    pub(crate) items: Vec<Keyed>,
    /// Place of the next record to be read.
    pub(crate) next: Offset,
    /// How old the neighbour's knowledge was when it answered.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub(crate) age: Duration,
}
