//! The registry: a log of keyed records that the platform keeps.

use std::time::Duration;

use snafu::Snafu;
use wagtailreel_core::Offset;

use crate::{Directory, NamedWeights, Upstream, UpstreamId};

/// What a part of the registry is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
pub enum Topic {
    /// Configurations and the weights that are named.
    #[display("settings")]
    Settings,
    /// Upstreams, by their ids.
    #[display("upstreams")]
    Upstreams,
}

/// What one record says.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The configuration, in full.
    Config(Box<Directory>),
    /// Weights that are to be served.
    Weights(NamedWeights),
    /// An upstream tells of itself.
    Upstream(Box<Upstream>),
    /// An upstream is no longer registered.
    Gone(UpstreamId),
    /// The record can't be understood; the last good belief stays in force.
    Unreadable {
        /// Key of the record.
        key: String,
        /// What is wrong, and what to mend.
        reason: String,
    },
}

/// A change with its place in the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Keyed {
    /// Place of the record.
    pub offset: Offset,
    /// What it says.
    pub change: Change,
}

/// The newest record of each key.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// The records.
    pub items: Vec<Keyed>,
    /// Where the log ended when the snapshot was begun.
    pub end: Offset,
}

/// Some records in order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Page {
    /// The records.
    pub items: Vec<Keyed>,
    /// Place of the next record to be read.
    pub next: Offset,
}

/// The registry did not answer as wanted.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum RegistryError {
    /// The records were deleted; the newest of each key are kept.
    #[snafu(display("records before {first} were deleted: read the newest of each key"))]
    Expired {
        /// The oldest record that is left.
        first: Offset,
    },
    /// The registry refused the call.
    #[snafu(display("the registry refused with {status}: try again later"))]
    Refused {
        /// Status of the answer.
        status: u16,
    },
    /// No answer came.
    #[snafu(display("the registry can't be reached ({reason}): check its address and its links"))]
    Away {
        /// What happened.
        reason: String,
    },
    /// The answer can't be understood.
    #[snafu(display("the registry's answer can't be read ({reason}): check its version"))]
    Unreadable {
        /// What is wrong.
        reason: String,
    },
}

/// A log of keyed records whose answers are linearizable.
pub trait Registry: Clone + Send + Sync + 'static {
    /// Reads the newest record of each key of `topic`.
    ///
    /// # Errors
    ///
    /// Returns a [`RegistryError`] if no whole answer came within `timeout`.
    fn newest(
        &self,
        topic: Topic,
        timeout: Duration,
    ) -> impl Future<Output = Result<Snapshot, RegistryError>> + Send;

    /// Reads the records of `topic` from `from` on; waits up to `wait` for the first.
    ///
    /// # Errors
    ///
    /// Returns [`RegistryError::Expired`] if the records were deleted, and another
    /// [`RegistryError`] if no whole answer came within `wait` and `timeout` together.
    fn read(
        &self,
        topic: Topic,
        from: Offset,
        wait: Duration,
        timeout: Duration,
    ) -> impl Future<Output = Result<Page, RegistryError>> + Send;
}
