//! Versions of a model's weights, as operators name them.

use serde::{Deserialize, Serialize};

/// Name of a model.
pub type ModelName = String;

/// Version of a model's weights; later ones are higher.
pub type WeightsVersion = u64;

/// A version of a model's weights that is to be served.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct NamedWeights {
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: WeightsVersion,
}
