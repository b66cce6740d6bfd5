//! Fetches model weights in chunks and loads them into an engine without delaying its requests.
//!
//! [`StagingAgent`] is the process beside such an engine. The agent learns from the registry which
//! weights the engine should serve, fetches their chunks from other agents and the origin as a
//! `wagtailreel_spread::Planner` decides, stages them at the engine and orders the engine to load them.
//! The agent also reports the engine's load to entries, and the chunks that it can serve to other
//! agents, by datagrams. [`Rollout`] decides the agent's next step and uses no sockets.

mod chunk_store;
mod correction;
mod engine;
pub mod events;
mod fetch;
mod known_settings;
mod listing;
mod loading;
mod manifest;
mod metrics;
mod origin;
mod origin_fetch;
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
