//! What an entry that others know as a seed does for them in a fleet without agents: it gives permits, and
//! relays what entries tell of requests under which upstreams end.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use wagtailreel_fleet::{CrashReport, Datagram, PermitRequest, Query};
use wagtailreel_route::direct::Permits;

use crate::agents::Agents;
use crate::suspects::Suspects;
use crate::view::View;

/// How long an entry is told of requests without asking again: several of its questions.
const ASKER_FOR: Duration = Duration::from_secs(3);

/// Entries that are told of requests: the most that a fleet has, with room for those that were replaced.
const MOST_ASKERS: usize = 1024;

/// The seed's part in a fleet without agents. Entries that are no seeds only ask with it.
#[derive(Debug)]
pub(crate) struct SeedRelay {
    view: Arc<View>,
    agents: Agents,
    suspects: Arc<Suspects>,
    askers: BTreeMap<SocketAddr, Instant>,
    permits: Permits,
}

impl SeedRelay {
    pub(crate) fn new(view: Arc<View>, agents: Agents, suspects: Arc<Suspects>) -> Self {
        Self {
            view,
            agents,
            suspects,
            askers: BTreeMap::new(),
            permits: Permits::default(),
        }
    }

    /// Asks the seeds for what is known of requests, in a fleet without agents.
    pub(crate) fn ask_seeds(&self) {
        if self.view.has_agents() {
            return;
        }
        for ip in self.view.seeds() {
            self.agents.send(*ip, Query::default());
        }
    }

    /// Takes a question of an entry; one that may have missed something is told all.
    pub(crate) fn take_query(&mut self, from: SocketAddr) {
        let is_known = self.askers.contains_key(&from);
        if !is_known && self.askers.len() >= MOST_ASKERS {
            return;
        }
        self.askers.insert(from, Instant::now());
        if !is_known {
            self.agents.tell_one(from, &self.suspects.all());
        }
    }

    /// Takes what a process tells of requests, which may be this one, and relays what is news.
    pub(crate) fn take_accounts(&self, told: &[CrashReport], from: SocketAddr) {
        let is_own = self.agents.is_own(from);
        let news = self.suspects.hear(told, is_own);
        if news.is_empty() || self.askers.is_empty() {
            return;
        }
        let mut told = self.suspects.all();
        told.retain(|account| news.contains(&account.fingerprint));
        self.relay(&told, Some(from));
    }

    /// Answers a question for leave to send a request to an upstream that names a limit.
    pub(crate) fn give_permit(&mut self, ask: &PermitRequest, from: SocketAddr) {
        if let Some(permit) = self.permits.answer(ask, Instant::now()) {
            self.agents.send_to(from, &Datagram::Permit(permit));
        }
    }

    /// Relays again what was learned lately, for datagrams that were lost.
    pub(crate) fn relay_again(&mut self) {
        let now = Instant::now();
        self.askers
            .retain(|_, at| now.saturating_duration_since(*at) <= ASKER_FOR);
        if !self.askers.is_empty() {
            self.relay(&self.suspects.learned_lately(), None);
        }
    }

    fn relay(&self, told: &[CrashReport], from: Option<SocketAddr>) {
        for asker in self.askers.keys().filter(|asker| Some(**asker) != from) {
            self.agents.tell_one(*asker, told);
        }
    }
}
