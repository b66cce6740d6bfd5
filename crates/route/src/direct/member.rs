//! One upstream as an entry knows it.

use std::time::{Duration, Instant};

use wagtailreel_fleet::{
    EngineModel, LoadStatus, Upstream, UpstreamStart, UpstreamState, WeightsVersion,
};

use super::limit::KnownLimit;
use super::pick::Unavailable;
use super::prediction::{Prediction, prefill_time};
use super::prefill::PrefillQueue;

/// How long an agent's word on its engine is used. Agents are asked several times a second; after
/// this time only the entry's own count and the registry are left.
const STATUS_VALID: Duration = Duration::from_millis(1500);

/// How long an upstream's load, told with an answer, is used.
const LOAD_VALID: Duration = Duration::from_millis(500);

/// An agent that leaves questions open for longer is silent, or its link is choked: the same link
/// carries the engine's answers. Agents abroad are asked each 500 ms.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);

/// A question and its answer that take longer speak of a choked link. The longest way there and
/// back takes 6 ms.
const SLOW_LINK_RTT: Duration = Duration::from_millis(120);

/// Entries that are thought to send to one engine at the same time: an engine that has just loaded
/// is empty to all entries of its data centre, and gets the requests of each.
const ENTRIES_AT_ONCE: f64 = 2.0;

/// Where a figure on an upstream's load comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum LoadSource {
    /// The entry's own count.
    #[display("own")]
    Own,
    /// The upstream's answers.
    #[display("answers")]
    Answers,
    /// The agent beside it.
    #[display("agent")]
    Agent,
    /// What is known of the others, since nothing was heard of it.
    #[display("others")]
    Others,
}

/// What is thought of an engine of which nothing was heard: as much as of the others on the mean.
///
/// Load pattern: more is asked than can be served, and one agent's words are lost. An engine that counts
/// as empty while it is silent then gets the requests of all entries: with 99 entries before 120
/// engines single engines refused 1,000 requests a second for three seconds each, their links were
/// full of them, and so their agents stayed silent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Estimate {
    /// Requests for each slot.
    load: f64,
    prefill_time: Duration,
}

impl Estimate {
    /// Returns the mean of the members that take requests and were heard of; none if there is none.
    pub(crate) fn of<'a, I>(members: I, now: Instant) -> Option<Self>
    where
        I: Iterator<Item = &'a Member>,
    {
        let mut heard = 0_u32;
        let mut sum = Self::default();
        for member in members.filter(|it| it.accepts_new(now) && it.fresh_status(now).is_some()) {
            heard += 1;
            sum.load +=
                f64::from(member.in_flight(now).0) / f64::from(member.upstream.slots.max(1));
            sum.prefill_time += member.prefill_time.left(now);
        }
        (heard > 0).then(|| Self {
            load: sum.load / f64::from(heard),
            prefill_time: sum.prefill_time / heard,
        })
    }
}

/// One upstream as this entry knows it.
#[derive(Clone, Debug)]
pub struct Member {
    /// What it says of itself in the registry.
    pub upstream: Upstream,
    /// Requests of this entry that are there now; exact.
    pub own_in_flight: u32,
    /// Prompt tokens of those that have not begun to answer; exact.
    pub(crate) own_prefill_tokens: u32,
    /// What the engine is to read, by its agent's last word and what was sent since.
    pub(crate) prefill_time: PrefillQueue,
    /// Requests of others, as of the last word on its load; late.
    pub(crate) other_in_flight: u32,
    pub(crate) others_reported_at: Option<Instant>,
    pub(crate) status: Option<(LoadStatus, Instant)>,
    pub(crate) failures: u32,
    pub(crate) ejected_until: Option<Instant>,
    /// When the agent last answered a question of this entry.
    pub(crate) answered_at: Option<Instant>,
    /// Since when the agent owes an answer.
    pub(crate) asked_since: Option<Instant>,
    /// How long the last question and its answer took.
    pub(crate) rtt: Duration,
    /// The requests a second that it takes from all entries together, while it names a limit.
    pub(crate) limit: Option<KnownLimit>,
    pub(crate) is_gone: bool,
}

