//! Asks for manifests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use wagtailreel_fleet::{ModelName, Registry, WeightsVersion};

use crate::manifest::ChunkManifest;
use crate::origin::ChunkOrigin;
use crate::process::Surroundings;
use crate::{events, fetch, peers};

/// Pause before a manifest is asked for again.
const MANIFEST_PAUSE: Duration = Duration::from_millis(200);

/// Agents that are asked for a manifest before the origin is.
const MANIFEST_PEERS: usize = 3;

/// Asks other agents and then the origin for a manifest.
pub(crate) async fn ask_manifest<R, E, O>(
    cx: Arc<Surroundings<R, E, O>>,
    model: ModelName,
    version: Option<WeightsVersion>,
    origin: Option<SocketAddr>,
) -> Option<Arc<ChunkManifest>>
where
    R: Registry,
    O: ChunkOrigin,
{
    let mut peers_known = fetch::list_peers(&cx).await.unwrap_or_default();
    // Those near first: the bytes of another data centre are dear.
    peers_known.sort_by_key(|peer| peer.data_centre != cx.settings.data_centre);
    for peer in peers_known.iter().take(MANIFEST_PEERS) {
        if let Some(manifest) = peers::manifest(&cx.client, peer.data, &model, version).await {
            return Some(Arc::new(manifest));
        }
    }
    let reason = match origin {
        None => "no origin is known".to_owned(),
        Some(origin) => match cx.origin.manifest(origin, &model, version).await {
            Ok(manifest) => return Some(Arc::new(manifest)),
            Err(trouble) => trouble.to_string(),
        },
    };
    events::MANIFEST_MISSING.emit(&[("model", &model), ("reason", &reason)]);
    tokio::time::sleep(MANIFEST_PAUSE).await;
    None
}
