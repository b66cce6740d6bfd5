//! Fetches the manifests of a bundle, however long it takes.

use std::time::Duration;

use rand::RngExt as _;
use tokio::sync::mpsc;
use wagtailreel_core::{Bundle, Manifest, ModelRef};
use wagtailreel_platform::{Origin, PlatformError};

use crate::current::{Generation, Note};
use crate::layout::Layout;

/// First and longest pause after a manifest could not be had.
const PAUSES: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(5));

/// Fetches the manifests of `parts` and sends the layout, and each trouble on the way.
pub(crate) async fn fetch<O>(
    origin: O,
    parts: Vec<ModelRef>,
    generation: Generation,
    notes: mpsc::Sender<Note>,
) where
    O: Origin,
{
    let mut manifests = Vec::with_capacity(parts.len());
    for part in &parts {
        manifests.push(fetch_one(&origin, part, generation, &notes).await);
    }
    let layout = Layout::new(Bundle { parts: manifests });
    let note = Note::Layout { generation, layout };
    // The driver is gone if nobody listens; then nobody wants the layout.
    let _ = notes.send(note).await;
}

/// Fetches one manifest, again and again until it is there.
async fn fetch_one<O>(
    origin: &O,
    part: &ModelRef,
    generation: Generation,
    notes: &mpsc::Sender<Note>,
) -> Manifest
where
    O: Origin,
{
    let mut pause = PAUSES.0;
    loop {
        match origin.manifest(part).await {
            Ok(manifest) => return manifest,
            Err(err) => {
                let text = format!("no manifest of {part}: {err}");
                let _ = notes.send(Note::NoManifest { generation, text }).await;
                tokio::time::sleep(stretched(pause, &err)).await;
                pause = (pause * 2).min(PAUSES.1);
            }
        }
    }
}

/// Adds jitter to a pause, after what the origin asked for, so that no VM is early and not all
/// come at once.
fn stretched(pause: Duration, err: &PlatformError) -> Duration {
    let asked = err.retry_after().unwrap_or_default();
    let jitter = rand::rng().random_range(0.5..1.5);
    asked + pause.mul_f64(jitter)
}
