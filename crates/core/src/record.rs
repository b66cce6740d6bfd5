//! Records that the system appends to the platform's log, as JSON.

use std::time::SystemTime;

use serde::{Deserialize, Serialize};
use serde_with::{TimestampMilliSeconds, serde_as};

use crate::{
    Document, EditId, Incarnation, Offset, OrderKey, RequestId, ServiceName, TeamName, VmId,
};

/// Format number that every record carries. A higher one stops the fold.
pub const RECORD_FORMAT: u32 = 1;

/// A record of the stream `config`.
///
/// Reading is strict, so that no fold passes over a field that another one heeds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "kebab-case", deny_unknown_fields)]
pub enum ConfigRecord {
    /// An edit of one service's document.
    Edit {
        /// Identifies the submission.
        edit_id: EditId,
        /// Team that submitted it.
        team: TeamName,
        /// The service's revision that the operator edited; 0 for a new service.
        base: Offset,
        /// The new document; none deletes the service. The field itself is never left out: a
        /// record that lost it must not read as a deletion.
        #[serde(deserialize_with = "Option::deserialize")]
        document: Option<Box<Document>>,
        /// Name of the service.
        service: ServiceName,
    },
    /// The whole state as of an offset, so that older records may lapse.
    Snapshot {
        /// Offset of the last record that the state contains.
        at: Offset,
        /// The state, in the fold's own JSON form.
        state: serde_json::Value,
    },
}

/// One claim on the key of an order that runs at most once.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimRecord {
    /// Service that the order is for.
    pub service: ServiceName,
    /// Key of the order.
    pub key: OrderKey,
    /// The one request that may run the order if this claim is the first.
    pub request: RequestId,
    /// When the claim was made, by the holder's clock.
    #[serde_as(as = "TimestampMilliSeconds<i64>")]
    pub at: SystemTime,
}

/// A record of the stream `orders`. One append carries many claims.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "kebab-case", deny_unknown_fields)]
pub enum OrderRecord {
    /// Claims made together by one entry.
    Claims {
        /// Entry that made the claims.
        holder: VmId,
        /// Start of the entry that made them.
        incarnation: Incarnation,
        /// The claims; within a record the first on a key wins.
        claims: Vec<ClaimRecord>,
    },
    /// The holder says that it never dispatched these claims and never will.
    Releases {
        /// Entry that made the claims.
        holder: VmId,
        /// Start of the entry that made them.
        incarnation: Incarnation,
        /// Requests of the released claims.
        requests: Vec<RequestId>,
    },
}
