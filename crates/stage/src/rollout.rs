//! What an agent does next to bring an engine to the weights that are to be served.

use std::time::{Duration, Instant};

use wagtailreel_fleet::{ModelName, WeightsVersion};

use crate::EngineReport;

/// How long a whole fetch is taken to last. Chunks take 2 s over a link of 9.4 Mbit/s if nothing else
/// is on it, and 2.6 s at the share that they may take.
const ESTIMATED_FETCH_TIME: Duration = Duration::from_millis(2700);

/// Share of the chunks from which on a fetch is finished though newer weights are named. Starting
/// anew would take longer, and the bound of the older weights goes on to count.
const FINISH_FETCH_SHARE: f64 = 0.5;

/// How long entries have to hear that the engine takes nothing new before it is told to load. What
/// waits at the engine then begins meanwhile: one of 16 requests ends each 80 ms.
const LOAD_NOTICE: Duration = Duration::from_millis(200);

/// Pause after an order that brought nothing.
const FAILED_ORDER_BACKOFF: Duration = Duration::from_millis(250);

/// Weights that are to be served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The model.
    pub model: ModelName,
    /// The version of its weights.
    pub version: WeightsVersion,
    /// When the agent heard of it; none if it was named before the agent started.
    pub named_at: Option<Instant>,
}

/// What is known when the next step is decided.
#[derive(Clone, Copy, Debug)]
pub struct RolloutState<'a> {
    /// The engine's state; none while it does not answer.
    pub report: Option<&'a EngineReport>,
    /// The engine has not answered since the agent started: it is about to start too.
    pub is_starting: bool,
    /// Weights that are to be served; none while nothing is known of them.
    pub target: Option<&'a Target>,
    /// Since when all chunks of the target are there; none while some are missing.
    pub complete_since: Option<Instant>,
    /// The engine's place among those of its data centre, 0 to 1.
    pub position: f64,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Step {
    /// Nothing.
    #[display("wait")]
    Wait,
    /// Fetch the target's chunks.
    #[display("fetch")]
    Fetch,
    /// Stage the chunks and have the engine load them.
    #[display("load")]
    Load,
}

/// Decides for one engine.
///
/// Engines of one service don't all stop taking requests at once: each has its own moment within
/// the time that the operators were promised, without talking to the others.
#[derive(Clone, Debug)]
pub struct Rollout {
    bound: Duration,
    backoff_until: Option<Instant>,
    started: Instant,
}

impl Rollout {
    /// Makes the decisions of an agent that started at `started`, where engines may take `bound` to
    /// serve weights that were named.
    pub fn new(bound: Duration, started: Instant) -> Self {
        Self {
            bound,
            backoff_until: None,
            started,
        }
    }

    /// Returns what to do at `now`.
    pub fn next(&self, state: RolloutState<'_>, now: Instant) -> Step {
        let Some(target) = state.target else {
            return Step::Wait;
        };
        let Some(report) = state.report else {
            // What an engine that starts will lack can be on its way by then: an added engine answers 1 s
            // after its agent started, and so long it served later.
            let may_prefetch = state.is_starting && state.complete_since.is_none();
            return if may_prefetch {
                Step::Fetch
            } else {
                Step::Wait
            };
        };
        let held = report.version_of(&target.model);
        if held.is_some_and(|held| held >= target.version) {
            return Step::Wait;
        }
        let Some(complete_since) = state.complete_since else {
            return Step::Fetch;
        };
        if report.is_busy {
            return Step::Wait;
        }
        if self.backoff_until.is_some_and(|until| now < until) {
            return Step::Wait;
        }
        match held {
            // It serves nobody as it is.
            None => Step::Load,
            Some(_) if now >= self.load_at(target, complete_since, state.position) => Step::Load,
            Some(_) => Step::Wait,
        }
    }

    /// Returns how long entries are told that the engine takes nothing new before it is ordered to load, by the
    /// version that it holds. One that holds none gets no requests: added engines serve 0.2 s earlier.
    pub const fn load_notice(held: Option<WeightsVersion>) -> Duration {
        match held {
            Some(_) => LOAD_NOTICE,
            None => Duration::ZERO,
        }
    }

    /// Takes that an order brought nothing at `now`.
    pub fn order_failed(&mut self, now: Instant) {
        self.backoff_until = Some(now + FAILED_ORDER_BACKOFF);
    }

    /// Takes that the engine started again: what an order before it came to says nothing of it.
    pub const fn restarted(&mut self) {
        self.backoff_until = None;
    }

    /// Returns when the engine's turn to load comes.
    ///
    /// Turns are spread over what is left of the bound when the chunks are there. Spread over the whole
    /// bound, all turns before that moment came at once: of 27 engines 10 closed together where chunks
    /// took 3.9 s. Requests that began before may end after the bound, so an engine's last moment to
    /// begin is the bound itself.
    fn load_at(&self, target: &Target, complete_since: Instant, position: f64) -> Instant {
        let Some(named_at) = target.named_at else {
            return self.started;
        };
        let latest = named_at + self.bound;
        let remaining = latest.saturating_duration_since(complete_since);
        complete_since.min(latest) + remaining.mul_f64(position.clamp(0.0, 1.0))
    }

    /// Says whether a target that is not there yet is given up for newer weights at `now`.
    ///
    /// With half of the chunks there (`share`), or too little time for a whole fetch, the older weights
    /// are loaded first: without them the engine could serve nobody once its own are too old.
    pub fn may_skip(&self, target: &Target, share: f64, is_empty: bool, now: Instant) -> bool {
        let Some(named_at) = target.named_at else {
            return true;
        };
        let left = (named_at + self.bound).saturating_duration_since(now);
        let has_time = left > ESTIMATED_FETCH_TIME * 3 / 2;
        share < 1.0 && (is_empty || (share < FINISH_FETCH_SHARE && has_time))
    }
}
