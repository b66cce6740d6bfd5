//! When the first event of a request can be expected from an engine.

use std::time::Duration;

use wagtailreel_fleet::EngineModel;

/// Passes from the end of the reading to the first event: half of the one under way when the request
/// comes, and its own.
const PASSES: f64 = 1.5;

/// How many times longer than a step of a full batch a token takes at most. Prompts that are read between
/// steps slow them: of 4,655 answers at full load the slowest took 1.7 times as long.
const SLOWEST: f64 = 2.0;

/// What is known of an engine when a request may go to it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prediction<'a> {
    /// What the engine's answers take, by its operator.
    pub model: &'a EngineModel,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Requests that are there.
    pub in_flight: u32,
    /// How long it still reads the prompts that it has.
    pub prefill_left: Duration,
    /// How many times slower than usual it is.
    pub pace: f64,
}

impl Prediction<'_> {
    /// Returns how long an engine reads a prompt of `tokens`; nothing if its operator gives no rate.
    pub fn prefill_time(model: &EngineModel, tokens: u32) -> Duration {
        prefill_time(model, tokens)
    }

    /// Returns the time to the first event of a request with a prompt of `tokens`.
    pub fn first_event(&self, tokens: u32) -> Duration {
        let running = self.in_flight.min(self.slots).saturating_add(1);
        let pass = self.step(running) * f64::from(self.model.steps_per_pass.max(1));
        let own = prefill_time(self.model, tokens).as_secs_f64();
        let start = self.prefill_left.as_secs_f64() + own + PASSES * pass;
        seconds(self.slot_wait().as_secs_f64() + start * self.pace.max(1.0))
    }

    /// Returns how long an answer of at most `tokens` is written, from its first event on, by an engine that is
    /// full.
    pub fn longest_answer(model: &EngineModel, tokens: u32) -> Duration {
        let full = Prediction {
            model,
            slots: model.slots,
            in_flight: model.slots,
            prefill_left: Duration::ZERO,
            pace: 1.0,
        };
        seconds(f64::from(tokens) * full.step(model.slots) * SLOWEST)
    }

    /// Says whether a request with a prompt of `tokens` begins too late for `objective` only because of the prompts
    /// that the engine reads before it.
    ///
    /// Load pattern: an engine that has just loaded, or an overload. Engines read the prompts that they have side by
    /// side, so that one too many makes those before it late as well: of 681 requests that came to 66 engines in
    /// the first 0.15 s after their load 312 began late, the most of them expected to.
    pub fn is_crowded(&self, tokens: u32, objective: Duration) -> bool {
        let alone = Self {
            prefill_left: Duration::ZERO,
            ..*self
        };
        self.first_event(tokens) > objective && alone.first_event(tokens) <= objective
    }

    /// Returns how long others' prompts are read until the engine is no longer crowded for a request with a prompt of
    /// `tokens`.
    pub fn crowd_wait(&self, tokens: u32, objective: Duration) -> Duration {
        if !self.is_crowded(tokens, objective) {
            return Duration::ZERO;
        }
        self.first_event(tokens).saturating_sub(objective)
    }

    /// Returns how long a request waits for one that runs to end; nothing while there is a slot.
    pub fn slot_wait(&self) -> Duration {
        let Some(ahead) = self.in_flight.checked_sub(self.slots) else {
            return Duration::ZERO;
        };
        let waits = f64::from(ahead.saturating_add(1));
        seconds(waits * self.turnover() * self.pace.max(1.0))
    }

    /// Returns the time from the end of one request to that of the next at a full engine, in seconds:
    /// what a usual request takes of the engine alone.
    fn turnover(&self) -> f64 {
        let slots = self.slots.max(1);
        let writing = f64::from(self.model.usual_answer) * self.step(slots) / f64::from(slots);
        writing + prefill_time(self.model, self.model.usual_prompt).as_secs_f64()
    }

    /// Returns the seconds of a step that writes for `running` requests.
    fn step(&self, running: u32) -> f64 {
        let model = self.model;
        let running = f64::from(running);
        let context = f64::from(model.usual_prompt) + f64::from(model.usual_answer) / 2.0;
        model.step.as_secs_f64()
            + model.step_per_request.as_secs_f64() * running
            + model.step_per_1k_context.as_secs_f64() * running * context / 1000.0
    }
}

/// Returns how long an engine reads a prompt of `tokens`; nothing if its operator gives no rate.
pub(crate) fn prefill_time(model: &EngineModel, tokens: u32) -> Duration {
    if model.read_per_second <= 0.0 {
        return Duration::ZERO;
    }
    seconds(f64::from(tokens) / model.read_per_second)
}

/// Figures that make no sense count as none, so that one of them can't close a service.
fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or_default()
}
