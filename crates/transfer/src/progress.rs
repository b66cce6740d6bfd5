//! How far the chunks are.

use std::collections::BTreeMap;
use std::sync::Arc;

use wagtailreel_core::{Bundle, Epoch, WeightsPhase};

/// How far the chunks of all epochs are.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Per epoch that is kept or fetched.
    pub epochs: BTreeMap<Epoch, EpochProgress>,
    /// Bytes of verified chunks in memory.
    pub bytes: u64,
}

/// How far the chunks of one epoch are.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EpochProgress {
    /// One of `Fetching`, `Staged` and `Failed`.
    pub phase: WeightsPhase,
    /// Chunks that are there, equal ones counted once.
    pub have: u32,
    /// Chunks in all, equal ones counted once; 0 until the manifests are there.
    pub total: u32,
    /// The bundle, once its manifests are there.
    pub bundle: Option<Arc<Bundle>>,
    /// What keeps the chunks from coming, with the remedy.
    pub trouble: Option<String>,
}
