//! One upstream as an entry knows it.

use std::time::{Duration, Instant};

use wagtailreel_fleet::{
    EngineModel, LoadStatus, Upstream, UpstreamStart, UpstreamState, WeightsVersion,
};

use super::announcements::Announced;
use super::limit::KnownLimit;
use super::pace::Pace;
use super::pick::Unavailable;
use super::prediction::{Prediction, prefill_time};
use super::prefill::PrefillQueue;

/// How long an agent's load report is used. Agents are polled several times a second. After this time only
/// the entry's own count and the registry record are left.
const STATUS_TTL: Duration = Duration::from_millis(1500);

/// How long the load that an upstream reports with an answer is used.
const ANSWER_LOAD_TTL: Duration = Duration::from_millis(500);

/// Time after which an unanswered poll means that the agent is silent or its link congested. The same link
/// carries the engine's answers. Remote agents are polled every 500 ms.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);

/// Round trip time of a poll above which the link counts as congested. The longest regular round trip takes 6
/// ms.
const SLOW_LINK_RTT: Duration = Duration::from_millis(120);

/// Entries assumed to send to one engine at the same time: an engine that has just loaded looks empty to all
/// entries of its data centre, and gets requests from each.
const CONCURRENT_ENTRIES: f64 = 2.0;

/// Share of an engine's memory above which its requests are counted against it. Below it, a slot is always
/// missing before memory is.
const MEMORY_NEARLY_USED: f32 = 0.9;

/// Source of a figure on an upstream's load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum LoadSource {
    /// The entry's own count.
    #[display("own")]
    Own,
    /// Load reported with the upstream's answers.
    #[display("answers")]
    Answers,
    /// Load report of the upstream's agent.
    #[display("agent")]
    Agent,
    /// The mean of the other upstreams, as there is no report on this one.
    #[display("others")]
    Others,
}

/// Estimated load of an engine without a fresh report: the mean of the others.
///
/// Load pattern: under overload one agent's reports are lost. Without this, the silent engine counts as empty
/// and gets the requests of all entries. With 99 entries and 120 engines, single engines refused 1,000
/// requests a second for three seconds each, and the requests filled their links, so that their agents stayed
/// silent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Estimate {
    /// Requests per slot.
    load: f64,
    prefill_time: Duration,
}

impl Estimate {
    /// Returns the mean of the members that accept requests and have a fresh report, or `None` if there are
    /// none.
    pub(crate) fn of<'a, I>(members: I, now: Instant) -> Option<Self>
    where
        I: Iterator<Item = &'a Member>,
    {
        let mut reported = 0_u32;
        let mut sum = Self::default();
        for member in members.filter(|it| it.accepts_new(now) && it.fresh_status(now).is_some()) {
            reported += 1;
            sum.load +=
                f64::from(member.in_flight(now).0) / f64::from(member.upstream.slots.max(1));
            sum.prefill_time += member.prefill_queue.left(now);
        }
        (reported > 0).then(|| Self {
            load: sum.load / f64::from(reported),
            prefill_time: sum.prefill_time / reported,
        })
    }
}

/// One upstream as this entry knows it.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its registry record.
    pub upstream: Upstream,
    /// Requests of this entry at the upstream, an exact count.
    pub own_in_flight: u32,
    /// Prompt tokens of this entry's requests whose answers have not begun, an exact count.
    pub(crate) own_prefill_tokens: u32,
    /// Prefill work of the engine, by its agent's last report and the requests sent since.
    pub(crate) prefill_queue: PrefillQueue,
    /// Requests of other entries at the time of the last report, which lags behind.
    pub(crate) other_in_flight: u32,
    pub(crate) others_reported_at: Option<Instant>,
    pub(crate) status: Option<(LoadStatus, Instant)>,
    pub(crate) failures: u32,
    pub(crate) ejected_until: Option<Instant>,
    /// When the agent last answered a poll of this entry.
    pub(crate) answered_at: Option<Instant>,
    /// When the oldest unanswered poll was sent.
    pub(crate) poll_pending_since: Option<Instant>,
    /// Round trip time of the last poll.
    pub(crate) rtt: Duration,
    /// The rate limit that the upstream names for all entries together, if any.
    pub(crate) limit: Option<KnownLimit>,
    /// No permit of the warm-up limit is due until then.
    pub(crate) warmup_full_until: Option<Instant>,
    /// How slowly its VM works, as its last answer told.
    pub(crate) pace: Option<Pace>,
    /// What this start of the upstream said of itself in its answers.
    pub(crate) announced: Announced,
    pub(crate) is_gone: bool,
}

