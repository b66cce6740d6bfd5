//! The interface of the engine watch to the transfer of chunks.

use std::collections::BTreeMap;

use tokio::sync::watch;
use wagtailreel_adapters::Engine;
use wagtailreel_core::{Digest, Epoch, VmEntry, WeightsPhase};
use wagtailreel_transfer::{EpochProgress, Progress, Transfer, Wanted};

use crate::loader::Staged;

/// Error of a load whose chunks were dropped between the loader's decision and the order to the engine.
const CHUNKS_DROPPED: &str =
    "the chunks were dropped before the load: nothing to do, it is decided anew";

/// Progress of the chunks of all epochs.
#[derive(Clone, Debug, Default)]
pub(crate) struct ChunksView {
    /// State of each epoch's chunks.
    pub(crate) epochs: BTreeMap<Epoch, Staged>,
    /// Number of verified chunks of the newest epoch, and the total number of its chunks.
    pub(crate) count: (u32, u32),
    /// Bytes of verified chunks in memory.
    pub(crate) bytes: u64,
    /// Chunks of the newest epoch are being fetched.
    pub(crate) is_active: bool,
    /// Why chunks can't be fetched, with the remedy.
    pub(crate) trouble: Option<String>,
}

/// Fetches chunks and loads them into the engine.
#[derive(Clone, Debug)]
pub(crate) struct Chunks {
    transfer: Transfer,
    progress: watch::Receiver<Progress>,
}

impl Chunks {
    /// Creates the interface to `transfer`.
    pub(crate) fn new(transfer: Transfer) -> Self {
        let progress = transfer.progress();
        Self { transfer, progress }
    }

    /// Fetches an epoch's chunks, in place of those that are being fetched.
    pub(crate) fn want(&self, wanted: Wanted) {
        self.transfer.want(wanted);
    }

    /// Drops an epoch's chunks, except those that another epoch needs.
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

    /// Returns the progress of the chunks of all epochs.
    pub(crate) fn view(&self) -> ChunksView {
        let progress = self.progress.borrow();
        let newest = progress.epochs.values().next_back();
        let epochs = progress.epochs.iter();
        ChunksView {
            epochs: epochs.map(|(epoch, it)| (*epoch, staged(it))).collect(),
            count: newest.map_or((0, 0), |it| (it.have, it.total)),
            bytes: progress.bytes,
            is_active: newest.is_some_and(|it| it.phase == WeightsPhase::Fetching),
            trouble: newest.and_then(|it| it.trouble.clone()),
        }
    }

    /// Waits until the progress has changed.
    pub(crate) async fn changed(&mut self) {
        if self.progress.changed().await.is_err() {
            // The transfer has ended, so the progress no longer changes.
            std::future::pending::<()>().await;
        }
    }

    /// Loads an epoch whose chunks are complete into `engine`, and returns the digest that the engine
    /// computed or the error's text.
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
                return Err(CHUNKS_DROPPED.to_owned());
            };
            let loaded = engine.load(&bundle, fence, body).await;
            loaded.map_err(|err| err.to_string())
        }
    }
}

/// Returns the state of an epoch's chunks for the loader.
fn staged(it: &EpochProgress) -> Staged {
    Staged {
        bundle: it.bundle.as_ref().map(|bundle| bundle.digest()),
        complete: it.phase == WeightsPhase::Staged,
        failed: it.phase == WeightsPhase::Failed,
    }
}
