//! The upstreams of one service: the known state of each, and the choice of one for a request.

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::time::{Duration, Instant};

use wagtailreel_core::{DataCentre, Region};
use wagtailreel_fleet::{LoadStatus, Upstream, UpstreamId, UpstreamStart};

use super::announcements::Announcements;
use super::capacity;
use super::correction::Correction;
use super::member::{Estimate, LoadSource, Member};
use super::pick::{Candidate, Pick, Rank, Requirements, Unavailable};
use super::prompt_cache::{self, PromptCache};

/// First duration of an ejection after consecutive failures. The duration doubles with each further failure.
const MIN_EJECTION: Duration = Duration::from_millis(500);

/// Longest duration of an ejection. A recovered upstream is used again within this time.
const MAX_EJECTION: Duration = Duration::from_secs(4);

/// Consecutive failures after which an upstream is ejected. A single failure is usual where an upstream
/// rejects some requests by itself.
const EJECT_AFTER_FAILURES: u32 = 2;

/// Requests that an entry keeps at an upstream with a suspect link. Eight such entries fill one batch of 16.
const MAX_SUSPECT_LINK_REQUESTS: u32 = 2;

/// How long the answer of the agent of a remote upstream confirms its load. Local agents report each request
/// at once. Remote agents are polled twice a second, in which time an engine accepts five requests.
///
/// Unsolicited reports of remote agents are unconfirmed from the start, because all entries receive them at
/// the same moment. Without this, an engine that had just loaded got 30 requests for its 12 slots in 53 ms,
/// and of the first 530 requests at 66 such engines 216 began late.
const ANSWER_TTL: Duration = Duration::from_millis(50);

/// Requests that may wait at a full upstream of a plain service, whose answer times cannot be predicted.
const PLAIN_QUEUE_DEPTH: u32 = 1;

/// The upstreams of one service.
///
/// Invariant: an upstream that drains, said so, or is gone is never chosen, not even for a request that waited for an
/// upstream.
#[derive(Clone, Debug)]
pub struct Upstreams {
    data_centre: DataCentre,
    region: Region,
    regions: BTreeMap<DataCentre, Region>,
    pub(super) evacuated: BTreeSet<DataCentre>,
    pub(super) members: BTreeMap<UpstreamId, Member>,
    pub(super) announcements: Announcements,
    correction: Correction,
    /// What engines are assumed to hold of prompts, if that is enabled.
    pub(super) prompt_cache: Option<PromptCache>,
    turn: u64,
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

    /// Chooses an upstream for a request.
    ///
    /// An upstream that is expected to begin the request in time comes first. Among those, upstreams of the
    /// own data centre come before those of its region and others, because a remote request uses narrow
    /// links. If one of them is assumed to hold a part of the prompt, the earliest first event comes next. Then
    /// come the shortest prefill and the lowest load. Equal upstreams take turns.
    ///
    /// # Errors
    ///
    /// Returns the [`Unavailable`] reason if no upstream can take the request now.
    pub fn choose(&mut self, needs: &Requirements<'_>, now: Instant) -> Result<Pick, Unavailable> {
        let mut reason = Unavailable::NoUpstream;
        let mut candidates: Vec<Candidate> = Vec::new();
        self.turn = self.turn.wrapping_add(1);
        let count = self.members.len().max(1) as u64;
        let estimate = self.estimate(needs, now);
        for (position, member) in self.members.values().enumerate() {
            let candidate = match self.candidate(member, needs, estimate, now) {
                Ok(candidate) => candidate,
                Err(lack) => {
                    reason = reason.max_with(lack);
                    continue;
                }
            };
            let turn = (position as u64).wrapping_add(self.turn) % count;
            candidates.push(Candidate {
                rank: Rank {
                    turn,
                    ..candidate.rank
                },
                ..candidate
            });
        }
        let weighs_held = candidates.iter().any(|it| it.pick.held_tokens > 0);
        if let Some(engine) = needs.engine.filter(|_| weighs_held) {
            for candidate in &mut candidates {
                let expected = candidate.pick.expected.unwrap_or_default();
                candidate.rank.first_event_steps = prompt_cache::steps(engine, expected);
            }
        }
        let best = candidates.into_iter().min_by_key(|it| it.rank);
        best.map(|it| it.pick).ok_or(reason)
    }

