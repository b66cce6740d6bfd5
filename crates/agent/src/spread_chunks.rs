//! The transfer of chunks as the steward needs it.

use http::StatusCode;
use tokio::sync::watch;
use wagtailreel_core::{Digest, Epoch, ModelRef, SpreadSettings, VmEntry, WeightsPhase};
use wagtailreel_platform::{Engine, PlatformError};
use wagtailreel_transfer::{EpochProgress, Progress, Transfer, Wanted};

use crate::chunks::{Chunks, ChunksView, EpochChunks};

/// Peer name of the agent's own chunk store in errors.
const STORE: &str = "the agent's chunk store";

/// Chunks spread among the VMs of the service.
#[derive(Clone, Debug)]
pub(crate) struct SpreadChunks {
    transfer: Transfer,
    progress: watch::Receiver<Progress>,
}

impl SpreadChunks {
    /// Makes the steward's view of `transfer`.
    pub(crate) fn new(transfer: Transfer) -> Self {
        let progress = transfer.progress();
        Self { transfer, progress }
    }
}

impl Chunks for SpreadChunks {
    fn want(&self, epoch: Epoch, parts: Vec<ModelRef>, settings: SpreadSettings) {
        self.transfer.want(Wanted {
            epoch,
            parts,
            settings,
        });
    }

    fn forget(&self, epoch: Epoch) {
        self.transfer.forget(epoch);
    }

    fn set_peers(&self, peers: Vec<VmEntry>) {
        self.transfer.set_peers(peers);
    }

    fn view(&self) -> ChunksView {
        view_of(&self.progress.borrow())
    }

    async fn changed(&mut self) {
        if self.progress.changed().await.is_err() {
            // The transfer has ended: nothing changes any more.
            std::future::pending::<()>().await;
        }
    }

    fn load<E>(
        &self,
        engine: E,
        epoch: Epoch,
        fence: Epoch,
    ) -> impl Future<Output = Result<Digest, PlatformError>> + Send + 'static
    where
        E: Engine,
    {
        let body = self.transfer.body(epoch);
        let bundle = self
            .progress
            .borrow()
            .epochs
            .get(&epoch)
            .and_then(|it| it.bundle.clone());
        async move {
            match (body, bundle) {
                (Some(body), Some(bundle)) => engine.load(&bundle, fence, body).await,
                // Nothing was sent: the epoch was forgotten between the decision and the load.
                _ => Err(PlatformError::Refused {
                    peer: STORE.to_owned(),
                    status: StatusCode::NOT_FOUND,
                    retry_after: None,
                    body: "the epoch is no longer staged".to_owned(),
                }),
            }
        }
    }

    fn set_live_pressure(&self, pressure: f64) {
        self.transfer.set_live_pressure(pressure);
    }
}

fn view_of(progress: &Progress) -> ChunksView {
    let newest = progress.epochs.values().next_back();
    ChunksView {
        epochs: progress
            .epochs
            .iter()
            .map(|(epoch, it)| (*epoch, chunks_of(it)))
            .collect(),
        count: newest.map_or((0, 0), |it| (it.have, it.total)),
        bytes: progress.bytes,
        is_active: progress
            .epochs
            .values()
            .any(|it| it.phase == WeightsPhase::Fetching),
        trouble: newest.and_then(|it| it.trouble.clone()),
    }
}

fn chunks_of(it: &EpochProgress) -> EpochChunks {
    EpochChunks {
        bundle: it.bundle.as_deref().cloned(),
        complete: it.phase == WeightsPhase::Staged,
    }
}
