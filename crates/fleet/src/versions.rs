//! Versions of the settings: the newest that were read, and those that the registry holds.

use std::collections::BTreeMap;

use crate::Change;

/// A setting of which a newer version was read than the registry holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeptSetting {
    /// The setting.
    pub key: String,
    /// Newest version that was read, which stays in force.
    pub version: u64,
    /// Version that the registry holds; `None` if it holds none.
    pub in_registry: Option<u64>,
}

/// Versions of configurations and namings of weights.
#[derive(Clone, Debug, Default)]
pub(crate) struct SettingVersions {
    newest: BTreeMap<String, u64>,
    in_registry: BTreeMap<String, u64>,
}

impl SettingVersions {
    /// Records a record that was read.
    pub(crate) fn note(&mut self, change: &Change) {
        let (key, version) = match change {
            Change::Config(directory) => ("config".to_owned(), directory.version()),
            Change::Weights(weights) => (format!("weights/{}", weights.model), weights.version),
            _ => return,
        };
        let newest = self.newest.entry(key.clone()).or_insert(version);
        *newest = version.max(*newest);
        self.in_registry.insert(key, version);
    }

    /// Forgets what the registry holds, since a complete snapshot follows.
    pub(crate) fn forget_registry(&mut self) {
        self.in_registry.clear();
    }

    /// Returns the settings of which the registry holds no version that is as new as the newest that was read.
    pub(crate) fn kept(&self) -> Vec<KeptSetting> {
        let kept = |(key, version): (&String, &u64)| {
            let in_registry = self.in_registry.get(key).copied();
            let is_kept = in_registry.is_none_or(|it| it < *version);
            is_kept.then(|| KeptSetting {
                key: key.clone(),
                version: *version,
                in_registry,
            })
        };
        self.newest.iter().filter_map(kept).collect()
    }
}
