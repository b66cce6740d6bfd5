//! An engine that takes weights in chunks.

use bytes::Bytes;
use snafu::Snafu;
use wagtailreel_core::ChunkIndex;
use wagtailreel_fleet::{LoadedModel, UpstreamStart, WeightsVersion};

/// What an engine says of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineReport {
    /// Which start of the engine this is; 0 where engines don't tell.
    pub started: UpstreamStart,
    /// The weights that it holds.
    pub models: Vec<LoadedModel>,
    /// An order is being carried out.
    pub is_busy: bool,
    /// How many orders it has begun since its start.
    pub orders: u64,
    /// Requests that wait.
    pub queued: u32,
    /// Requests that it works on.
    pub running: u32,
    /// Memory that is taken and can't yield.
    pub memory_used: u64,
    /// Memory for requests.
    pub memory_total: u64,
    /// How many times slower than usual it is.
    pub slowdown: f64,
}

impl EngineReport {
    /// Returns the version of `model` that the engine holds whole.
    pub fn version_of(&self, model: &str) -> Option<WeightsVersion> {
        let held = self.models.iter().find(|held| held.model == model)?;
        held.whole.then_some(held.version)
    }
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum OrderEnd {
    /// The engine has begun.
    #[display("begun")]
    Begun,
    /// It is in effect already.
    #[display("in-effect")]
    InEffect,
    /// It does not fit the engine's state.
    #[display("unfit")]
    Unfit,
    /// The engine has seen a newer order.
    #[display("fenced")]
    Fenced,
}

/// An engine did not do, or may not have done, what it was asked.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum EngineTrouble {
    /// No answer came. An order may have been taken.
    #[snafu(display("the engine did not answer ({reason}): look at its state before repeating"))]
    Silent {
        /// What happened.
        reason: String,
    },
    /// The engine refused.
    #[snafu(display("the engine refused with {status}: look at its state"))]
    Refused {
        /// Status of the answer.
        status: u16,
    },
    /// The answer can't be understood.
    #[snafu(display("the engine's answer can't be read ({reason}): check its version"))]
    Unreadable {
        /// What is wrong.
        reason: String,
    },
}

/// An engine that takes weights in chunks and loads them when it is told to.
pub trait StagedEngine: Clone + Send + Sync + 'static {
    /// Asks the engine for its state.
    ///
    /// # Errors
    ///
    /// Returns an [`EngineTrouble`] if no whole answer came.
    fn report(&self) -> impl Future<Output = Result<EngineReport, EngineTrouble>> + Send;

    /// Lists the chunks of `model` that are staged.
    ///
    /// # Errors
    ///
    /// Returns an [`EngineTrouble`] if no whole answer came.
    fn staged(
        &self,
        model: &str,
    ) -> impl Future<Output = Result<Vec<ChunkIndex>, EngineTrouble>> + Send;

    /// Reads a staged chunk; none if it isn't there. Its bytes may have been spoilt.
    ///
    /// # Errors
    ///
    /// Returns an [`EngineTrouble`] if no whole answer came.
    fn read_staged(
        &self,
        model: &str,
        chunk: ChunkIndex,
    ) -> impl Future<Output = Result<Option<Bytes>, EngineTrouble>> + Send;

    /// Stages a chunk in place of what was there.
    ///
    /// # Errors
    ///
    /// Returns an [`EngineTrouble`] if the engine did not say that it took the chunk.
    fn stage(
        &self,
        model: &str,
        chunk: ChunkIndex,
        data: Bytes,
    ) -> impl Future<Output = Result<(), EngineTrouble>> + Send;

    /// Orders the engine to finish what runs and load what is staged as `version`, if it has begun
    /// `orders` orders so far.
    ///
    /// # Errors
    ///
    /// Returns an [`EngineTrouble`] if it is not known what became of the order, or it was refused.
    fn load(
        &self,
        model: &str,
        version: WeightsVersion,
        orders: u64,
    ) -> impl Future<Output = Result<OrderEnd, EngineTrouble>> + Send;
}
