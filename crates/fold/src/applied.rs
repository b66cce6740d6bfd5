//! What a record of the stream `config` did.

use std::fmt;

use serde::Serialize;
use wagtailreel_core::{EditId, Epoch, Offset, ServiceName};

use crate::edits::EditResult;
use crate::rules::Refusal;

/// What a record did.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "applied", rename_all = "kebab-case")]
pub enum Applied {
    /// An edit is the service's state now.
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
        /// Why, and what stands instead.
        refusal: Refusal,
    },
    /// An edit was sent again; nothing changed.
    Repeated {
        /// Name of the service.
        service: ServiceName,
        /// What became of it the first time.
        first: EditResult,
    },
    /// The service's state came from a peer that had seen this edit; nothing changed.
    Known {
        /// Name of the service.
        service: ServiceName,
        /// Offset of the record.
        offset: Offset,
    },
    /// A snapshot gave the state; the records after it follow.
    SnapshotTaken {
        /// Offset of the last record that it contains.
        at: Offset,
    },
    /// A snapshot told nothing new.
    SnapshotIgnored {
        /// Offset of the last record that it contains.
        at: Offset,
        /// Services for which it says something else than this fold had at `at`. There are none
        /// unless the log was written anew or an entry has a fault.
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
