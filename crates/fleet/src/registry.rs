//! Interface of the registry, a log of keyed records that the platform stores.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use snafu::Snafu;
use wagtailreel_core::{DataCentre, Offset};

use crate::{BootTime, Directory, Era, NamedWeights, Position, Upstream, UpstreamId};

/// A part of the registry.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, derive_more::Display, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Topic {
    /// Configurations, namings of weights and evacuations.
    #[display("settings")]
    Settings,
    /// Upstreams by id.
    #[display("upstreams")]
    Upstreams,
}

/// Content of a record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// The complete configuration.
    Config(Box<Directory>),
    /// A naming: weights that are to be served.
    Weights(NamedWeights),
    /// The registration of an upstream.
    Upstream(Box<Upstream>),
    /// The upstream is no longer registered.
    Gone(UpstreamId),
    /// Whether nothing more may be sent to the upstreams of a data centre.
    Evacuation {
        /// The data centre.
        data_centre: DataCentre,
        /// False once the evacuation is withdrawn.
        is_evacuated: bool,
    },
    /// The evacuation record of a data centre can't be parsed; whether it is evacuated stays as it was.
    UnreadableEvacuation {
        /// The data centre.
        data_centre: DataCentre,
        /// What is wrong, and how to fix it.
        reason: String,
    },
    /// The record can't be parsed; the last valid record of its key stays in force.
    Unreadable {
        /// Key of the record.
        key: String,
        /// What is wrong, and how to fix it.
        reason: String,
    },
}

/// A change with its position in the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Keyed {
    /// Position of the record.
    #[serde(flatten)]
    pub position: Position,
    /// Content of the record.
    pub change: Change,
}

/// The newest record of each key.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot {
    /// The records.
    pub items: Vec<Keyed>,
    /// End of the log when the snapshot was started.
    pub end: Position,
    /// The latest time at which this is known to have been the registry's state.
    pub as_of: BootTime,
    /// Whether a neighbour answered in place of the registry.
    pub is_relayed: bool,
}

/// Consecutive records of the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Page {
    /// The records.
    pub items: Vec<Keyed>,
    /// Position of the next record to read.
    pub next: Position,
    /// End of the log; beyond `next` if more records follow the page.
    pub end: Position,
    /// The latest time at which this is known to have been the registry's state.
    pub as_of: BootTime,
    /// Whether a neighbour answered in place of the registry.
    pub is_relayed: bool,
}

impl Page {
    /// Returns the time as of which an answer is known to hold. The read was sent at `sent`, allowed a wait
    /// of `wait`, and was answered by `now`.
    pub fn answer_as_of(is_empty: bool, sent: BootTime, wait: Duration, now: BootTime) -> BootTime {
        // An empty answer is made at the end of the wait, any other possibly at once.
        if is_empty {
            sent.plus(wait).min(now)
        } else {
            sent
        }
    }
}

/// Error of a call to the registry.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum RegistryError {
    /// The records were deleted; the registry keeps only the newest of each key.
    #[snafu(display("records before {first} were deleted: read the newest of each key"))]
    Expired {
        /// Offset of the oldest record that is left.
        first: Offset,
    },
    /// The registry came back from an older copy of its log, so that offsets of earlier eras say nothing.
    #[snafu(display("the registry was restored (era {era}): read the newest of each key"))]
    Restored {
        /// The registry's era.
        era: Era,
    },
    /// The answer is from before a restoration that is known.
    #[snafu(display(
        "the answer is of era {era}, before the known era {known}: check proxies between here and the registry"
    ))]
    Stale {
        /// Era of the answer.
        era: Era,
        /// The newest era that is known.
        known: Era,
    },
    /// A neighbour is reading the topic for this process, and has not failed.
    #[snafu(display("a neighbour is still reading the topic: wait for its answer"))]
    Pending,
    /// The registry refused the call.
    #[snafu(display("the registry refused with {status}: try again later"))]
    Refused {
        /// HTTP status of the answer.
        status: u16,
    },
    /// No answer came.
    #[snafu(display("the registry can't be reached ({reason}): check its address and its links"))]
    Unreachable {
        /// What happened.
        reason: String,
    },
    /// The registry was not called: it did not answer a recent call, and neighbours have only old records.
    #[snafu(display(
        "the registry did not answer a recent call, and neighbours have only old records: wait for them"
    ))]
    NotCalled,
    /// The answer can't be parsed.
    #[snafu(display("the registry's answer can't be read ({reason}): check its version"))]
    Unreadable {
        /// What is wrong.
        reason: String,
    },
}

impl RegistryError {
    /// Returns whether the registry was called and gave no valid answer.
    pub const fn is_unanswered(&self) -> bool {
        matches!(
            self,
            Self::Refused { .. } | Self::Unreachable { .. } | Self::Stale { .. }
        )
    }

    /// Returns whether the registry answered that the newest record of each key has to be read.
    pub const fn needs_snapshot(&self) -> bool {
        matches!(self, Self::Expired { .. } | Self::Restored { .. })
    }
}

/// A log of keyed records whose answers are linearizable.
pub trait Registry: Clone + Send + Sync + 'static {
    /// Reads the newest record of each key of `topic`.
    ///
    /// # Errors
    ///
    /// Returns a [`RegistryError`] if no complete answer came within `timeout`.
    fn newest(
        &self,
        topic: Topic,
        timeout: Duration,
    ) -> impl Future<Output = Result<Snapshot, RegistryError>> + Send;

    /// Reads the records of `topic` from position `from` on; waits up to `wait` for the first.
    ///
    /// # Errors
    ///
    /// Returns [`RegistryError::Expired`] if the records were deleted, [`RegistryError::Restored`] if the registry
    /// is in a later era, and another [`RegistryError`] if no complete answer came within `wait` and `timeout`
    /// together.
    fn read(
        &self,
        topic: Topic,
        from: Position,
        wait: Duration,
        timeout: Duration,
    ) -> impl Future<Output = Result<Page, RegistryError>> + Send;

    /// Tells the client of an era that was learned elsewhere. An answer of the registry that names no era counts as of
    /// the newest that the client knows; without this, such an answer would count as stale at a process that has read
    /// none with an era.
    fn note_era(&self, era: Era) {
        let _ = era;
    }
}
