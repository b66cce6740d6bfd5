//! Asks for manifests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use wagtailreel_core::{VmEntry, rank_score};
use wagtailreel_fleet::{ModelName, Registry, WeightsVersion};
use wagtailreel_settings::StagingAgentSettings;

use crate::listing::current_peers;
use crate::manifest::ChunkManifest;
use crate::origin::ChunkOrigin;
use crate::process::AgentContext;
use crate::{events, peers};

/// Pause before a manifest is asked for again.
const MANIFEST_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Agents of the own data centre that ask the origin at once. Of 75 agents that all do, each with
/// chunks on the way from the origin too, those of one data centre got no answer for 20 s.
const MAX_ORIGIN_REQUESTERS: usize = 2;

/// Rounds in which an agent asks only others before it asks the origin in place of the first.
const PEER_ROUNDS: u32 = 6;

/// Asks other agents and then the origin for a manifest, until one has it or the origin fails.
pub(crate) async fn request_manifest<R, E, O>(
    cx: Arc<AgentContext<R, E, O>>,
    model: ModelName,
    version: Option<WeightsVersion>,
    origin: Option<SocketAddr>,
) -> Option<Arc<ChunkManifest>>
where
    R: Registry,
    O: ChunkOrigin,
{
    let peers = current_peers(&cx).await;
    let order = RequestOrder::new(&cx.settings, &peers, &model, version);
    let mut round = 0;
    loop {
        for peer in order.peers_in_round(round) {
            if let Some(manifest) = peers::manifest(&cx.client, peer, &model, version).await {
                return Some(Arc::new(manifest));
            }
        }
        if order.ahead < MAX_ORIGIN_REQUESTERS || round >= PEER_ROUNDS {
            break;
        }
        tokio::time::sleep(MANIFEST_RETRY_INTERVAL).await;
        round += 1;
    }
    let reason = match origin {
        None => "no origin is known".to_owned(),
        Some(origin) => match cx.origin.manifest(origin, &model, version).await {
            Ok(manifest) => return Some(Arc::new(manifest)),
            Err(error) => error.to_string(),
        },
    };
    events::MANIFEST_MISSING.emit(&[("model", &model), ("reason", &reason)]);
    tokio::time::sleep(MANIFEST_RETRY_INTERVAL).await;
    None
}

/// In which order agents are asked for a manifest; the same for all agents of a data centre, so that
/// those asked first are those that ask the origin.
struct RequestOrder {
    /// Agents of the own data centre that ask the origin before this one does.
    ahead: usize,
    local: Vec<SocketAddr>,
    /// Agents of other data centres. Their bytes are dear, but a data centre whose agents the origin
    /// does not answer has no other way.
    remote: Vec<SocketAddr>,
}

impl RequestOrder {
    fn new(
        settings: &StagingAgentSettings,
        peers: &[VmEntry],
        model: &str,
        version: Option<WeightsVersion>,
    ) -> Self {
        let key = format!("{model} {}", version.unwrap_or_default());
        let score = |vm: &str| rank_score(key.as_bytes(), vm);
        let own = score(&settings.listen.ip().to_string());
        let mut ranked: Vec<(u64, &VmEntry)> = peers.iter().map(|it| (score(&it.vm), it)).collect();
        ranked.sort_by_key(|(score, _)| std::cmp::Reverse(*score));
        let is_local = |peer: &VmEntry| peer.data_centre == settings.data_centre;
        let local = ranked.iter().filter(|(_, peer)| is_local(peer));
        let remote = ranked.iter().filter(|(_, peer)| !is_local(peer));
        Self {
            ahead: local.clone().filter(|(score, _)| *score > own).count(),
            local: local.map(|(_, peer)| peer.data).collect(),
            remote: remote.map(|(_, peer)| peer.data).collect(),
        }
    }

    /// Returns whom to ask in a round: those that ask the origin, one more, and one far away.
    fn peers_in_round(&self, round: u32) -> impl Iterator<Item = SocketAddr> + '_ {
        let round = round as usize;
        let first = self.local.iter().take(MAX_ORIGIN_REQUESTERS);
        let next_local = self
            .local
            .iter()
            .skip(MAX_ORIGIN_REQUESTERS + round)
            .take(1);
        let remote_peer = self.remote.iter().skip(round).take(1);
        first.chain(next_local).chain(remote_peer).copied()
    }
}