impl Member {
    pub(crate) fn new(upstream: Upstream) -> Self {
        Self {
            upstream,
            own_in_flight: 0,
            own_prefill_tokens: 0,
            prefill_queue: PrefillQueue::default(),
            other_in_flight: 0,
            others_reported_at: None,
            status: None,
            failures: 0,
            ejected_until: None,
            answered_at: None,
            poll_pending_since: None,
            rtt: Duration::ZERO,
            limit: None,
            warmup_full_until: None,
            pace: None,
            announced: Announced::default(),
            is_gone: false,
        }
    }

    /// Returns whether `start` is earlier than the known start.
    pub(crate) const fn is_older_start(&self, start: UpstreamStart) -> bool {
        start < self.upstream.started
    }

    /// Returns whether `start` is later than the known start.
    pub(crate) const fn is_restart(&self, start: UpstreamStart) -> bool {
        start > self.upstream.started
    }

    /// Resets the member after a restart of the upstream: the upstream has lost its weights and requests, and
    /// its earlier state no longer counts.
    pub(crate) fn restart(&mut self, start: UpstreamStart) {
        let upstream = Upstream {
            started: start,
            models: Vec::new(),
            ..self.upstream.clone()
        };
        *self = Self::new(upstream);
    }

    /// Returns the agent's last load report while it is fresh.
    pub(crate) fn fresh_status(&self, now: Instant) -> Option<&LoadStatus> {
        let (status, at) = self.status.as_ref()?;
        (now.saturating_duration_since(*at) <= STATUS_TTL).then_some(status)
    }

    /// Returns whether the agent's last report is no older than `age`.
    pub(crate) fn reported_within(&self, age: Duration, now: Instant) -> bool {
        let reported = self.status.as_ref().map(|(_, at)| *at);
        reported.is_some_and(|at| now.saturating_duration_since(at) <= age)
    }

    /// Returns whether the agent responds: its last report is no older than the time allowed for a poll.
    pub(crate) fn is_responsive(&self, now: Instant) -> bool {
        self.reported_within(ANSWER_TIMEOUT, now)
    }

    /// Returns whether the agent answered this entry within `age`.
    pub(crate) fn answered_within(&self, age: Duration, now: Instant) -> bool {
        self.answered_at
            .is_some_and(|at| now.saturating_duration_since(at) <= age)
    }

    /// Returns whether the agent answered this entry after `since`.
    pub(crate) fn answered_since(&self, since: Instant) -> bool {
        self.answered_at.is_some_and(|at| at > since)
    }

    /// Returns whether the agent's last report came after `since`.
    pub(crate) fn reported_since(&self, since: Instant) -> bool {
        self.status.as_ref().is_some_and(|(_, at)| *at > since)
    }

