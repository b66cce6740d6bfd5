//! The upstreams of one service: the known state of each.

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::time::{Duration, Instant};

use wagtailreel_core::{DataCentre, Region};
use wagtailreel_fleet::{LoadStatus, Upstream, UpstreamId, UpstreamStart};

use super::announcements::Announcements;
use super::choice::PLAIN_QUEUE_DEPTH;
use super::correction::Correction;
use super::member::Member;
use super::pick::Pick;
use super::prompt_cache::PromptCache;

/// First duration of an ejection after consecutive failures. The duration doubles with each further failure.
const MIN_EJECTION: Duration = Duration::from_millis(500);

/// Longest duration of an ejection. A recovered upstream is used again within this time.
const MAX_EJECTION: Duration = Duration::from_secs(4);

/// Consecutive failures after which an upstream is ejected. A single failure is usual where an upstream
/// rejects some requests by itself.
const EJECT_AFTER_FAILURES: u32 = 2;

/// The upstreams of one service.
///
/// Invariant: an upstream that drains, said so, or is gone is never chosen, not even for a request that waited for an
/// upstream.
#[derive(Clone, Debug)]
pub struct Upstreams {
    pub(super) data_centre: DataCentre,
    pub(super) region: Region,
    pub(super) regions: BTreeMap<DataCentre, Region>,
    pub(super) evacuated: BTreeSet<DataCentre>,
    pub(super) members: BTreeMap<UpstreamId, Member>,
    pub(super) announcements: Announcements,
    pub(super) correction: Correction,
    /// What engines are assumed to hold of prompts, if that is enabled.
    pub(super) prompt_cache: Option<PromptCache>,
    pub(super) turn: u64,
}

impl Upstreams {
    /// Creates an empty set for an entry in `data_centre`.
    pub fn new(data_centre: DataCentre, regions: BTreeMap<DataCentre, Region>) -> Self {
        let region = regions.get(&data_centre).cloned().unwrap_or_default();
        Self {
            data_centre,
            region,
            regions,
            evacuated: BTreeSet::new(),
            members: BTreeMap::new(),
            announcements: Announcements::default(),
            correction: Correction::default(),
            prompt_cache: None,
            turn: 0,
        }
    }

    /// Applies the registry record of an upstream. Returns whether its state or weights changed.
    pub fn update(&mut self, upstream: Upstream) -> bool {
        let addr = upstream.addr;
        let id = upstream.id.clone();
        let changed = match self.members.get_mut(&upstream.id) {
            // The record is older than the restart that is known already.
            Some(member) if member.is_older_start(upstream.started) => return false,
            Some(member) if member.is_restart(upstream.started) => {
                *member = Member::new(upstream);
                true
            }
            Some(member) => {
                let changed = member.upstream.state != upstream.state
                    || member.upstream.models != upstream.models;
                member.upstream = upstream;
                member.is_gone = false;
                changed
            }
            None => {
                let announced = self.announcements.of(&id, upstream.started);
                let member = Member {
                    announced,
                    ..Member::new(upstream)
                };
                self.members.insert(id.clone(), member);
                true
            }
        };
        if changed {
            // An address belongs to the upstream that registered it last.
            for member in self.members.values_mut() {
                member.is_gone |= member.upstream.addr == addr && member.upstream.id != id;
            }
            self.prune();
        }
        changed
    }

    /// Records that an upstream is no longer registered. Returns whether it was known.
    pub fn remove(&mut self, id: &str) -> bool {
        let Some(member) = self.members.get_mut(id) else {
            return false;
        };
        member.is_gone = true;
        self.prune();
        true
    }

    /// Records that the agent of the engine at `ip` was polled.
    pub fn asked(&mut self, ip: IpAddr, now: Instant) {
        for member in self.members.values_mut() {
            if member.upstream.addr.ip() == ip {
                member.poll_pending_since.get_or_insert(now);
            }
        }
    }

    /// Applies the load report of the agent of the engine at `ip`. `rtt` is the round trip time if this entry
    /// polled the agent. Returns whether the weights changed.
    pub fn status(
        &mut self,
        ip: IpAddr,
        status: &LoadStatus,
        rtt: Option<Duration>,
        now: Instant,
    ) -> bool {
        let members = self.members.values_mut();
        let Some(member) = members
            .filter(|member| !member.is_gone)
            .find(|member| member.upstream.addr.ip() == ip)
        else {
            return false;
        };
        let Some(changed) = member.apply_status(status, now) else {
            return false;
        };
        member.poll_pending_since = None;
        if let Some(rtt) = rtt {
            member.rtt = rtt;
            member.answered_at = Some(now);
        }
        changed
    }

