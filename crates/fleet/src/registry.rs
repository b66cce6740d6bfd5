//! The registry: a log of keyed records that the platform keeps.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use snafu::Snafu;
use wagtailreel_core::Offset;

use crate::{BootTime, Directory, NamedWeights, Upstream, UpstreamId};

/// What a part of the registry is about.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, derive_more::Display, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Topic {
    /// Configurations and the weights that are named.
    #[display("settings")]
    Settings,
    /// Upstreams, by their ids.
    #[display("upstreams")]
    Upstreams,
}

/// What one record says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
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
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Keyed {
    /// Place of the record.
    pub offset: Offset,
    /// What it says.
    pub change: Change,
}

/// The newest record of each key.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot {
    /// The records.
    pub items: Vec<Keyed>,
    /// Where the log ended when the snapshot was begun.
    pub end: Offset,
    /// The latest moment at which this is known to have been the registry's state.
    pub as_of: BootTime,
    /// Another process answered in place of the registry.
    pub is_relayed: bool,
}

/// Some records in order.
#[derive(Clone, Debug, PartialEq)]
pub struct Page {
    /// The records.
    pub items: Vec<Keyed>,
    /// Place of the next record to be read.
    pub next: Offset,
    /// Where the log ended; beyond `next` if the page has not all that there is.
    pub end: Offset,
    /// The latest moment at which this is known to have been the registry's state.
    pub as_of: BootTime,
    /// Another process answered in place of the registry.
    pub is_relayed: bool,
}

impl Page {
    /// Returns the moment of which an answer speaks, to a read that was sent at `sent`, allowed to
    /// wait for `wait`, and answered by `now`.
    pub fn answer_as_of(is_empty: bool, sent: BootTime, wait: Duration, now: BootTime) -> BootTime {
        // An empty answer was given at the end of the wait, any other perhaps at once.
        if is_empty {
            sent.plus(wait).min(now)
        } else {
            sent
        }
    }
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
    /// Another process is reading it for this one, and has not failed.
    #[snafu(display("a neighbour is still reading it: wait for it"))]
    Pending,
    /// The registry refused the call.
    #[snafu(display("the registry refused with {status}: try again later"))]
    Refused {
        /// Status of the answer.
        status: u16,
    },
    /// No answer came.
    #[snafu(display("the registry can't be reached ({reason}): check its address and its links"))]
    Unreachable {
        /// What happened.
        reason: String,
    },
    /// It was not called: it left a call unanswered lately, and neighbours know only old things.
    #[snafu(display(
        "the registry did not answer lately, and neighbours know only old things: wait for them"
    ))]
    NotCalled,
    /// The answer can't be understood.
    #[snafu(display("the registry's answer can't be read ({reason}): check its version"))]
    Unreadable {
        /// What is wrong.
        reason: String,
    },
}

impl RegistryError {
    /// Says whether the registry was called and did not answer as it should.
    pub const fn is_unanswered(&self) -> bool {
        matches!(self, Self::Refused { .. } | Self::Unreachable { .. })
    }
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
