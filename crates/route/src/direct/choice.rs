//! The choice of an upstream for a request.

use std::time::{Duration, Instant};

use wagtailreel_core::Region;

use super::capacity;
use super::member::{Estimate, LoadSource, Member};
use super::pick::{Candidate, Pick, Rank, Requirements, Unavailable};
use super::prompt_cache;
use super::upstreams::Upstreams;

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
pub(super) const PLAIN_QUEUE_DEPTH: u32 = 1;

impl Upstreams {
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
}