impl Member {
    pub(crate) fn new(upstream: Upstream) -> Self {
        Self {
            upstream,
            own_in_flight: 0,
            own_prefill_tokens: 0,
            prefill_time: PrefillQueue::default(),
            other_in_flight: 0,
            others_reported_at: None,
            status: None,
            failures: 0,
            ejected_until: None,
            answered_at: None,
            asked_since: None,
            rtt: Duration::ZERO,
            limit: None,
            is_gone: false,
        }
    }

    /// Says whether `start` is an earlier one than the start that is known.
    pub(crate) const fn is_before(&self, start: UpstreamStart) -> bool {
        start < self.upstream.started
    }

    /// Says whether `start` is a later one than the start that is known.
    pub(crate) const fn is_restart(&self, start: UpstreamStart) -> bool {
        start > self.upstream.started
    }

    /// Takes that the upstream started again: it holds and knows nothing of before, and nothing that
    /// was believed of it counts.
    pub(crate) fn restart(&mut self, start: UpstreamStart) {
        let upstream = Upstream {
            started: start,
            models: Vec::new(),
            ..self.upstream.clone()
        };
        *self = Self::new(upstream);
    }

    /// Returns the agent's word while it is fresh.
    pub(crate) fn fresh_status(&self, now: Instant) -> Option<&LoadStatus> {
        let (status, at) = self.status.as_ref()?;
        (now.saturating_duration_since(*at) <= STATUS_VALID).then_some(status)
    }

    /// Says whether the agent's last word is younger than `age`.
    pub(crate) fn reported_within(&self, age: Duration, now: Instant) -> bool {
        let heard = self.status.as_ref().map(|(_, at)| *at);
        heard.is_some_and(|at| now.saturating_duration_since(at) <= age)
    }

    /// Says whether the agent answers: its last word is no older than a question may stay open.
    pub(crate) fn is_responsive(&self, now: Instant) -> bool {
        self.reported_within(ANSWER_TIMEOUT, now)
    }

    /// Says whether the agent answered this entry within `age`.
    pub(crate) fn answered_within(&self, age: Duration, now: Instant) -> bool {
        self.answered_at
            .is_some_and(|at| now.saturating_duration_since(at) <= age)
    }

    /// Says whether the agent answered this entry after `since`.
    pub(crate) fn answered_since(&self, since: Instant) -> bool {
        self.answered_at.is_some_and(|at| at > since)
    }

    /// Says whether the agent's last word came after `since`.
    pub(crate) fn reported_since(&self, since: Instant) -> bool {
        self.status.as_ref().is_some_and(|(_, at)| *at > since)
    }

    /// Returns the requests that are thought to be there, and whose word it is.
    pub fn in_flight(&self, now: Instant) -> (u32, LoadSource) {
        let valid = if self.fresh_status(now).is_some() {
            STATUS_VALID
        } else {
            LOAD_VALID
        };
        let is_fresh = |at: Instant| now.saturating_duration_since(at) <= valid;
        if !self.others_reported_at.is_some_and(is_fresh) {
            return (self.own_in_flight, LoadSource::Own);
        }
        let source = if self.fresh_status(now).is_some() {
            LoadSource::Agent
        } else {
            LoadSource::Answers
        };
        (
            self.own_in_flight.saturating_add(self.other_in_flight),
            source,
        )
    }

    /// Returns the same, and where nothing was heard no less than what is `estimate`.
    pub(crate) fn estimated_in_flight(
        &self,
        estimate: Option<Estimate>,
        now: Instant,
    ) -> (u32, LoadSource) {
        let (known, source) = self.in_flight(now);
        match estimate {
            Some(estimate) if source == LoadSource::Own => {
                let estimated = estimate.load * f64::from(self.upstream.slots.max(1));
                // A load of a few slots fits into any integer.
                #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
                let estimated = estimated.round() as u32;
                (known.max(estimated), LoadSource::Others)
            }
            _ => (known, source),
        }
    }

    /// Returns the version of `model` that the upstream holds whole.
    pub(crate) fn version_of(&self, model: &str, now: Instant) -> Option<WeightsVersion> {
        match self.fresh_status(now) {
            Some(status) => status.version,
            None => self.upstream.version_of(model),
        }
    }

