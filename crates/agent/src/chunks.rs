//! What the steward needs of the transfer of chunks.

use std::collections::BTreeMap;

use wagtailreel_core::{Bundle, Digest, Epoch, ModelRef, SpreadSettings, VmEntry};
use wagtailreel_platform::{Engine, PlatformError};

/// How far the chunks of one epoch are.
#[derive(Clone, Debug, Default)]
pub(crate) struct EpochChunks {
    /// The bundle, once its manifests are there.
    pub(crate) bundle: Option<Bundle>,
    /// All chunks are there and verified.
    pub(crate) complete: bool,
}

/// How far all chunks are.
#[derive(Clone, Debug, Default)]
pub(crate) struct ChunksView {
    /// Per epoch.
    pub(crate) epochs: BTreeMap<Epoch, EpochChunks>,
    /// Chunks of the newest epoch that are there, and how many there are in all.
    pub(crate) count: (u32, u32),
    /// Bytes of verified chunks in memory.
    pub(crate) bytes: u64,
    /// Chunks are on their way.
    pub(crate) is_active: bool,
    /// What keeps chunks from coming, with the remedy.
    pub(crate) trouble: Option<String>,
}

/// Brings chunks, and gives them to an engine.
pub(crate) trait Chunks: Send + Sync + 'static {
    /// Starts to fetch an epoch's parts.
    fn want(&self, epoch: Epoch, parts: Vec<ModelRef>, settings: SpreadSettings);

    /// Drops an epoch's chunks, but for those that another epoch needs.
    fn forget(&self, epoch: Epoch);

    /// Sets the VMs that chunks may be fetched from.
    fn set_peers(&self, peers: Vec<VmEntry>);

    /// Returns how far all chunks are.
    fn view(&self) -> ChunksView;

    /// Waits until that has changed.
    fn changed(&mut self) -> impl Future<Output = ()> + Send;

    /// Has `engine` load an epoch whose chunks are complete.
    fn load<E>(
        &self,
        engine: E,
        epoch: Epoch,
        fence: Epoch,
    ) -> impl Future<Output = Result<Digest, PlatformError>> + Send + 'static
    where
        E: Engine;

    /// Sets how much transfers slow down live answers, from 0 to 1.
    fn set_live_pressure(&self, pressure: f64);
}
