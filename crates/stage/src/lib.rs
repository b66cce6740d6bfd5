//! Brings weights to an engine that takes them in chunks, without standing in its requests' way.
//!
//! [`StagingAgent`] is the process beside such an engine. It learns from the registry which weights
//! are to be served, fetches their chunks from other agents and the origin as a
//! `wagtailreel_spread::Planner` decides, stages them at the engine and has it load them; and it
//! tells entries and other agents, by datagrams, how loaded the engine is and which chunks it can
//! give. What it does next is decided by [`Rollout`], apart from sockets.

mod chunk_store;
mod engine;
pub mod events;
mod fetch;
mod known_settings;
mod listing;
mod loading;
mod manifest;
mod metrics;
mod origin_fetch;

mod origin;
mod peers;
mod process;
mod quarantine_sync;
mod resolve;
mod rollout;
mod serve;
mod staging;
mod status;
mod subscribers;

pub use chunk_store::ChunkStore;
pub use engine::{EngineError, EngineReport, OrderOutcome, StagedEngine};
pub use manifest::{ChunkManifest, DigestKind};
pub use origin::{ChunkOrigin, OriginError};
pub use process::{StageError, StagingAgent};
pub use rollout::{Rollout, RolloutState, Step, Target};
