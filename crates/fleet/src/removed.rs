//! Upstreams that were removed a short time ago.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::upstream::UpstreamStart;
use crate::{BootTime, Era, UpstreamId};

/// How long a removal is remembered. Copies from which the registry comes back are some seconds old.
const REMOVAL_MEMORY: Duration = Duration::from_secs(120);

/// Maximum number of removals that are remembered, about the upstreams of the largest fleet.
const MAX_REMOVALS: usize = 4096;

#[derive(Clone, Copy, Debug)]
struct Removal {
    started: UpstreamStart,
    era: Era,
    at: BootTime,
}

/// Upstreams that were removed a short time ago, which a restored copy of the registry may list again.
#[derive(Clone, Debug, Default)]
pub(crate) struct RemovedUpstreams(BTreeMap<UpstreamId, Removal>);

impl RemovedUpstreams {
    /// Records that the start `started` of an upstream was removed in `era`.
    pub(crate) fn note(&mut self, id: UpstreamId, started: UpstreamStart, era: Era, now: BootTime) {
        if self.0.len() >= MAX_REMOVALS {
            self.0.retain(|_, it| now.since(it.at) < REMOVAL_MEMORY);
        }
        if self.0.len() >= MAX_REMOVALS {
            let oldest = self.0.iter().min_by_key(|(_, it)| it.at);
            if let Some(id) = oldest.map(|(id, _)| id.clone()) {
                self.0.remove(&id);
            }
        }
        let at = now;
        self.0.insert(id, Removal { started, era, at });
    }

    /// Forgets a removal, as the upstream has registered again.
    pub(crate) fn forget(&mut self, id: &str) {
        self.0.remove(id);
    }

    /// Returns whether the start `started` of an upstream was removed in an era before `era`.
    pub(crate) fn was_removed_before(
        &self,
        id: &str,
        started: UpstreamStart,
        era: Era,
        now: BootTime,
    ) -> bool {
        let removal = self.0.get(id);
        removal.is_some_and(|it| {
            it.era < era && started <= it.started && now.since(it.at) < REMOVAL_MEMORY
        })
    }
}
