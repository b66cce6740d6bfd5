//! Processes that entries turn to with what concerns all of them: the same ones at each entry. These are
//! agents, or in a fleet without any the entries that the settings name as seeds.

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;

use wagtailreel_core::{DataCentre, rank_score};
use wagtailreel_route::direct::{ISSUER_SHARES, Pick};

use crate::view::View;

/// Agents of a data centre at which what entries tell of a matter meets. One may be gone.
const MEETING_AGENTS: usize = 2;

impl View {
    /// Returns the VMs whose agents all entries tell of the matter `key`: in each data centre the first by
    /// rendezvous rank, so that entries that never heard of each other tell the same ones.
    pub(crate) fn meeting_agents(&self, key: &[u8]) -> Vec<IpAddr> {
        let mut ranked: BTreeMap<DataCentre, BTreeSet<(u64, IpAddr)>> = BTreeMap::new();
        for (data_centre, ip) in self.agents() {
            let ranked = ranked.entry(data_centre).or_default();
            ranked.insert((rank_score(key, &ip.to_string()), ip));
        }
        let first = |ranked: BTreeSet<(u64, IpAddr)>| ranked.into_iter().rev().take(MEETING_AGENTS);
        let ips = ranked.into_values().flat_map(first);
        ips.map(|(_, ip)| ip).collect()
    }

    /// Returns the VMs whose agents give permits for an upstream, the same for all entries: the one beside
    /// an engine, then those of its data centre by rank, then any.
    pub(crate) fn permit_givers(&self, pick: &Pick, is_engine: bool) -> Vec<IpAddr> {
        let own = Some(pick.addr.ip()).filter(|_| is_engine);
        let rank = |(data_centre, ip): (DataCentre, IpAddr)| {
            let is_near = data_centre == pick.data_centre;
            (is_near, rank_score(pick.id.as_bytes(), &ip.to_string()), ip)
        };
        let others: BTreeSet<_> = self.agents().into_iter().map(rank).collect();
        let others = others.into_iter().rev().map(|(_, _, ip)| ip);
        let others = others.filter(|ip| Some(*ip) != own);
        own.into_iter()
            .chain(others)
            .take(ISSUER_SHARES.len())
            .collect()
    }

    /// Says whether any engine is registered, beside which an agent stands.
    pub(crate) fn has_agents(&self) -> bool {
        self.engine_services().into_iter().any(|(service, _)| {
            let upstreams = service.upstreams();
            upstreams.members().next().is_some()
        })
    }

    /// Returns the VMs that have agents: those of the engines, or the seeds where there are none.
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
