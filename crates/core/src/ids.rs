//! Type aliases for names, ids and positions.

/// Name of one VM, unique over all data centres; set in the process's settings.
pub type VmId = String;

/// Name of one data centre, such as `quito-hall`.
pub type DataCentre = String;

/// Name of a region: a group of data centres that are close to each other.
pub type Region = String;

/// Name of one service, such as `wagtail-scribes`.
pub type ServiceName = String;

/// Name of a team that owns services and holds one administration token.
pub type TeamName = String;

/// Name of a customer: a caller that is identified by its key.
pub type CustomerId = String;

/// Identifies one request of one caller, chosen by the entry that accepted it.
pub type RequestId = String;

/// Idempotency key of an order that runs at most once, chosen by the caller:
/// `<unix seconds>.<opaque text>`.
pub type OrderKey = String;

/// Identifies one submission of a document, so that a re-send has no further effect.
pub type EditId = String;

/// Position of a record in one stream of the platform's log.
pub type Offset = u64;

/// Fencing token of a service's weights: the offset of the edit that last changed them.
pub type Epoch = u64;

/// Distinguishes successive starts of the process with one [`VmId`]; later starts are higher.
pub type Incarnation = u64;

/// Position of a chunk within its manifest.
pub type ChunkIndex = u32;
