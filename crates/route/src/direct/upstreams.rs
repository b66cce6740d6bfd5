//! The upstreams of one service: what is known of each, and which one a request goes to.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::{Duration, Instant};

use wagtailreel_core::{DataCentre, Region};
use wagtailreel_fleet::{LoadStatus, Upstream, UpstreamId, UpstreamStart, UpstreamState};

use super::capacity;
use super::correction::Correction;
use super::member::{Estimate, LoadSource, Member};
use super::pick::{Candidate, Pick, Rank, Requirements, Unavailable};
use super::stall::Liveness;

/// First time for which an upstream is passed over after failures in a row, doubled with each.
const MIN_EJECTION: Duration = Duration::from_millis(500);

/// Longest time for which an upstream is passed over. One that is well again is noticed within it.
const MAX_EJECTION: Duration = Duration::from_secs(4);

/// Failures in a row after which an upstream is passed over. A single one is usual where an
/// upstream fails some requests of its own accord.
const EJECT_AFTER_FAILURES: u32 = 2;

/// Requests that an entry keeps at an upstream whose link is in doubt. Eight entries fill one batch
/// of 16 if all do.
const MAX_SUSPECT_LINK_REQUESTS: u32 = 2;

/// How long the answer of an upstream abroad counts. Near ones tell of each request at once; far ones are asked
/// twice a second, in which time an engine takes five requests.
///
/// What they tell unasked is hearsay from the start: all entries hear it in the same moment. An engine that had
/// just loaded got 30 requests for its 12 slots in 53 ms, and of the first 530 at 66 such engines 216 began late.
const FRESH: Duration = Duration::from_millis(50);

/// Requests that may wait at a full upstream whose answers nobody can predict.
const QUEUE: u32 = 1;

/// The upstreams of one service.
///
/// Invariant: an upstream that drains or is gone is never chosen, also by a request that waited.
#[derive(Clone, Debug)]
pub struct Upstreams {
    data_centre: DataCentre,
    region: Region,
    regions: BTreeMap<DataCentre, Region>,
    pub(super) members: BTreeMap<UpstreamId, Member>,
    correction: Correction,
    turn: u64,
}

impl Upstreams {
    /// Makes the empty set of an entry in `data_centre`.
    pub fn new(data_centre: DataCentre, regions: BTreeMap<DataCentre, Region>) -> Self {
        let region = regions.get(&data_centre).cloned().unwrap_or_default();
        Self {
            data_centre,
            region,
            regions,
            members: BTreeMap::new(),
            correction: Correction::default(),
            turn: 0,
        }
    }

