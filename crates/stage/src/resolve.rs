//! Requests manifests from other agents and the origin.

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

/// Time before a manifest is requested again.
const MANIFEST_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Agents of a data centre that request a manifest from the origin at the same time. With 75 agents that
/// all did, each also fetching chunks from the origin, the agents of one data centre got no answer for 20 s.
const MAX_ORIGIN_REQUESTERS: usize = 2;

/// Rounds in which an agent asks only other agents. After them the agent asks the origin too, in case the
/// agents that should do so fail.
const PEER_ROUNDS: u32 = 6;

/// Requests a manifest from other agents and then from the origin.
///
/// Returns `None` if the origin fails or is unknown.
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

/// Order in which agents are asked for a manifest. The order is the same for all agents of a data centre,
/// so that the agents that are asked first are those that ask the origin.
struct RequestOrder {
    /// Number of agents of the same data centre that ask the origin before this agent.
    ahead: usize,
    local: Vec<SocketAddr>,
    /// Agents of other data centres. Transfers between data centres are expensive, but a data centre whose
    /// agents get no answer from the origin has no other source.
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

    /// Returns the agents to ask in a round: those that ask the origin, one more of the same data centre,
    /// and one of another data centre.
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