    /// Returns the requests at the upstream as far as they are known, and the source of the figure.
    pub fn in_flight(&self, now: Instant) -> (u32, LoadSource) {
        let valid = if self.fresh_status(now).is_some() {
            STATUS_TTL
        } else {
            ANSWER_LOAD_TTL
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

    /// Returns the requests at the upstream, at least `estimate` if only the entry's own count is known.
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

    /// Returns the version of `model` that the upstream holds completely.
    pub(crate) fn version_of(&self, model: &str, now: Instant) -> Option<WeightsVersion> {
        match self.fresh_status(now) {
            Some(status) => status.version,
            None => self.upstream.version_of(model),
        }
    }

    /// Returns the version of `model` on which a request may run at the upstream.
    ///
    /// # Errors
    ///
    /// Returns [`Unavailable::Weights`] if the upstream holds no version, or only one older than `least`.
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

    /// Returns the estimated time that the engine needs for the prefill of its queued prompts.
    pub(crate) fn prefill_left(
        &self,
        engine: &EngineModel,
        estimate: Option<Estimate>,
        now: Instant,
    ) -> Duration {
        let own = prefill_time(engine, self.own_prefill_tokens);
        if self.fresh_status(now).is_none() {
            let others = estimate.map(|estimate| estimate.prefill_time);
            return own
                .mul_f64(CONCURRENT_ENTRIES)
                .max(others.unwrap_or_default());
        }
        own.max(self.prefill_queue.left(now))
    }

    /// Returns the prefill time in steps of a usual prompt. Within one step, load decides between upstreams.
    pub(crate) fn prefill_step(
        &self,
        engine: &EngineModel,
        estimate: Option<Estimate>,
        now: Instant,
    ) -> u128 {
        let step = prefill_time(engine, engine.usual_prompt).max(Duration::from_millis(1));
        self.prefill_left(engine, estimate, now).as_nanos() / step.as_nanos()
    }

    /// Returns whether the engine's memory would overflow by a request with a prompt of `prompt` tokens, where its
    /// agent reports that the memory is nearly used.
    ///
    /// The report does not include the prompts of this entry that the engine has not read, nor what the answers
    /// of this entry's requests still take: half of a usual answer on average.
    pub(crate) fn is_memory_short(&self, engine: &EngineModel, prompt: u32, now: Instant) -> bool {
        let used = self.fresh_status(now).map_or(0.0, |status| status.memory);
        if used <= MEMORY_NEARLY_USED || engine.memory_tokens == 0 {
            return false;
        }
        // The tokens of an engine fit a float without a loss that matters.
        #[allow(clippy::cast_precision_loss)]
        let total = engine.memory_tokens as f64;
        let answer = f64::from(engine.usual_answer);
        let own = f64::from(self.own_prefill_tokens) + f64::from(self.own_in_flight) * answer / 2.0;
        f64::from(used) * total + own + f64::from(prompt) + answer > total
    }

    /// Returns the prediction for the engine from its known state.
    pub(crate) fn predict<'a>(
        &self,
        engine: &'a EngineModel,
        estimate: Option<Estimate>,
        now: Instant,
    ) -> Prediction<'a> {
        let slowdown = self.fresh_status(now).map_or(1.0, |status| status.slowdown);
        Prediction {
            model: engine,
            slots: self.upstream.slots.max(1),
            in_flight: self.estimated_in_flight(estimate, now).0,
            prefill_left: self.prefill_left(engine, estimate, now),
            slowdown: f64::from(slowdown).max(self.pace_factor(now)),
        }
    }

    /// Returns how long a rest or the rate limit of the upstream still blocks another request.
    pub(crate) fn blocked_time(&self, now: Instant) -> Duration {
        self.announced.rest_left(now).max(self.limited_time(now))
    }

    /// Returns how long the upstream's rate limit or the warm-up limit still blocks another request.
    pub(crate) fn limited_time(&self, now: Instant) -> Duration {
        let named = self.limit.as_ref().map(|limit| limit.wait_time(now));
        let warmup = self.warmup_full_until;
        let warmup = warmup.map(|until| until.saturating_duration_since(now));
        named.max(warmup).unwrap_or_default()
    }

    /// Returns whether the link to the upstream is suspect: the last poll was slow, or a poll is overdue.
    pub(crate) fn is_link_suspect(&self, now: Instant) -> bool {
        let is_overdue = |since: Instant| now.saturating_duration_since(since) > ANSWER_TIMEOUT;
        self.rtt > SLOW_LINK_RTT || self.poll_pending_since.is_some_and(is_overdue)
    }

    /// Returns whether the upstream is registered as ready and did not say that it leaves.
    pub(crate) fn is_ready(&self) -> bool {
        self.upstream.state == UpstreamState::Ready && !self.is_gone && !self.announced.is_leaving
    }

    pub(crate) fn accepts_new(&self, now: Instant) -> bool {
        self.is_ready()
            && self.ejected_until.is_none_or(|until| now >= until)
            && !self.fresh_status(now).is_some_and(|it| it.is_switching)
    }

    /// Returns whether a remote entry needs reports from the upstream's agent itself, because it has requests
    /// there or suspects the link. Relayed reports are not enough then.
    pub fn needs_direct_report(&self, now: Instant) -> bool {
        self.own_in_flight > 0 || self.is_link_suspect(now)
    }

    /// Applies a load report that was received at `received_at`. Returns whether the weights changed, or
    /// `None` if the report is of an earlier start and was ignored.
    pub(crate) fn apply_status(
        &mut self,
        status: &LoadStatus,
        received_at: Instant,
    ) -> Option<bool> {
        if status.started != 0 && self.is_older_start(status.started) {
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
        let prefill_left = Duration::from_millis(status.prefill_ms.into());
        self.prefill_queue.set(prefill_left, received_at);
        self.status = Some((status.clone(), received_at));
        Some(changed)
    }

    pub(crate) fn apply_load(&mut self, total: u32, at: Instant) {
        self.other_in_flight = total.saturating_sub(self.own_in_flight);
        self.others_reported_at = Some(at);
    }
}