    /// Returns the estimate for engines without a fresh report. Plain services have no agents that report, so
    /// there is no estimate for them.
    pub(super) fn estimate(&self, needs: &Requirements<'_>, now: Instant) -> Option<Estimate> {
        needs.engine.and_then(|_| Estimate::of(self.members(), now))
    }

    /// Returns `member` as a candidate for a request, or the reason why it cannot take the request.
    pub(super) fn candidate(
        &self,
        member: &Member,
        needs: &Requirements<'_>,
        estimate: Option<Estimate>,
        now: Instant,
    ) -> Result<Candidate, Unavailable> {
        if !member.accepts_new(now) || needs.tried.contains(&member.upstream.id) {
            return Err(Unavailable::NoUpstream);
        }
        if let Some(restriction) = self.restriction(&member.upstream.data_centre, needs) {
            return Err(restriction.into());
        }
        if member.blocked_time(now) > Duration::ZERO {
            return Err(Unavailable::Full);
        }
        let version = match needs.model {
            None => None,
            Some(model) => Some(member.serves(model, needs.least_version, now)?),
        };
        let (in_flight, source) = member.estimated_in_flight(estimate, now);
        let slots = member.upstream.slots.max(1);
        let is_queued = in_flight >= slots;
        let engine = needs.engine;
        let prediction = engine.map(|engine| member.predict(engine, estimate, now));
        let held_tokens = self.held_tokens(member, needs, version, now);
        let prompt = needs.prompt - held_tokens;
        let expected = prediction.map(|it| it.first_event(prompt));
        let likely = |expected| self.likely(is_queued, expected, now);
        let is_late = expected.map_or(is_queued, |expected| likely(expected) > needs.objective);
        let is_full = match &prediction {
            Some(it) if member.is_memory_short(it.model, needs.prompt, now) => true,
            Some(it) => {
                let has_report = source == LoadSource::Agent;
                capacity::is_full(it, prompt, needs.objective, is_queued, has_report, likely)
            }
            None => in_flight >= slots.saturating_add(PLAIN_QUEUE_DEPTH),
        };
        let distance = self.distance(&member.upstream.data_centre);
        let is_unconfirmed =
            distance > 0 && needs.engine.is_some() && !member.answered_within(ANSWER_TTL, now);
        let lacks_answer = |since| is_unconfirmed && !member.answered_since(since);
        if needs.reported_since.is_some_and(lacks_answer) {
            return Err(Unavailable::Full);
        }
        let is_link_suspect = member.is_link_suspect(now);
        if is_full || (is_link_suspect && member.own_in_flight >= MAX_SUSPECT_LINK_REQUESTS) {
            return Err(Unavailable::Full);
        }
        let rank = Rank {
            is_link_suspect,
            is_late,
            is_risky: expected
                .is_some_and(|it| likely(it) > capacity::safe_objective(needs.objective)),
            distance,
            first_event_steps: 0,
            prefill_steps: needs
                .engine
                .map_or(0, |engine| member.prefill_step(engine, estimate, now)),
            load: match engine {
                Some(_) => u64::from(in_flight) * 1000 / u64::from(slots),
                None => member.paced_load(in_flight, now),
            },
            turn: 0,
        };
        let pick = Pick {
            id: member.upstream.id.clone(),
            started: member.upstream.started,
            addr: member.upstream.addr,
            data_centre: member.upstream.data_centre.clone(),
            version,
            in_flight,
            source,
            distance,
            expected,
            is_queued,
            is_unconfirmed,
            held_tokens,
        };
        Ok(Candidate { rank, pick })
    }

    /// Returns the time within which a first event predicted after `expected` is likely to come.
    pub(super) fn likely(&self, is_queued: bool, expected: Duration, now: Instant) -> Duration {
        self.correction.apply(is_queued, expected, now)
    }

    fn distance(&self, data_centre: &str) -> u8 {
        if data_centre == self.data_centre {
            return 0;
        }
        let region = self.region_of(data_centre);
        if region == Some(&self.region) { 1 } else { 2 }
    }

    /// Returns the region of `data_centre`, if the settings list it.
    pub(super) fn region_of(&self, data_centre: &str) -> Option<&Region> {
        self.regions.get(data_centre)
    }

    fn prune(&mut self) {
        self.members
            .retain(|_, member| !member.is_gone || member.own_in_flight > 0);
        if let Some(cache) = &mut self.prompt_cache {
            cache.retain(|id| self.members.contains_key(id));
        }
    }
}
