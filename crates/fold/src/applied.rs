//! Effects of records of the stream `config`.

use std::fmt;

use serde::Serialize;
use wagtailreel_core::{EditId, Epoch, Offset, ServiceName};

use crate::edits::EditResult;
use crate::rules::Refusal;

/// Effect of a record.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "applied", rename_all = "kebab-case")]
pub enum Applied {
    /// An edit was accepted and is now the service's state.
    Accepted {
        /// Name of the service.
        service: ServiceName,
        /// Identifies the submission.
        edit_id: EditId,
        /// The new revision: the record's offset.
        revision: Offset,
        /// The epoch of the revision.
        epoch: Epoch,
    },
    /// An edit was refused; nothing changed.
    Refused {
        /// Name of the service.
        service: ServiceName,
        /// Identifies the submission.
        edit_id: EditId,
        /// The reason, and the accepted edit that is in its place.
        refusal: Refusal,
    },
    /// An edit was sent again; nothing changed.
    Repeated {
        /// Name of the service.
        service: ServiceName,
        /// Result of the first submission.
        first: EditResult,
    },
    /// The service's state came from a peer that had already applied this edit; nothing changed.
    Known {
        /// Name of the service.
        service: ServiceName,
        /// Offset of the record.
        offset: Offset,
    },
    /// The state was loaded from a snapshot; the records after the snapshot follow.
    SnapshotTaken {
        /// Offset of the last record that the snapshot contains.
        at: Offset,
    },
    /// A snapshot held nothing new.
    SnapshotIgnored {
        /// Offset of the last record that the snapshot contains.
        at: Offset,
        /// Services whose state in the snapshot differs from the state of this fold at `at`. Empty
        /// unless the log was rewritten or an entry has a bug.
        contradicts: Vec<ServiceName>,
    },
}

impl fmt::Display for Applied {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Accepted {
                service,
                edit_id,
                revision,
                epoch,
            } => write!(
                f,
                "accepted {edit_id}: {service} is at revision {revision}, epoch {epoch}"
            ),
            Self::Refused {
                service,
                edit_id,
                refusal,
            } => write!(f, "refused {edit_id} of {service}: {refusal}"),
            Self::Repeated { service, first } => write!(f, "sent again: {service}: {first}"),
            Self::Known { service, offset } => {
                write!(f, "record {offset} of {service} was in a peer's state")
            }
            Self::SnapshotTaken { at } => write!(f, "took the snapshot at {at}"),
            Self::SnapshotIgnored { at, contradicts } => {
                write!(f, "passed over the snapshot at {at}")?;
                if contradicts.is_empty() {
                    return Ok(());
                }
                write!(f, ", which contradicts {}", contradicts.join(", "))
            }
        }
    }
}
