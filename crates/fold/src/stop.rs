//! Reasons why a fold has stopped.

use serde::Serialize;
use snafu::Snafu;
use wagtailreel_core::Offset;

/// Why a fold applies no more records.
///
/// A stopped fold stays stopped and keeps serving its last state, because later records may not
/// belong on top of that state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Snafu)]
#[serde(tag = "stop", rename_all = "kebab-case")]
#[snafu(visibility(pub(crate)))]
pub enum FoldStop {
    /// Records are missing.
    #[snafu(display(
        "record {got} came where {expected} was expected: the log has a gap; restore the missing \
         records, or replace this VM once the log is whole"
    ))]
    Gap {
        /// Offset of the next record.
        expected: Offset,
        /// Offset of the record that arrived.
        got: Offset,
    },
    /// The log ends before the last record applied.
    #[snafu(display(
        "the log ends before record {next} but {applied} was applied: it came back shorter; \
         restore the lost records, or publish the documents again and replace this VM"
    ))]
    Shorter {
        /// Offset of the last record applied.
        applied: Offset,
        /// Offset that the next append gets.
        next: Offset,
    },
    /// A record that was applied now has other content.
    #[snafu(display(
        "record {offset} is not the one that was applied: the log was written anew; restore it, \
         or publish the documents again and replace this VM"
    ))]
    Rewritten {
        /// Offset of the record.
        offset: Offset,
    },
    /// A record can't be read.
    #[snafu(display(
        "record {offset} can't be read ({why}): replace this VM by one with newer software"
    ))]
    UnknownFormat {
        /// Offset of the record.
        offset: Offset,
        /// Error of the decoder.
        why: String,
    },
}
