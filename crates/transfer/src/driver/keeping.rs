//! What is kept in memory, and what is said of it.

use std::collections::BTreeMap;
use std::sync::Arc;

use wagtailreel_adapters::Origin;
use wagtailreel_core::{Digest, Epoch, WeightsPhase};

use super::{Driver, Kept, Stage};
use crate::current::Current;
use crate::layout::Layout;
use crate::{EpochProgress, events};

impl<O> Driver<O>
where
    O: Origin,
{
    /// Starts to fetch the chunks of a bundle, if it fits.
    pub(super) fn place(&mut self, layout: Arc<Layout>) {
        let Some(under_way) = &mut self.under_way else {
            return;
        };
        let epoch = under_way.epoch;
        let generation = under_way.generation;
        // What was replaced gives its place to the new bundle, but for what both have.
        under_way.stage = Stage::NoMemory(Arc::clone(&layout));
        self.left_over = None;
        self.prune();
        let Some(kept) = self.epochs.get_mut(&epoch) else {
            return;
        };
        kept.layout = Some(Arc::clone(&layout));
        let memory = self.around.shared.cfg.memory;
        let needed = needed(&self.around.shared.staged(), &layout);
        if needed > memory {
            kept.phase = WeightsPhase::Failed;
            let trouble = format!(
                "the weights need {needed} bytes of memory along with those that are kept, and \
                 the agent's setting allows {memory}: raise it, or let older weights go"
            );
            self.emit(events::NO_MEMORY, &[("trouble", &trouble)]);
            self.set_trouble(Some(trouble));
            return;
        }
        kept.phase = WeightsPhase::Fetching;
        kept.trouble = None;
        let current = Current::start(
            self.around.clone(),
            layout,
            kept.wanted.settings.clone(),
            generation,
            &self.peers,
            memory - needed,
        );
        if let Some(under_way) = &mut self.under_way {
            under_way.stage = Stage::Chunks(Box::new(current));
        }
        self.count();
    }

    /// Drops the chunks that no kept bundle needs.
    pub(super) fn prune(&self) {
        let shared = &self.around.shared;
        let mut layouts: Vec<Arc<Layout>> = shared.staged().values().cloned().collect();
        layouts.extend(self.left_over.clone());
        layouts.extend(self.under_way.as_ref().and_then(|it| match &it.stage {
            Stage::Chunks(current) => Some(Arc::clone(&current.layout)),
            Stage::NoMemory(layout) => Some(Arc::clone(layout)),
            Stage::Manifests { .. } => None,
        }));
        let bundles = layouts.iter().map(|layout| layout.digest).collect();
        let chunks = layouts
            .iter()
            .flat_map(|layout| &layout.chunks)
            .map(|chunk| chunk.digest)
            .collect();
        // Peers stop being told of chunks before these go.
        shared.haves.retain(&bundles);
        shared.store.retain(&chunks);
    }

    /// Publishes how far all is, if that changed.
    pub(super) fn publish(&self) {
        let shared = &self.around.shared;
        let bytes = shared.store.bytes();
        shared
            .metrics
            .kept
            .set(i64::try_from(bytes).unwrap_or(i64::MAX));
        let epochs: BTreeMap<Epoch, EpochProgress> = self
            .epochs
            .iter()
            .map(|(epoch, kept)| (*epoch, kept.progress()))
            .collect();
        shared.progress.send_if_modified(|progress| {
            let changed = progress.bytes != bytes || progress.epochs != epochs;
            progress.bytes = bytes;
            progress.epochs = epochs;
            changed
        });
    }
}

impl Kept {
    /// Returns how far the epoch is.
    fn progress(&self) -> EpochProgress {
        let layout = self.layout.as_ref();
        EpochProgress {
            phase: self.phase,
            have: self.have,
            total: layout.map_or(0, |layout| layout.count()),
            bundle: layout.map(|layout| Arc::clone(&layout.bundle)),
            trouble: self.trouble.clone(),
        }
    }
}

/// Returns how many bytes `layout` needs along with what is staged, shared chunks counted once.
fn needed(staged: &BTreeMap<Epoch, Arc<Layout>>, layout: &Arc<Layout>) -> u64 {
    let lengths: BTreeMap<Digest, u64> = staged
        .values()
        .chain([layout])
        .flat_map(|layout| &layout.chunks)
        .map(|chunk| (chunk.digest, chunk.length))
        .collect();
    lengths
        .values()
        .fold(0, |sum, length| sum.saturating_add(*length))
}
