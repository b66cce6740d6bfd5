//! Lists the other agents of the same service from the registry.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use wagtailreel_core::{VmEntry, VmRole, VmState};
use wagtailreel_fleet::{Change, Registry, Topic, Upstream};

use crate::process::AgentContext;

/// How long the registry may take to list the upstreams.
const LIST_TIMEOUT: Duration = Duration::from_millis(600);

/// Returns the other agents of the same service from the registry, or the last known ones if the registry
/// does not answer in time.
pub(crate) async fn current_peers<R, E, O>(cx: &AgentContext<R, E, O>) -> Vec<VmEntry>
where
    R: Registry,
{
    let read = tokio::time::timeout(LIST_TIMEOUT, list_peers(cx)).await;
    let read = read.ok().flatten();
    read.unwrap_or_else(|| cx.peers.borrow().clone())
}

/// Reads the other agents of the same service from the registry, or returns `None` if it does not answer.
pub(crate) async fn list_peers<R, E, O>(cx: &AgentContext<R, E, O>) -> Option<Vec<VmEntry>>
where
    R: Registry,
{
    let snapshot = cx.registry.newest(Topic::Upstreams, LIST_TIMEOUT).await;
    let snapshot = snapshot.ok()?;
    let upstreams = snapshot.items.into_iter().filter_map(|it| match it.change {
        Change::Upstream(upstream) => Some(upstream),
        _ => None,
    });
    let own = cx.settings.listen.ip();
    let peers = upstreams
        .filter(|it| it.service == cx.settings.service && it.addr.ip() != own)
        .map(|it| (it.addr.ip(), entry(&it, cx)));
    // Two starts of one engine have the same agent.
    let peers: BTreeMap<IpAddr, VmEntry> = peers.collect();
    let peers: Vec<VmEntry> = peers.into_values().collect();
    cx.peers.send_replace(peers.clone());
    Some(peers)
}

fn entry<R, E, O>(upstream: &Upstream, cx: &AgentContext<R, E, O>) -> VmEntry {
    let agent = SocketAddr::new(upstream.addr.ip(), cx.settings.listen.port());
    let regions = &cx.settings.regions;
    VmEntry {
        vm: upstream.addr.ip().to_string(),
        data_centre: upstream.data_centre.clone(),
        region: regions
            .get(&upstream.data_centre)
            .cloned()
            .unwrap_or_default(),
        role: VmRole::Upstream,
        // An engine that is leaving keeps running for a while, and so does its agent.
        state: VmState::Live,
        service: Some(upstream.service.clone()),
        control: agent,
        data: agent,
    }
}
