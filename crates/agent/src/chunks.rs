//! The transfer of chunks as the watch over the engine needs it.

use std::collections::BTreeMap;

use tokio::sync::watch;
use wagtailreel_adapters::Engine;
use wagtailreel_core::{Digest, Epoch, VmEntry, WeightsPhase};
use wagtailreel_transfer::{EpochProgress, Progress, Transfer, Wanted};

use crate::loader::Staged;

/// Why a load failed whose chunks were dropped between the decision and the order.
const NO_CHUNKS: &str =
    "the chunks were dropped before the load: nothing to do, it is decided anew";

/// How far all chunks are.
#[derive(Clone, Debug, Default)]
pub(crate) struct ChunksView {
    /// Per epoch.
    pub(crate) epochs: BTreeMap<Epoch, Staged>,
    /// Chunks of the newest epoch that are there, and how many there are in all.
    pub(crate) count: (u32, u32),
    /// Bytes of verified chunks in memory.
    pub(crate) bytes: u64,
    /// Chunks are on their way.
    pub(crate) is_active: bool,
    /// What keeps chunks from coming, with the remedy.
    pub(crate) trouble: Option<String>,
}

/// Brings chunks, and gives them to the engine.
#[derive(Clone, Debug)]
pub(crate) struct Chunks {
    transfer: Transfer,
    progress: watch::Receiver<Progress>,
}

impl Chunks {
    /// Makes the view that the watch over the engine has of `transfer`.
    pub(crate) fn new(transfer: Transfer) -> Self {
        let progress = transfer.progress();
        Self { transfer, progress }
    }

    /// Has an epoch's chunks fetched, in place of those under way.
    pub(crate) fn want(&self, wanted: Wanted) {
        self.transfer.want(wanted);
    }

    /// Drops an epoch's chunks, but for those that another epoch needs.
    pub(crate) fn forget(&self, epoch: Epoch) {
        self.transfer.forget(epoch);
    }

    /// Sets the VMs that chunks may be fetched from.
    pub(crate) fn set_peers(&self, peers: Vec<VmEntry>) {
        self.transfer.set_peers(peers);
    }

    /// Sets how much transfers slow down live answers, from 0 to 1.
    pub(crate) fn set_live_pressure(&self, pressure: f64) {
        self.transfer.set_live_pressure(pressure);
    }

    /// Returns how far all chunks are.
    pub(crate) fn view(&self) -> ChunksView {
        let progress = self.progress.borrow();
        let newest = progress.epochs.values().next_back();
        let epochs = progress.epochs.iter();
        ChunksView {
            epochs: epochs.map(|(epoch, it)| (*epoch, staged_of(it))).collect(),
            count: newest.map_or((0, 0), |it| (it.have, it.total)),
            bytes: progress.bytes,
            is_active: newest.is_some_and(|it| it.phase == WeightsPhase::Fetching),
            trouble: newest.and_then(|it| it.trouble.clone()),
        }
    }

    /// Waits until that has changed.
    pub(crate) async fn changed(&mut self) {
        if self.progress.changed().await.is_err() {
            // The transfer has ended: nothing changes any more.
            std::future::pending::<()>().await;
        }
    }

    /// Has `engine` load an epoch whose chunks are complete, and returns the digest that the
    /// engine computed, or why there is none.
    pub(crate) fn load<E>(
        &self,
        engine: E,
        epoch: Epoch,
        fence: Epoch,
    ) -> impl Future<Output = Result<Digest, String>> + Send + use<E>
    where
        E: Engine,
    {
        let body = self.transfer.body(epoch);
        let progress = self.progress.borrow();
        let bundle = progress.epochs.get(&epoch).and_then(|it| it.bundle.clone());
        async move {
            let (Some(body), Some(bundle)) = (body, bundle) else {
                return Err(NO_CHUNKS.to_owned());
            };
            let loaded = engine.load(&bundle, fence, body).await;
            loaded.map_err(|err| err.to_string())
        }
    }
}

/// Returns what the loader needs to know of an epoch's chunks.
fn staged_of(it: &EpochProgress) -> Staged {
    Staged {
        bundle: it.bundle.as_ref().map(|bundle| bundle.digest()),
        complete: it.phase == WeightsPhase::Staged,
        failed: it.phase == WeightsPhase::Failed,
    }
}
