//! Choice of the processes that coordinate entries, the same at each entry: agents, or the seeds of the
//! settings in a fleet without agents.

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;

use wagtailreel_core::{DataCentre, rank_score};
use wagtailreel_route::direct::{ISSUER_SHARES, Pick};

use crate::view::View;

/// Agents per data centre that get the reports on one key, so that one of them may be unreachable.
const RENDEZVOUS_AGENTS: usize = 2;

impl View {
    /// Returns the VMs whose agents get the reports of all entries on `key`: in each data centre the first
    /// by rendezvous rank, so that entries that don't know of each other report to the same agents.
    pub(crate) fn rendezvous_agents(&self, key: &[u8]) -> Vec<IpAddr> {
        let mut ranked: BTreeMap<DataCentre, BTreeSet<(u64, IpAddr)>> = BTreeMap::new();
        for (data_centre, ip) in self.agents() {
            let ranked = ranked.entry(data_centre).or_default();
            ranked.insert((rank_score(key, &ip.to_string()), ip));
        }
        let first =
            |ranked: BTreeSet<(u64, IpAddr)>| ranked.into_iter().rev().take(RENDEZVOUS_AGENTS);
        let ips = ranked.into_values().flat_map(first);
        ips.map(|(_, ip)| ip).collect()
    }

    /// Returns the VMs whose agents issue permits for an upstream, the same for all entries: the agent
    /// beside an engine first, then the agents of its data centre by their rank for `key`, then any other.
    pub(crate) fn permit_issuers(&self, pick: &Pick, key: &[u8], is_engine: bool) -> Vec<IpAddr> {
        let own = Some(pick.addr.ip()).filter(|_| is_engine);
        let rank = |(data_centre, ip): (DataCentre, IpAddr)| {
            let is_near = data_centre == pick.data_centre;
            (is_near, rank_score(key, &ip.to_string()), ip)
        };
        let others: BTreeSet<_> = self.agents().into_iter().map(rank).collect();
        let others = others.into_iter().rev().map(|(_, _, ip)| ip);
        let others = others.filter(|ip| Some(*ip) != own);
        own.into_iter()
            .chain(others)
            .take(ISSUER_SHARES.len())
            .collect()
    }

    /// Returns whether the fleet has agents: whether any engine is registered, since each has an agent
    /// beside it.
    pub(crate) fn has_agents(&self) -> bool {
        self.engine_services().into_iter().any(|(service, _)| {
            let upstreams = service.upstreams();
            upstreams.members().next().is_some()
        })
    }

    /// Returns the VMs that have agents: those of the engines, or the seeds if there are no engines.
    fn agents(&self) -> BTreeSet<(DataCentre, IpAddr)> {
        let mut agents = BTreeSet::new();
        for (service, _) in self.engine_services() {
            for member in service.upstreams().members() {
                let upstream = &member.upstream;
                agents.insert((upstream.data_centre.clone(), upstream.addr.ip()));
            }
        }
        if agents.is_empty() {
            let seeds = self.seeds().iter();
            agents.extend(seeds.map(|ip| (DataCentre::default(), *ip)));
        }
        agents
    }
}
