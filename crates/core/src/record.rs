//! Records that the system appends to the platform's log, as JSON.

use std::time::SystemTime;

use serde::{Deserialize, Serialize};
use serde_with::{TimestampMilliSeconds, serde_as};

use crate::{
    Document, EditId, Incarnation, Offset, OrderKey, RequestId, ServiceName, TeamName, VmId,
};

/// Format version that every record carries. A fold stops at any other version.
pub const RECORD_FORMAT: u32 = 1;

/// A record of the stream `config`.
///
/// Unknown fields are rejected, so that no fold ignores a field that another one applies.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "kebab-case", deny_unknown_fields)]
pub enum ConfigRecord {
    /// An edit of one service's document.
    Edit {
        /// Identifies the submission.
        edit_id: EditId,
        /// Team that submitted it.
        team: TeamName,
        /// Revision of the service that the operator edited; 0 for a new service.
        base: Offset,
        /// The new document; `None` deletes the service. The field is mandatory, so that a record
        /// without it is not read as a deletion.
        #[serde(deserialize_with = "Option::deserialize")]
        document: Option<Box<Document>>,
        /// Name of the service.
        service: ServiceName,
    },
    /// The whole state as of an offset, so that the log may drop older records.
    Snapshot {
        /// Offset of the last record that the state contains.
        at: Offset,
        /// The state, in the JSON form that the fold defines.
        state: serde_json::Value,
    },
}

/// A claim on the key of an order that runs at most once.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimRecord {
    /// Service that the order is for.
    pub service: ServiceName,
    /// Key of the order.
    pub key: OrderKey,
    /// The only request that may run the order if this claim wins.
    pub request: RequestId,
    /// Time of the claim by the holder's clock.
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
        /// Incarnation of the entry that made them.
        incarnation: Incarnation,
        /// The claims. Within a record, the first claim on a key wins.
        claims: Vec<ClaimRecord>,
    },
    /// The holder declares that it has not dispatched the orders of these claims and never will.
    Releases {
        /// Entry that made the claims.
        holder: VmId,
        /// Incarnation of the entry that made them.
        incarnation: Incarnation,
        /// Requests of the released claims.
        requests: Vec<RequestId>,
    },
}
