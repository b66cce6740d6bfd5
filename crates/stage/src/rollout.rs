//! Decides an agent's next step towards the weights that its engine should serve.

use std::time::{Duration, Instant};

use wagtailreel_fleet::{ModelName, WeightsVersion};

use crate::EngineReport;

/// Estimated time to fetch all chunks. They take 2 s over an idle link of 9.4 Mbit/s, and 2.6 s at the
/// share of the link that chunks may use.
const ESTIMATED_FETCH_TIME: Duration = Duration::from_millis(2700);

/// Share of fetched chunks from which a fetch is finished even if newer weights are named. Fetching the
/// newer weights from the start would take longer, while the bound of the older naming keeps running.
const FINISH_FETCH_SHARE: f64 = 0.5;

/// Time between telling entries that the engine accepts no new requests and ordering it to load.
/// Requests queued at the engine can start in this time: with 16 running requests, one ends every 80 ms.
const LOAD_NOTICE: Duration = Duration::from_millis(200);

/// Time before an order to load is repeated after a failed one.
const FAILED_ORDER_BACKOFF: Duration = Duration::from_millis(250);

/// Weights that the engine should serve.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The model.
    pub model: ModelName,
    /// The version of its weights.
    pub version: WeightsVersion,
    /// When the version was named; `None` if that was before the agent started or is unknown.
    pub named_at: Option<Instant>,
}

/// State on which the next step is decided.
#[derive(Clone, Copy, Debug)]
pub struct RolloutState<'a> {
    /// The engine's state; `None` while the engine does not answer.
    pub report: Option<&'a EngineReport>,
    /// Whether the engine has not answered since the agent started, so that it is still starting.
    pub is_starting: bool,
    /// Weights that the engine should serve; `None` while they are unknown.
    pub target: Option<&'a Target>,
    /// Since when all chunks of the target are stored; `None` while some are missing.
    pub complete_since: Option<Instant>,
    /// The engine's position among the engines of its data centre, from 0 to 1.
    pub position: f64,
}

/// Next step of an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Step {
    /// Do nothing.
    #[display("wait")]
    Wait,
    /// Fetch the target's chunks.
    #[display("fetch")]
    Fetch,
    /// Stage the chunks and have the engine load them.
    #[display("load")]
    Load,
}

/// Decides the steps for one engine.
///
/// The engines of a service must not all stop accepting requests at once. Each engine loads at its own
/// time within the bound of the naming, without any message between the agents.
#[derive(Clone, Debug)]
pub struct Rollout {
    bound: Duration,
    backoff_until: Option<Instant>,
    started: Instant,
}

impl Rollout {
    /// Creates the rollout of an agent that started at `started`, with the `bound` within which engines
    /// must serve named weights.
    pub fn new(bound: Duration, started: Instant) -> Self {
        Self {
            bound,
            backoff_until: None,
            started,
        }
    }

    /// Returns the step to take at `now`.
    pub fn next(&self, state: RolloutState<'_>, now: Instant) -> Step {
        let Some(target) = state.target else {
            return Step::Wait;
        };
        let Some(report) = state.report else {
            // Chunks are fetched while the engine starts: an added engine answers 1 s after its agent
            // started, and would serve 1 s later if the fetch waited for the answer.
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
            // Without weights the engine serves no requests, so there is no reason to wait.
            None => Step::Load,
            Some(_) if now >= self.load_at(target, complete_since, state.position) => Step::Load,
            Some(_) => Step::Wait,
        }
    }

    /// Returns the time between telling entries that the engine accepts no new requests and ordering it to
    /// load, by the version that the engine holds.
    ///
    /// An engine without weights gets no requests and needs no notice, so added engines serve 0.2 s earlier.
    pub const fn load_notice(held: Option<WeightsVersion>) -> Duration {
        match held {
            Some(_) => LOAD_NOTICE,
            None => Duration::ZERO,
        }
    }

    /// Records that an order failed at `now`.
    pub fn order_failed(&mut self, now: Instant) {
        self.backoff_until = Some(now + FAILED_ORDER_BACKOFF);
    }

    /// Records that the engine restarted: the failure of an earlier order no longer matters.
    pub const fn restarted(&mut self) {
        self.backoff_until = None;
    }

    /// Returns when the engine loads.
    ///
    /// The times of the engines are spread over what is left of the bound once the chunks are stored.
    /// Spread over the whole bound, all times before that moment would fall together: where the chunks
    /// took 3.9 s, 10 of 27 engines stopped accepting requests at once. Requests that began earlier may
    /// end after the bound, so an engine may start to load as late as the bound itself.
    fn load_at(&self, target: &Target, complete_since: Instant, position: f64) -> Instant {
        let Some(named_at) = target.named_at else {
            return self.started;
        };
        let latest = named_at + self.bound;
        let remaining = latest.saturating_duration_since(complete_since);
        complete_since.min(latest) + remaining.mul_f64(position.clamp(0.0, 1.0))
    }

    /// Returns whether a target with a `share` of its chunks stored may be skipped for newer weights at
    /// `now`.
    ///
    /// If half of the chunks are stored, or too little time is left to fetch all chunks of the newer
    /// weights, the older weights are loaded first. Without them the engine could serve no requests once
    /// its current weights are past their bound.
    pub fn may_skip(&self, target: &Target, share: f64, is_empty: bool, now: Instant) -> bool {
        let Some(named_at) = target.named_at else {
            return true;
        };
        let left = (named_at + self.bound).saturating_duration_since(now);
        let has_time = left > ESTIMATED_FETCH_TIME * 3 / 2;
        share < 1.0 && (is_empty || (share < FINISH_FETCH_SHARE && has_time))
    }
}
