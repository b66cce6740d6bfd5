//! What a seed does in place of agents, in a fleet without any: gives permits, and passes on what entries tell
//! of requests under which upstreams end.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use wagtailreel_fleet::{AskPermit, Datagram, EndedUnder, Query};
use wagtailreel_route::direct::Permits;

use crate::agents::Agents;
use crate::suspects::Suspects;
use crate::view::View;

/// How long an entry is told of requests without asking again: several of its questions.
const ASKER_FOR: Duration = Duration::from_secs(3);

/// Entries that are told of requests: the most that a fleet has, with room for those that were replaced.
const MOST_ASKERS: usize = 1024;

/// What a seed does in place of agents.
#[derive(Debug)]
pub(crate) struct InPlace {
    view: Arc<View>,
    agents: Agents,
    suspects: Arc<Suspects>,
    askers: BTreeMap<SocketAddr, Instant>,
    permits: Permits,
}

impl InPlace {
    pub(crate) fn new(view: Arc<View>, agents: Agents, suspects: Arc<Suspects>) -> Self {
        Self {
            view,
            agents,
            suspects,
            askers: BTreeMap::new(),
            permits: Permits::default(),
        }
    }

    /// Asks the seeds for what is known of requests, if they do what agents do elsewhere.
    pub(crate) fn ask_seeds(&self) {
        for ip in self.view.seeds_in_place() {
            self.agents.send(*ip, Query::default());
        }
    }

    /// Tells all askers again of requests that were learned of lately, for datagrams that were lost.
    pub(crate) fn tell_again(&mut self) {
        let now = Instant::now();
        self.askers
            .retain(|_, at| now.saturating_duration_since(*at) <= ASKER_FOR);
        if !self.askers.is_empty() {
            self.pass_on(&self.suspects.learned_lately(), None);
        }
    }

    /// Takes a question of an entry; one that may have missed something is told all.
    pub(crate) fn asked(&mut self, from: SocketAddr) {
        let is_known = self.askers.contains_key(&from);
        if !is_known && self.askers.len() >= MOST_ASKERS {
            return;
        }
        self.askers.insert(from, Instant::now());
        if !is_known {
            self.agents.tell_one(from, &self.suspects.all());
        }
    }

    /// Takes what an entry tells of requests, which may be this one, and tells the others what is news.
    pub(crate) fn told(&self, told: &[EndedUnder], from: SocketAddr) {
        let is_own = self.agents.is_own(from);
        let news = self.suspects.hear(told, is_own);
        self.pass_on(&news, Some(from));
    }

    /// Gives an entry leave to send a request to an upstream that names a limit.
    pub(crate) fn permit(&mut self, ask: &AskPermit, from: SocketAddr) {
        if let Some(permit) = self.permits.answer(ask, Instant::now()) {
            self.agents.send_to(from, &Datagram::Permit(permit));
        }
    }

    fn pass_on(&self, told: &[EndedUnder], from: Option<SocketAddr>) {
        for asker in self.askers.keys().filter(|asker| Some(**asker) != from) {
            self.agents.tell_one(*asker, told);
        }
    }
}
