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

/// Derives from reads of the registry when weights were named.
#[derive(Clone, Debug, Default)]
pub struct NamingTimes {
    newest: BTreeMap<ModelName, WeightsVersion>,
}

impl NamingTimes {
    /// Records that the registry names `weights`. `last_read` is the time as of which the last complete read
    /// holds. Returns a time at which the weights were not named yet, `None` if no read proves one.
    ///
    /// Namings of the first read are older than that read, by an unknown time. A record that is read again,
    /// as the newest of its key after a burst, was already there at the last read. If such a record counted
    /// as new, a naming could appear 12 s younger than it is.
    pub fn record(
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
