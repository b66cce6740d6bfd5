//! Fetches the manifests of a bundle, however long it takes.

use std::time::Duration;

use http::StatusCode;
use rand::RngExt as _;
use rand::seq::SliceRandom as _;
use tokio::sync::{mpsc, watch};
use wagtailreel_adapters::{HttpOrigin, Origin, PlatformError};
use wagtailreel_core::{Bundle, DataCentre, Manifest, ModelRef, VmEntry};

use crate::current::{Generation, Note};
use crate::events;
use crate::layout::Layout;

/// First and longest pause after a manifest could not be had.
const PAUSES: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(5));

/// Peers that are asked for a manifest in one round.
const PEERS_ASKED: usize = 4;

/// How long a peer may take to give a manifest.
const PEER_STALL: Duration = Duration::from_secs(2);

/// Where manifests come from.
#[derive(Clone, Debug)]
pub(crate) struct Givers<O> {
    /// The origin, which is asked first.
    pub(crate) origin: O,
    /// The VMs that are asked while the origin is out of reach.
    pub(crate) peers: watch::Receiver<Vec<VmEntry>>,
    /// The own data centre, whose VMs are asked before others.
    pub(crate) data_centre: DataCentre,
}

/// Fetches the manifests of `parts` and sends the layout, and each trouble on the way.
pub(crate) async fn fetch<O>(
    givers: Givers<O>,
    parts: Vec<ModelRef>,
    generation: Generation,
    notes: mpsc::Sender<Note>,
) where
    O: Origin,
{
    let mut manifests = Vec::with_capacity(parts.len());
    for part in &parts {
        manifests.push(fetch_one(&givers, part, generation, &notes).await);
    }
    let layout = Layout::new(Bundle { parts: manifests });
    let note = Note::Layout { generation, layout };
    // The driver is gone if nobody listens; then nobody wants the layout.
    let _ = notes.send(note).await;
}

/// Fetches one manifest, again and again until it is there.
async fn fetch_one<O>(
    givers: &Givers<O>,
    part: &ModelRef,
    generation: Generation,
    notes: &mpsc::Sender<Note>,
) -> Manifest
where
    O: Origin,
{
    let mut pause = PAUSES.0;
    loop {
        match givers.origin.manifest(part).await {
            Ok(manifest) => return manifest,
            Err(err) => {
                // What the origin says it lacks is not to be had past it.
                if err.status() != Some(StatusCode::NOT_FOUND)
                    && let Some(manifest) = givers.ask_peers(part).await
                {
                    return manifest;
                }
                let text = format!("no manifest of {part}: {err}");
                let _ = notes.send(Note::NoManifest { generation, text }).await;
                tokio::time::sleep(stretched(pause, &err)).await;
                pause = (pause * 2).min(PAUSES.1);
            }
        }
    }
}

impl<O> Givers<O> {
    /// Asks some peers, those of the own data centre first, for the manifest of weights that they
    /// hold whole and verified.
    async fn ask_peers(&self, part: &ModelRef) -> Option<Manifest> {
        for peer in self.some_peers() {
            let asked = HttpOrigin::new(peer.data).with_stall_timeout(PEER_STALL);
            if let Ok(manifest) = asked.manifest(part).await {
                let part = part.to_string();
                events::PEER_MANIFEST.emit(&[("part", &part), ("vm", &peer.vm)]);
                return Some(manifest);
            }
        }
        None
    }

    fn some_peers(&self) -> Vec<VmEntry> {
        let mut peers = self.peers.borrow().clone();
        peers.shuffle(&mut rand::rng());
        peers.sort_by_key(|peer| peer.data_centre != self.data_centre);
        peers.truncate(PEERS_ASKED);
        peers
    }
}

/// Adds jitter to a pause, after what the origin asked for, so that no VM is early and not all
/// come at once.
fn stretched(pause: Duration, err: &PlatformError) -> Duration {
    let asked = err.retry_after().unwrap_or_default();
    let jitter = rand::rng().random_range(0.5..1.5);
    asked + pause.mul_f64(jitter)
}
