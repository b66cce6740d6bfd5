//! Checks the digest of each whole part, as far as its chunks are there.

use std::sync::Arc;

use blake3::Hasher;
use bytes::Bytes;
use wagtailreel_core::{Digest, Manifest};

use crate::layout::Layout;
use crate::shared::Shared;

/// Waits for all chunks of `layout` and hashes each part along with them.
///
/// Parts of `known`, which are verified bundles, aren't hashed again. Returns what is wrong if
/// the digest of a part is not the manifest's.
pub(crate) async fn parts(
    shared: &Shared,
    layout: &Layout,
    known: &[Arc<Layout>],
) -> Result<(), String> {
    for manifest in &layout.bundle.parts {
        let is_known = known
            .iter()
            .any(|layout| layout.bundle.parts.contains(manifest));
        if !is_known {
            part(shared, manifest).await?;
        }
    }
    for chunk in &layout.chunks {
        wait_for(shared, &chunk.digest).await;
    }
    Ok(())
}

/// Hashes one part, chunk by chunk as they come.
async fn part(shared: &Shared, manifest: &Manifest) -> Result<(), String> {
    let mut hasher = Hasher::new();
    for meta in &manifest.chunks {
        let bytes = wait_for(shared, &meta.digest).await;
        let hashing = tokio::task::spawn_blocking(move || {
            hasher.update(&bytes);
            hasher
        });
        hasher = hashing
            .await
            .map_err(|err| format!("hashing was broken off ({err}): start the agent again"))?;
    }
    let digest = Digest::new(*hasher.finalize().as_bytes());
    if digest == manifest.digest {
        return Ok(());
    }
    Err(format!(
        "the chunks of {}@{} make digest {} and not {}: publish the weights again",
        manifest.name,
        manifest.version,
        digest.short(),
        manifest.digest.short()
    ))
}

/// Waits until a chunk is there.
async fn wait_for(shared: &Shared, digest: &Digest) -> Bytes {
    // Subscribed before the look, so that a chunk that comes in between isn't missed.
    let mut changes = shared.haves.subscribe();
    loop {
        if let Some(bytes) = shared.store.get(digest) {
            return bytes;
        }
        // The sender lives as long as `shared`.
        let _ = changes.changed().await;
    }
}