    /// Records that the agent on the VM `ip` answered an extra poll of this entry, whose round trip time is
    /// not known.
    pub fn answered_by(&mut self, ip: IpAddr, now: Instant) {
        for member in self.members.values_mut() {
            if member.upstream.addr.ip() == ip {
                member.answered_at = Some(now);
            }
        }
    }

    /// Applies the load that an upstream reported with an answer.
    pub fn load(&mut self, id: &str, total: u32, now: Instant) {
        if let Some(member) = self.members.get_mut(id)
            && member.fresh_status(now).is_none()
        {
            member.apply_load(total, now);
        }
    }

    /// Records that an upstream answered that it is full.
    pub fn full(&mut self, id: &str, now: Instant) {
        if let Some(member) = self.members.get_mut(id) {
            let slots = member.upstream.slots.saturating_add(PLAIN_QUEUE_DEPTH);
            member.apply_load(slots.max(member.own_in_flight), now);
        }
    }

    /// Records an attempt that failed because of the upstream. Returns the duration of the ejection, or
    /// `None` if the upstream is not ejected.
    pub fn failed(&mut self, id: &str, now: Instant) -> Option<Duration> {
        let member = self.members.get_mut(id)?;
        member.failures = member.failures.saturating_add(1);
        let over = member.failures.checked_sub(EJECT_AFTER_FAILURES)?;
        let ejection = MIN_EJECTION
            .saturating_mul(1 << over.min(8))
            .min(MAX_EJECTION);
        member.ejected_until = Some(now + ejection);
        Some(ejection)
    }

    /// Records that an upstream answered, which ends its ejection.
    pub fn answered(&mut self, id: &str) {
        if let Some(member) = self.members.get_mut(id) {
            member.failures = 0;
            member.ejected_until = None;
        }
    }

    /// Ejects an upstream whose address belongs to another one, or which holds other weights than expected.
    pub fn misdirected(&mut self, id: &str, now: Instant) {
        if let Some(member) = self.members.get_mut(id) {
            member.ejected_until = Some(now + MIN_EJECTION);
        }
    }

    /// Counts a request with a prompt of `tokens` that is sent to an upstream. Returns the start of the
    /// upstream that the request is counted for.
    pub fn started(&mut self, id: &str, tokens: u32) -> UpstreamStart {
        let Some(member) = self.members.get_mut(id) else {
            return 0;
        };
        member.own_in_flight = member.own_in_flight.saturating_add(1);
        member.own_prefill_tokens = member.own_prefill_tokens.saturating_add(tokens);
        member.upstream.started
    }

    /// Adds the prefill time of a request that was just counted.
    pub fn add_prefill(&mut self, id: &str, prefill_time: Duration, now: Instant) {
        if let Some(member) = self.members.get_mut(id) {
            member.prefill_queue.add(prefill_time, now);
        }
    }

    /// Records that the prefill of a prompt of `tokens` is over: its answer has begun, or never will.
    pub fn prefilled(&mut self, id: &str, start: UpstreamStart, tokens: u32) {
        if let Some(member) = self.same_start(id, start) {
            member.own_prefill_tokens = member.own_prefill_tokens.saturating_sub(tokens);
        }
    }

    /// Records that a request is over at an upstream.
    pub fn finished(&mut self, id: &str, start: UpstreamStart) {
        if let Some(member) = self.same_start(id, start) {
            member.own_in_flight = member.own_in_flight.saturating_sub(1);
        }
        self.prune();
    }

    /// Returns the member unless it restarted after `start`: requests sent before a restart no longer count.
    fn same_start(&mut self, id: &str, start: UpstreamStart) -> Option<&mut Member> {
        let member = self.members.get_mut(id)?;
        (member.upstream.started == start).then_some(member)
    }

    /// Records that the first event of a request came `seen` after it was sent to `pick`.
    pub fn record_first_event(&mut self, pick: &Pick, seen: Duration, now: Instant) {
        if let Some(expected) = pick.expected {
            self.correction.learn(pick.is_queued, expected, seen, now);
        }
    }

    /// Returns the registered members.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|member| !member.is_gone)
    }

    /// Returns whether `id` is registered and not leaving. Checked again just before a request is sent.
    pub fn may_send(&self, id: &str) -> bool {
        self.members.get(id).is_some_and(Member::is_ready)
    }

    fn prune(&mut self) {
        self.members
            .retain(|_, member| !member.is_gone || member.own_in_flight > 0);
        if let Some(cache) = &mut self.prompt_cache {
            cache.retain(|id| self.members.contains_key(id));
        }
    }
}
