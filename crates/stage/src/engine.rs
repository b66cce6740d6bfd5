//! Interface to an engine that is given weights in chunks.

use bytes::Bytes;
use snafu::Snafu;
use wagtailreel_core::ChunkIndex;
use wagtailreel_fleet::{LoadedModel, UpstreamStart, WeightsVersion};

/// State of an engine as reported by the engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineReport {
    /// Identifies the engine's start; 0 if the engine does not report it.
    pub started: UpstreamStart,
    /// The weights that the engine holds.
    pub models: Vec<LoadedModel>,
    /// Whether an order is being carried out.
    pub is_busy: bool,
    /// Number of orders that the engine has begun since its start.
    pub orders: u64,
    /// Number of queued requests.
    pub queued: u32,
    /// Number of running requests.
    pub running: u32,
    /// Memory in use that cannot be reclaimed.
    pub memory_used: u64,
    /// Memory available to requests.
    pub memory_total: u64,
    /// How many times slower than usual the engine runs.
    pub slowdown: f64,
}

impl EngineReport {
    /// Returns the version of `model` that the engine holds completely.
    pub fn version_of(&self, model: &str) -> Option<WeightsVersion> {
        let held = self.models.iter().find(|held| held.model == model)?;
        held.whole.then_some(held.version)
    }
}

/// Outcome of an order to load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum OrderOutcome {
    /// The engine has begun to load.
    #[display("begun")]
    Begun,
    /// The order is already in effect.
    #[display("in-effect")]
    InEffect,
    /// The order does not fit the engine's state.
    #[display("unfit")]
    Unfit,
    /// The engine has seen a newer order.
    #[display("fenced")]
    Fenced,
}

/// An error of a call to an engine.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum EngineError {
    /// The engine did not answer. An order may still have been received.
    #[snafu(display("the engine did not answer ({reason}): check its state before retrying"))]
    Silent {
        /// Cause.
        reason: String,
    },
    /// The engine refused the call.
    #[snafu(display("the engine refused with status {status}: check its state"))]
    Refused {
        /// HTTP status of the answer.
        status: u16,
    },
    /// The answer cannot be parsed.
    #[snafu(display("the engine's answer cannot be parsed ({reason}): check its version"))]
    Unreadable {
        /// The mistake in the answer.
        reason: String,
    },
}

/// An engine that stages weights in chunks and loads them on order.
pub trait StagedEngine: Clone + Send + Sync + 'static {
    /// Reads the engine's state.
    ///
    /// # Errors
    ///
    /// Returns an [`EngineError`] if no complete answer came.
    fn report(&self) -> impl Future<Output = Result<EngineReport, EngineError>> + Send;

    /// Lists the chunks of `model` that are staged.
    ///
    /// # Errors
    ///
    /// Returns an [`EngineError`] if no complete answer came.
    fn staged(
        &self,
        model: &str,
    ) -> impl Future<Output = Result<Vec<ChunkIndex>, EngineError>> + Send;

    /// Reads a staged chunk, or returns `None` if it is not staged. The bytes may be corrupt.
    ///
    /// # Errors
    ///
    /// Returns an [`EngineError`] if no complete answer came.
    fn read_staged(
        &self,
        model: &str,
        chunk: ChunkIndex,
    ) -> impl Future<Output = Result<Option<Bytes>, EngineError>> + Send;

    /// Stages a chunk and replaces the chunk staged at its index.
    ///
    /// # Errors
    ///
    /// Returns an [`EngineError`] if the engine did not confirm the chunk.
    fn stage(
        &self,
        model: &str,
        chunk: ChunkIndex,
        data: Bytes,
    ) -> impl Future<Output = Result<(), EngineError>> + Send;

    /// Orders the engine to finish its running requests and load the staged chunks as `version`, if the
    /// engine has begun `orders` orders so far.
    ///
    /// # Errors
    ///
    /// Returns an [`EngineError`] if the order was refused or its outcome is unknown.
    fn load(
        &self,
        model: &str,
        version: WeightsVersion,
        orders: u64,
    ) -> impl Future<Output = Result<OrderOutcome, EngineError>> + Send;
}
