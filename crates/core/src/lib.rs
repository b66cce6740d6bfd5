//! Types that all wagtailreel processes share.
//!
//! This crate does no I/O, reads no clock and uses no random numbers. The crates that make decisions
//! (`fold`, `spread`, `switch`, `route`) accept and return these types; the crates that do I/O (`entry`,
//! `agent`, `control`, `transfer`) send them over the network.

mod control;
mod digest;
mod document;
pub mod headers;
mod ids;
mod manifest;
mod outcome;
mod rank;
mod record;
mod vm;

pub use control::{
    Directive, EngineLoad, PeerState, Report, ServicePeerState, ServiceState, StateView,
    WeightsPhase,
};
pub use digest::{Digest, ParseDigestError};
pub use document::{
    CustomerLimit, Document, ModelRef, Objectives, Place, Priority, ServiceKind, SpreadGoal,
    SpreadPolicy, SpreadSettings, VmSelection,
};
pub use ids::{
    ChunkIndex, CustomerId, DataCentre, EditId, Epoch, Incarnation, Offset, OrderKey, Region,
    RequestId, ServiceName, TeamName, VmId,
};
pub use manifest::{Bundle, ChunkMeta, Manifest, ManifestError};
pub use outcome::{NotRunReason, Outcome};
pub use rank::{first_ranked, rank, rank_score};
pub use record::{ClaimRecord, ConfigRecord, OrderRecord, RECORD_FORMAT};
pub use vm::{VmEntry, VmRole, VmState};