    /// Returns the version of `model` on which a request may run there.
    ///
    /// # Errors
    ///
    /// Returns [`Unavailable::Weights`] if there is none, or only one that is older than `least`.
    pub(crate) fn serves(
        &self,
        model: &str,
        least: Option<WeightsVersion>,
        now: Instant,
    ) -> Result<WeightsVersion, Unavailable> {
        let held = self.version_of(model, now).ok_or(Unavailable::Weights)?;
        if least.is_some_and(|least| held < least) {
            return Err(Unavailable::Weights);
        }
        Ok(held)
    }

    /// Returns how long the engine is thought to read the prompts that it has.
    pub(crate) fn prefill_left(
        &self,
        engine: &EngineModel,
        estimate: Option<Estimate>,
        now: Instant,
    ) -> Duration {
        let own = prefill_time(engine, self.own_prefill_tokens);
        if self.fresh_status(now).is_none() {
            let others = estimate.map(|estimate| estimate.prefill_time);
            return own.mul_f64(ENTRIES_AT_ONCE).max(others.unwrap_or_default());
        }
        own.max(self.prefill_time.left(now))
    }

    /// Returns the same in steps of a usual prompt, within which load decides.
    pub(crate) fn prefill_step(
        &self,
        engine: &EngineModel,
        estimate: Option<Estimate>,
        now: Instant,
    ) -> u128 {
        let step = prefill_time(engine, engine.usual_prompt).max(Duration::from_millis(1));
        self.prefill_left(engine, estimate, now).as_nanos() / step.as_nanos()
    }

    /// Returns what is known of the engine for a prediction.
    pub(crate) fn predict<'a>(
        &self,
        engine: &'a EngineModel,
        estimate: Option<Estimate>,
        now: Instant,
    ) -> Prediction<'a> {
        let pace = self.fresh_status(now).map_or(1.0, |status| status.pace);
        Prediction {
            model: engine,
            slots: self.upstream.slots.max(1),
            in_flight: self.estimated_in_flight(estimate, now).0,
            prefill_left: self.prefill_left(engine, estimate, now),
            pace: f64::from(pace),
        }
    }

    /// Returns how long the upstream's own limit leaves no room for another request.
    pub(crate) fn limited_for(&self, now: Instant) -> Duration {
        let limit = self.limit.as_ref();
        limit.map_or(Duration::ZERO, |limit| limit.full_for(now))
    }

    /// Says whether the link to the upstream is in doubt.
    pub(crate) fn is_link_suspect(&self, now: Instant) -> bool {
        let owes = |since: Instant| now.saturating_duration_since(since) > ANSWER_TIMEOUT;
        self.rtt > SLOW_LINK_RTT || self.asked_since.is_some_and(owes)
    }

    pub(crate) fn accepts_new(&self, now: Instant) -> bool {
        self.upstream.state == UpstreamState::Ready
            && !self.is_gone
            && self.ejected_until.is_none_or(|until| now >= until)
            && !self.fresh_status(now).is_some_and(|it| it.is_switching)
    }

    /// Says whether an entry abroad has to hear of the upstream itself, whatever others tell: it has
    /// requests there, or doubts the link.
    pub fn needs_direct_report(&self, now: Instant) -> bool {
        self.own_in_flight > 0 || self.is_link_suspect(now)
    }

    /// Takes what was heard of the engine at `received_at`; returns whether its weights changed, or none if it
    /// is of an earlier start and nothing was taken.
    pub(crate) fn apply_status(
        &mut self,
        status: &LoadStatus,
        received_at: Instant,
    ) -> Option<bool> {
        if status.started != 0 && self.is_before(status.started) {
            return None;
        }
        if self.is_restart(status.started) {
            self.restart(status.started);
        }
        let before = self.status.as_ref();
        let changed = before.is_none_or(|(before, _)| {
            before.version != status.version || before.is_switching != status.is_switching
        });
        self.apply_load(status.queued.saturating_add(status.running), received_at);
        let prefill_left = Duration::from_millis(status.reading_ms.into());
        self.prefill_time.set(prefill_left, received_at);
        self.status = Some((status.clone(), received_at));
        Some(changed)
    }

    pub(crate) fn apply_load(&mut self, total: u32, at: Instant) {
        self.other_in_flight = total.saturating_sub(self.own_in_flight);
        self.others_reported_at = Some(at);
    }
}
