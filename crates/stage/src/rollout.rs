//! What an agent does next to bring an engine to the weights that are to be served.

use std::time::{Duration, Instant};

use wagtailreel_core::rank_score;
use wagtailreel_fleet::{ModelName, WeightsVersion};

use crate::EngineReport;

/// Time that an engine needs for finishing its longest answers and loading. An answer of 51 events
/// at 65 ms each takes 3.3 s.
const FINISH_AND_LOAD: Duration = Duration::from_millis(3600);

/// Pause after an order that brought nothing.
const ORDER_PAUSE: Duration = Duration::from_millis(250);

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
pub struct Situation<'a> {
    /// The engine's state; none while it does not answer.
    pub report: Option<&'a EngineReport>,
    /// Weights that are to be served; none while nothing is known of them.
    pub target: Option<&'a Target>,
    /// All chunks of the target are there.
    pub has_all: bool,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Todo {
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
    vm: String,
    bound: Duration,
    paused_until: Option<Instant>,
    started: Instant,
}

impl Rollout {
    /// Makes the decisions of the agent on `vm`, started at `started`, where engines may take `bound` to serve
    /// weights
    /// that were named.
    pub fn new(vm: String, bound: Duration, started: Instant) -> Self {
        Self {
            vm,
            bound,
            paused_until: None,
            started,
        }
    }

    /// Returns what to do at `now`.
    pub fn next(&self, situation: Situation<'_>, now: Instant) -> Todo {
        let (Some(report), Some(target)) = (situation.report, situation.target) else {
            return Todo::Wait;
        };
        let held = report.version_of(&target.model);
        if report.is_busy || held.is_some_and(|held| held >= target.version) {
            return Todo::Wait;
        }
        if !situation.has_all {
            return Todo::Fetch;
        }
        if self.paused_until.is_some_and(|until| now < until) {
            return Todo::Wait;
        }
        match held {
            // It serves nobody as it is.
            None => Todo::Load,
            Some(_) if now >= self.turn(target) => Todo::Load,
            Some(_) => Todo::Wait,
        }
    }

    /// Takes that an order brought nothing at `now`.
    pub fn order_failed(&mut self, now: Instant) {
        self.paused_until = Some(now + ORDER_PAUSE);
    }

    /// Returns when the engine's turn to load comes.
    fn turn(&self, target: &Target) -> Instant {
        let Some(named_at) = target.named_at else {
            return self.started;
        };
        let room = self.bound.saturating_sub(FINISH_AND_LOAD);
        let score = rank_score(&target.version.to_be_bytes(), &self.vm);
        // A share of 2^64 needs no more digits than a float has.
        #[allow(clippy::cast_precision_loss)]
        let share = score as f64 / u64::MAX as f64;
        named_at + room.mul_f64(share)
    }
}
