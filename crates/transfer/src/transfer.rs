//! The handle of a running transfer.

use std::io;
use std::sync::Arc;

use axum::Router;
use bytes::Bytes;
use futures::{Stream, stream};
use prometheus::Registry;
use snafu::ResultExt as _;
use tokio::runtime::Handle;
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;
use wagtailreel_adapters::{HttpClient, Origin};
use wagtailreel_core::{Epoch, VmEntry};

use crate::current::Surroundings;
use crate::driver::{Command, Driver};
use crate::error::RuntimeSnafu;
use crate::shared::Shared;
use crate::{Progress, TransferConfig, TransferError, Wanted, serve};

/// What tasks may have to say before they wait for the driver.
const NOTES: usize = 64;

/// Brings chunks and serves them to peers. Clones stand for the same transfer, which ends with
/// [`stop`](Self::stop) or when the last of them is dropped.
#[derive(Clone, Debug)]
pub struct Transfer {
    shared: Arc<Shared>,
    /// Without a bound, since the few commands come from the one agent.
    commands: mpsc::UnboundedSender<Command>,
    stop: CancellationToken,
}

impl Transfer {
    /// Starts on the current runtime, with nothing to fetch.
    ///
    /// # Errors
    ///
    /// Returns a [`TransferError`] if there is no runtime or `registry` has the metrics already.
    pub fn start<O>(
        cfg: TransferConfig,
        origin: O,
        registry: &Registry,
    ) -> Result<Self, TransferError>
    where
        O: Origin,
    {
        let runtime = Handle::try_current().context(RuntimeSnafu)?;
        let shared = Arc::new(Shared::new(cfg, registry)?);
        let (commands, commands_rx) = mpsc::unbounded_channel();
        let (notes, notes_rx) = mpsc::channel(NOTES);
        let stop = CancellationToken::new();
        let driver = Driver::new(Surroundings {
            shared: Arc::clone(&shared),
            origin,
            client: HttpClient::new(),
            notes,
        });
        runtime.spawn(driver.run(commands_rx, notes_rx, stop.clone()));
        Ok(Self {
            shared,
            commands,
            stop,
        })
    }

    /// Starts to fetch an epoch's weights, in place of a transfer under way.
    ///
    /// Chunks that both have are kept. Epochs that are staged stay until they are forgotten. What
    /// is there or under way already is not fetched again; an epoch that failed is tried again
    /// only after [`forget`](Self::forget).
    pub fn want(&self, wanted: Wanted) {
        self.send(Command::Want(wanted));
    }

    /// Sets the VMs that chunks may be fetched from: those of the service, in all data centres.
    pub fn set_peers(&self, peers: Vec<VmEntry>) {
        self.send(Command::SetPeers(peers));
    }

    /// Drops an epoch's chunks, but for those that another epoch needs.
    pub fn forget(&self, epoch: Epoch) {
        self.send(Command::Forget(epoch));
    }

    /// Returns how far all chunks are, as it changes.
    pub fn progress(&self) -> watch::Receiver<Progress> {
        self.shared.progress.subscribe()
    }

    /// Returns all parts' bytes in order, if the epoch is staged.
    ///
    /// The stream holds on to the chunks even if the epoch is forgotten meanwhile.
    pub fn body(
        &self,
        epoch: Epoch,
    ) -> Option<impl Stream<Item = Result<Bytes, io::Error>> + Send + use<>> {
        let layout = self.shared.staged().get(&epoch).cloned()?;
        let chunks: Option<Vec<Bytes>> = layout
            .bundle
            .parts
            .iter()
            .flat_map(|part| &part.chunks)
            .map(|meta| self.shared.store.get(&meta.digest))
            .collect();
        Some(stream::iter(chunks?.into_iter().map(Ok)))
    }

    /// Sets the share of its rate, from 0 to 1, that the transfer gives up because live answers
    /// got slower. A part is always kept; what was given up comes back little by little.
    pub fn set_live_pressure(&self, pressure: f64) {
        self.shared.ingress.give_up(pressure);
        self.shared.egress.give_up(pressure);
    }

    /// Returns the routes for peers: what is there of a bundle, and chunks.
    pub fn router(&self) -> Router {
        serve::router(Arc::clone(&self.shared))
    }

    /// Ends all fetching. Chunks that are there can still be given and loaded.
    pub fn stop(&self) {
        self.stop.cancel();
    }

    /// Sends a command; after the end it is for nobody.
    fn send(&self, command: Command) {
        let _ = self.commands.send(command);
    }
}
