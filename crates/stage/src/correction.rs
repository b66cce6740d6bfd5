//! Correction of a manifest that came with a wrong digest.
//!
//! A chunk that does not match its digest is usually corrupt, and is fetched again. If the same bytes come twice, the
//! digest is in doubt: agents take manifests from each other, so that a wrong digest would keep all of them from the
//! version. It is corrected if another copy of the manifest has the digest of these bytes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use wagtailreel_core::{ChunkIndex, Digest};

use crate::events;
use crate::manifest::ChunkManifest;
use crate::origin::ChunkOrigin;
use crate::peers;
use crate::process::AgentContext;

/// Agents that are asked for their copies before the origin is. The origin serves few callers at a time.
const MAX_PEERS: usize = 3;

/// Digests of the last bytes that were rejected, by chunk.
#[derive(Debug, Default)]
pub(crate) struct RejectedChunks {
    digests: BTreeMap<ChunkIndex, Digest>,
}

impl RejectedChunks {
    /// Records rejected bytes with `digest`. Returns whether the last ones of the chunk were the same.
    pub(crate) fn record(&mut self, chunk: ChunkIndex, digest: Digest) -> bool {
        self.digests.insert(chunk, digest) == Some(digest)
    }
}

/// Looks for a copy of `manifest` that has `digest` for `chunk`, at other agents and then at the origin. Returns the
/// manifest with that digest, and `None` if there is no such copy.
pub(crate) async fn correct<R, E, O>(
    cx: Arc<AgentContext<R, E, O>>,
    manifest: Arc<ChunkManifest>,
    chunk: ChunkIndex,
    digest: Digest,
    agents: Vec<SocketAddr>,
    origin: Option<SocketAddr>,
) -> Option<Arc<ChunkManifest>>
where
    O: ChunkOrigin,
{
    let (model, version) = (&manifest.model, Some(manifest.version));
    let is_corrected = |copy: &ChunkManifest| manifest.is_corrected_by(copy, chunk, digest);
    let mut giver = None;
    for agent in agents.into_iter().take(MAX_PEERS) {
        let copy = peers::manifest(&cx.client, agent, model, version).await;
        if copy.as_ref().is_some_and(is_corrected) {
            giver = Some(agent);
            break;
        }
    }
    if giver.is_none() {
        // Without an answer the chunk is fetched and rejected again, and the origin is asked again.
        let copy = cx.origin.manifest(origin?, model, version).await.ok()?;
        giver = origin.filter(|_| is_corrected(&copy));
    }
    events::MANIFEST_CORRECTED.emit(&[
        ("model", model),
        ("version", &manifest.version.to_string()),
        ("chunk", &chunk.to_string()),
        ("giver", &giver?.to_string()),
    ]);
    Some(Arc::new(manifest.with_digest(chunk, digest)))
}
