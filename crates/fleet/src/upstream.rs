//! Registrations of upstreams.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationNanoSeconds, serde_as};
use wagtailreel_core::{DataCentre, ServiceName};

use crate::{ModelName, WeightsVersion};

/// Id of an upstream. A restarted upstream may keep its id; [`UpstreamStart`] distinguishes the starts.
pub type UpstreamId = String;

/// Start time of an upstream, in milliseconds since the Unix epoch by the upstream's clock. A later start has
/// a higher value. Upstreams that use a new id for each start report none and have 0.
pub type UpstreamStart = u64;

/// Whether an upstream accepts new requests.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, derive_more::Display, Serialize, Deserialize,
)]
pub enum UpstreamState {
    /// The upstream accepts new requests.
    #[display("ready")]
    Ready,
    /// The upstream completes its requests and then shuts down.
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
    /// Whether all layers are loaded. An engine that holds only some can't serve requests alone.
    pub whole: bool,
}

/// Registration of one upstream.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Id of the upstream.
    pub id: UpstreamId,
    /// The start of the upstream that the registration belongs to.
    #[serde(default)]
    pub started: UpstreamStart,
    /// The service that it runs.
    pub service: ServiceName,
    /// Address on which the upstream accepts requests.
    pub addr: SocketAddr,
    /// Data centre of the upstream.
    pub data_centre: DataCentre,
    /// Number of requests that the upstream processes concurrently.
    pub slots: u32,
    /// Whether the upstream accepts new requests.
    pub state: UpstreamState,
    /// Remaining warm-up time, in which the upstream is slower.
    #[serde_as(as = "DurationNanoSeconds<u64>")]
    pub warmup_left: Duration,
    /// The weights that the upstream holds; empty for a plain service or a new engine.
    pub models: Vec<LoadedModel>,
}

impl Upstream {
    /// Returns the version of `model` that the upstream holds completely.
    pub fn version_of(&self, model: &str) -> Option<WeightsVersion> {
        let held = self.models.iter().find(|held| held.model == model)?;
        held.whole.then_some(held.version)
    }
}
