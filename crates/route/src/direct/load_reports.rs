//! Load reports on remote upstreams that other entries relay.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::{Duration, Instant};

use wagtailreel_core::rank_score;
use wagtailreel_fleet::{LoadStatus, WeightsVersion};

use super::pick::Requirements;
use super::upstreams::Upstreams;

/// The load of an engine as its agent reported it.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadReport {
    /// The agent's report.
    pub status: LoadStatus,
    /// When the report came from the agent.
    pub received_at: Instant,
}

/// Load reports, by the addresses of the engines' VMs.
pub type LoadReports = BTreeMap<IpAddr, LoadReport>;

impl Upstreams {
    /// Returns the load reports on upstreams of `data_centre` that are no older than `oldest`.
    pub fn load_reports(&self, data_centre: &str, oldest: Duration, now: Instant) -> LoadReports {
        let members = self.members();
        let members = members.filter(|it| it.upstream.data_centre == data_centre);
        let heard = members.filter(|it| it.reported_within(oldest, now));
        let report = |member: &super::Member| {
            let (status, received_at) = member.status.clone()?;
            let ip = member.upstream.addr.ip();
            Some((
                ip,
                LoadReport {
                    status,
                    received_at,
                },
            ))
        };
        heard.filter_map(report).collect()
    }

    /// Merges load reports that another entry relays. Returns the newest version of the weights that an
    /// upstream of this service holds according to them.
    ///
    /// The reports cover the engines of all services, which serve other models. A later report that this
    /// entry received itself stays. A poll of this entry stays open, because a relayed report says nothing
    /// about the link from here.
    pub fn merge_load_reports(&mut self, load_reports: &LoadReports) -> Option<WeightsVersion> {
        let mut newest = None;
        for member in self.members.values_mut().filter(|it| !it.is_gone) {
            let Some(report) = load_reports.get(&member.upstream.addr.ip()) else {
                continue;
            };
            newest = newest.max(report.status.version);
            if !member.reported_since(report.received_at) {
                member.apply_status(&report.status, report.received_at);
            }
        }
        newest
    }

    /// Returns up to `max_count` upstreams whose load is unconfirmed and that may take a request, in a random
    /// order drawn from `ticket`.
    ///
    /// The random order keeps entries that overflow at the same moment from all polling the same few
    /// upstreams.
    pub fn unconfirmed(
        &self,
        needs: &Requirements<'_>,
        max_count: usize,
        ticket: u64,
        now: Instant,
    ) -> Vec<IpAddr> {
        let estimate = self.estimate(needs, now);
        let candidates = self.members.values();
        let candidates =
            candidates.filter_map(|member| self.candidate(member, needs, estimate, now).ok());
        let mut known: Vec<(bool, u64, IpAddr)> = candidates
            .filter(|candidate| candidate.pick.is_unconfirmed)
            .map(|candidate| {
                let score = rank_score(&ticket.to_be_bytes(), &candidate.pick.id);
                (candidate.rank.is_late, score, candidate.pick.addr.ip())
            })
            .collect();
        known.sort_unstable();
        known.truncate(max_count);
        known.into_iter().map(|(_, _, ip)| ip).collect()
    }

    /// Returns how many of `ips` have answered since `since`.
    pub fn answers_of(&self, ips: &[IpAddr], since: Instant) -> usize {
        let asked = self.members.values();
        let asked = asked.filter(|member| ips.contains(&member.upstream.addr.ip()));
        asked.filter(|member| member.answered_since(since)).count()
    }
}
