//! Versions of a model's weights, as operators name them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::BootTime;

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

/// What a process's reads of the registry prove of when weights were named.
#[derive(Clone, Debug, Default)]
pub struct NamingTimes {
    newest: BTreeMap<ModelName, WeightsVersion>,
}

impl NamingTimes {
    /// Takes that the registry names `weights`, and the moment of which the last complete read speaks;
    /// returns a moment at which they were not named, none where none is proved.
    ///
    /// What the first read brings was named before it. A record that is read again, as the newest of its
    /// key after a burst, was there at the last read: taken for news, it made a naming 12 s younger than
    /// it was.
    pub fn take(
        &mut self,
        weights: &NamedWeights,
        last_read: Option<BootTime>,
    ) -> Option<BootTime> {
        let known = self.newest.get(&weights.model);
        if known.is_some_and(|known| *known >= weights.version) {
            return None;
        }
        self.newest.insert(weights.model.clone(), weights.version);
        last_read
    }
}
