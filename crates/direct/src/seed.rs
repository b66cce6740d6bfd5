//! The tasks of a seed entry in a fleet without agents: the seed issues permits to other entries, and relays
//! crash reports between them, of requests during which upstreams ended.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use wagtailreel_fleet::{CrashReport, Datagram, PermitRequest, Query, WarmupPermitRequest};
use wagtailreel_route::direct::{Permits, WarmupPermits};

use crate::agents::Agents;
use crate::quarantine_sync::QuarantineSync;
use crate::view::View;

/// How long an entry gets crash reports after its last query. Covers several query intervals.
const SUBSCRIPTION_TTL: Duration = Duration::from_secs(3);

/// Maximum number of subscribed entries: those of the largest fleet, and entries that were replaced lately.
const MAX_SUBSCRIBERS: usize = 1024;

/// An entry that gets crash reports.
#[derive(Clone, Copy, Debug)]
struct Subscriber {
    /// When it last sent a query.
    at: Instant,
    /// The round of that query.
    round: u32,
}

/// Relays crash reports and issues permits in a fleet without agents. An entry that is no seed uses it only
/// to query the seeds.
#[derive(Debug)]
pub(crate) struct SeedRelay {
    view: Arc<View>,
    agents: Agents,
    quarantine: Arc<QuarantineSync>,
    subscribers: BTreeMap<SocketAddr, Subscriber>,
    permits: Permits,
    warmup_permits: WarmupPermits,
}

impl SeedRelay {
    pub(crate) fn new(view: Arc<View>, agents: Agents, quarantine: Arc<QuarantineSync>) -> Self {
        Self {
            view,
            agents,
            quarantine,
            subscribers: BTreeMap::new(),
            permits: Permits::default(),
            warmup_permits: WarmupPermits::new(Instant::now()),
        }
    }

    /// Sends the seeds a query for crash reports, which renews the subscription, if the fleet has no agents.
    pub(crate) fn query_seeds(&self, round: u32) {
        if self.view.has_agents() {
            return;
        }
        for ip in self.view.seeds() {
            let query = Query {
                nonce: round,
                ..Query::default()
            };
            self.agents.send(*ip, query);
        }
    }

    /// Handles the query of an entry. A new subscriber may have missed reports, so that it gets all of them.
    /// So may one whose process has started again since its last query.
    pub(crate) fn handle_query(&mut self, query: &Query, from: SocketAddr) {
        let before = self.subscribers.get(&from).copied();
        if before.is_none() && self.subscribers.len() >= MAX_SUBSCRIBERS {
            return;
        }
        let subscriber = Subscriber {
            at: Instant::now(),
            round: query.nonce,
        };
        self.subscribers.insert(from, subscriber);
        if before.is_none_or(|before| query.nonce <= before.round) {
            self.agents.send_reports_to(from, &self.quarantine.all());
        }
    }

    /// Handles crash reports of a process, which may be this one, and relays those that are new.
    pub(crate) fn handle_crash_reports(&self, reports: &[CrashReport], from: SocketAddr) {
        let is_own = self.agents.is_own(from);
        let new = self.quarantine.merge(reports, is_own);
        if new.is_empty() || self.subscribers.is_empty() {
            return;
        }
        let mut reports = self.quarantine.all();
        reports.retain(|report| new.contains(&report.fingerprint));
        self.relay(&reports, Some(from));
    }

    /// Answers a request for a permit to send to an upstream with a rate limit.
    pub(crate) fn issue_permit(&mut self, ask: &PermitRequest, from: SocketAddr) {
        if let Some(permit) = self.permits.answer(ask, Instant::now()) {
            self.agents.send_to(from, &Datagram::Permit(permit));
        }
    }

    /// Answers a request for a permit to send to an upstream that may be cold.
    pub(crate) fn issue_warmup_permit(&mut self, req: &WarmupPermitRequest, from: SocketAddr) {
        let (permits, named) = (&mut self.warmup_permits, &mut self.permits);
        let permit = permits.answer(req, from, named, Instant::now());
        self.agents.send_to(from, &Datagram::Permit(permit));
    }

    /// Sends recent crash reports again, since datagrams may be lost.
    pub(crate) fn resend_recent(&mut self) {
        let now = Instant::now();
        self.subscribers
            .retain(|_, it| now.saturating_duration_since(it.at) <= SUBSCRIPTION_TTL);
        if !self.subscribers.is_empty() {
            self.relay(&self.quarantine.recent_reports(), None);
        }
    }

    fn relay(&self, reports: &[CrashReport], from: Option<SocketAddr>) {
        for subscriber in self
            .subscribers
            .keys()
            .filter(|subscriber| Some(**subscriber) != from)
        {
            self.agents.send_reports_to(*subscriber, reports);
        }
    }
}
