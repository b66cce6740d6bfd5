//! Upstreams that register themselves.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationNanoSeconds, serde_as};
use wagtailreel_core::{DataCentre, ServiceName};

use crate::{ModelName, WeightsVersion};

/// Id of an upstream. A restart may have the same one; [`UpstreamStart`] tells the two apart.
pub type UpstreamId = String;

/// When an upstream started, in milliseconds of the Unix epoch by its own clock; 0 where upstreams
/// don't tell, and have another id for each start. A later start has a higher one.
pub type UpstreamStart = u64;

/// Whether an upstream takes new requests.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, derive_more::Display, Serialize, Deserialize,
)]
pub enum UpstreamState {
    /// It does.
    #[display("ready")]
    Ready,
    /// It finishes what it has and leaves.
    #[display("draining")]
    Draining,
}

/// Weights that an upstream holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// The model.
    pub model: ModelName,
    /// The version of its weights.
    pub version: WeightsVersion,
    /// All layers are there. An engine that holds only some can't serve alone.
    pub whole: bool,
}

/// One upstream, as it says of itself.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Id of the upstream.
    pub id: UpstreamId,
    /// Which start of it this is.
    #[serde(default)]
    pub started: UpstreamStart,
    /// The service that it runs.
    pub service: ServiceName,
    /// Where it takes requests.
    pub addr: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: UpstreamState,
    /// How much longer it is slow after its start.
    #[serde_as(as = "DurationNanoSeconds<u64>")]
    pub warmup_left: Duration,
    /// The weights that it holds; empty for a plain service and a new engine.
    pub models: Vec<LoadedModel>,
}

impl Upstream {
    /// Returns the version of `model` that the upstream holds whole.
    pub fn version_of(&self, model: &str) -> Option<WeightsVersion> {
        let held = self.models.iter().find(|held| held.model == model)?;
        held.whole.then_some(held.version)
    }
}