    /// Takes what an upstream says of itself; returns whether its state or weights changed.
    pub fn update(&mut self, upstream: Upstream) -> bool {
        let addr = upstream.addr;
        let id = upstream.id.clone();
        let changed = match self.members.get_mut(&upstream.id) {
            // Said before the restart that is known already.
            Some(member) if member.is_before(upstream.started) => return false,
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
                self.members.insert(id.clone(), Member::new(upstream));
                true
            }
        };
        if changed {
            // An address belongs to whoever registered it last.
            for member in self.members.values_mut() {
                member.is_gone |= member.upstream.addr == addr && member.upstream.id != id;
            }
            self.forget();
        }
        changed
    }

    /// Takes that an upstream is no longer registered; returns whether it was known.
    pub fn remove(&mut self, id: &str) -> bool {
        let Some(member) = self.members.get_mut(id) else {
            return false;
        };
        member.is_gone = true;
        self.forget();
        true
    }

    /// Takes that the agent beside the engine at `ip` was asked.
    pub fn asked(&mut self, ip: IpAddr, now: Instant) {
        for member in self.members.values_mut() {
            if member.upstream.addr.ip() == ip {
                member.asked_since.get_or_insert(now);
            }
        }
    }

    /// Takes an agent's word on the engine at `ip`, and how long it took if it was asked for;
    /// returns whether its weights changed.
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
        member.asked_since = None;
        if let Some(rtt) = rtt {
            member.rtt = rtt;
            member.answered_at = Some(now);
        }
        changed
    }

    /// Takes that the agent on the VM `ip` answered a question of this entry that was asked out of turn, so that
    /// its way there and back is not known.
    pub fn answered_by(&mut self, ip: IpAddr, now: Instant) {
        for member in self.members.values_mut() {
            if member.upstream.addr.ip() == ip {
                member.answered_at = Some(now);
            }
        }
    }

    /// Takes the load that an upstream told with an answer.
    pub fn load(&mut self, id: &str, total: u32, now: Instant) {
        if let Some(member) = self.members.get_mut(id)
            && member.fresh_status(now).is_none()
        {
            member.apply_load(total, now);
        }
    }

    /// Takes that an upstream says it is full.
    pub fn full(&mut self, id: &str, now: Instant) {
        if let Some(member) = self.members.get_mut(id) {
            let slots = member.upstream.slots.saturating_add(QUEUE);
            member.apply_load(slots.max(member.own_in_flight), now);
        }
    }

    /// Takes that an attempt failed through the upstream; returns how long it is passed over.
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

    /// Takes that an upstream answered.
    pub fn answered(&mut self, id: &str) {
        if let Some(member) = self.members.get_mut(id) {
            member.failures = 0;
            member.ejected_until = None;
        }
    }

    /// Takes that an upstream turned out to be another one, or to have other weights.
    pub fn misdirected(&mut self, id: &str, now: Instant) {
        if let Some(member) = self.members.get_mut(id) {
            member.ejected_until = Some(now + MIN_EJECTION);
        }
    }

    /// Counts a request with a prompt of `tokens` that goes to an upstream; returns which start of it
    /// the count is of.
    pub fn started(&mut self, id: &str, tokens: u32) -> UpstreamStart {
        let Some(member) = self.members.get_mut(id) else {
            return 0;
        };
        member.own_in_flight = member.own_in_flight.saturating_add(1);
        member.own_prefill_tokens = member.own_prefill_tokens.saturating_add(tokens);
        member.upstream.started
    }

    /// Takes that the prompt of a request which was just counted takes `prefill_time`.
    pub fn add_prefill(&mut self, id: &str, prefill_time: Duration, now: Instant) {
        if let Some(member) = self.members.get_mut(id) {
            member.prefill_time.add(prefill_time, now);
        }
    }

    /// Counts that a prompt of `tokens` was read: its answer has begun, or never will.
    pub fn prefilled(&mut self, id: &str, start: UpstreamStart, tokens: u32) {
        if let Some(member) = self.same_start(id, start) {
            member.own_prefill_tokens = member.own_prefill_tokens.saturating_sub(tokens);
        }
    }

    /// Counts a request that is over at an upstream.
    pub fn finished(&mut self, id: &str, start: UpstreamStart) {
        if let Some(member) = self.same_start(id, start) {
            member.own_in_flight = member.own_in_flight.saturating_sub(1);
        }
        self.forget();
    }

    /// Returns the member if it has not been restarted since: what went to it before is counted no
    /// more.
    fn same_start(&mut self, id: &str, start: UpstreamStart) -> Option<&mut Member> {
        let member = self.members.get_mut(id)?;
        (member.upstream.started == start).then_some(member)
    }

    /// Takes that the first event of a request came `seen` after it was sent to `pick`.
    pub fn record_first_event(&mut self, pick: &Pick, seen: Duration, now: Instant) {
        if let Some(expected) = pick.expected {
            self.correction.learn(pick.waits, expected, seen, now);
        }
    }

    /// Returns the members that are registered.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|member| !member.is_gone)
    }

    /// Says whether `id` may still get a request; asked again just before it is sent.
    pub fn may_send(&self, id: &str) -> bool {
        self.members
            .get(id)
            .is_some_and(|member| !member.is_gone && member.upstream.state == UpstreamState::Ready)
    }

    /// Returns what is known of the upstream that has a request: whether it lives, and has room.
    pub fn liveness(&self, pick: &Pick, now: Instant) -> Liveness {
        let member = self.members.get(&pick.id);
        let member = member.filter(|it| it.upstream.started == pick.started);
        let Some(member) = member.filter(|it| it.is_responsive(now) && !it.is_link_suspect(now))
        else {
            return Liveness::Silent;
        };
        if member.in_flight(now).0 >= member.upstream.slots {
            Liveness::Full
        } else {
            Liveness::Free
        }
    }

    /// Chooses an upstream for a request.
    ///
    /// One that is expected to begin in time goes first. Of those the own data centre's go before its
    /// region's and others: a request abroad costs bytes of narrow links. Then the one with the least
    /// to read and the least load goes first, and equals take turns.
    ///
    /// # Errors
    ///
    /// Returns the [`Unavailable`] if none can take the request now.
    pub fn choose(&mut self, needs: &Requirements<'_>, now: Instant) -> Result<Pick, Unavailable> {
        let mut reason = Unavailable::NoUpstream;
        let mut best: Option<(Rank, Pick)> = None;
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
            let rank = Rank {
                turn,
                ..candidate.rank
            };
            if best.as_ref().is_none_or(|(least, _)| rank < *least) {
                best = Some((rank, candidate.pick));
            }
        }
        best.map(|(_, pick)| pick).ok_or(reason)
    }

    /// Returns what is thought of engines of which nothing was heard. Plain services have no agents
    /// that could tell of them.
    pub(super) fn estimate(&self, needs: &Requirements<'_>, now: Instant) -> Option<Estimate> {
        needs.engine.and_then(|_| Estimate::of(self.members(), now))
    }

    /// Says what `member` has to offer to a request, or what it lacks.
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
        if member.limited_for(now) > Duration::ZERO {
            return Err(Unavailable::Full);
        }
        let version = match needs.model {
            None => None,
            Some(model) => Some(member.serves(model, needs.least_version, now)?),
        };
        let (in_flight, source) = member.estimated_in_flight(estimate, now);
        let slots = member.upstream.slots.max(1);
        let waits = in_flight >= slots;
        let engine = needs.engine;
        let prediction = engine.map(|engine| member.predict(engine, estimate, now));
        let expected = prediction.map(|it| it.first_event(needs.prompt));
        let likely = |expected| self.correction.apply(waits, expected, now);
        let is_late = expected.map_or(waits, |expected| likely(expected) > needs.objective);
        let is_full = match &prediction {
            Some(it) => capacity::is_full(it, needs, waits, source == LoadSource::Agent, likely),
            None => in_flight >= slots.saturating_add(QUEUE),
        };
        let distance = self.distance(&member.upstream.data_centre);
        let is_unconfirmed =
            distance > 0 && needs.engine.is_some() && !member.answered_within(FRESH, now);
        let is_unheard = |since| is_unconfirmed && !member.answered_since(since);
        if needs.reported_since.is_some_and(is_unheard) {
            return Err(Unavailable::Full);
        }
        let is_link_suspect = member.is_link_suspect(now);
        if is_full || (is_link_suspect && member.own_in_flight >= MAX_SUSPECT_LINK_REQUESTS) {
            return Err(Unavailable::Full);
        }
        let rank = Rank {
            is_link_suspect,
            is_late,
            is_unsafe: expected.is_some_and(|it| likely(it) > capacity::safe(needs.objective)),
            distance,
            prefill_time: needs
                .engine
                .map_or(0, |engine| member.prefill_step(engine, estimate, now)),
            load: u64::from(in_flight) * 1000 / u64::from(slots),
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
            waits,
            is_unconfirmed,
        };
        Ok(Candidate { rank, pick })
    }

    fn distance(&self, data_centre: &str) -> u8 {
        if data_centre == self.data_centre {
            return 0;
        }
        let region = self.regions.get(data_centre);
        if region == Some(&self.region) { 1 } else { 2 }
    }

    fn forget(&mut self) {
        self.members
            .retain(|_, member| !member.is_gone || member.own_in_flight > 0);
    }
}
