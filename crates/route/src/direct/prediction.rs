//! Prediction of the first event of a request at an engine.

use std::time::Duration;

use wagtailreel_fleet::EngineModel;

/// Passes between the end of prefill and the first event: half of the pass under way when the request
/// arrives, and its own pass.
const FIRST_EVENT_PASSES: f64 = 1.5;

/// Upper bound of the time per token, as a multiple of a step of a full batch. Prefill between steps slows
/// tokens down: of 4,655 answers at full load, the slowest took 1.7 times as long.
const MAX_TOKEN_SLOWDOWN: f64 = 2.0;

/// Known state of an engine from which a prediction is made.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prediction<'a> {
    /// Timing model of the engine, given by its operator.
    pub model: &'a EngineModel,
    /// Requests that the engine processes at once.
    pub slots: u32,
    /// Requests at the engine.
    pub in_flight: u32,
    /// Remaining prefill time of the prompts at the engine.
    pub prefill_left: Duration,
    /// How many times slower than its model the engine runs.
    pub slowdown: f64,
}

impl<'a> Prediction<'a> {
    /// Returns the state of a full engine without queued prompts.
    const fn full(model: &'a EngineModel) -> Self {
        Self {
            model,
            slots: model.slots,
            in_flight: model.slots,
            prefill_left: Duration::ZERO,
            slowdown: 1.0,
        }
    }
}

impl Prediction<'_> {
    /// Returns the prefill time of a prompt of `tokens`, or zero if the operator gives no rate.
    pub fn prefill_time(model: &EngineModel, tokens: u32) -> Duration {
        prefill_time(model, tokens)
    }

    /// Returns the time to the first event of a request with a prompt of `tokens`.
    pub fn first_event(&self, tokens: u32) -> Duration {
        let running = self.in_flight.min(self.slots).saturating_add(1);
        let pass = self.step(running) * f64::from(self.model.steps_per_pass.max(1));
        let own = prefill_time(self.model, tokens).as_secs_f64();
        let start = self.prefill_left.as_secs_f64() + own + FIRST_EVENT_PASSES * pass;
        seconds(self.slot_wait().as_secs_f64() + start * self.slowdown.max(1.0))
    }

    /// Returns the longest time that a full engine takes for an answer of at most `tokens`, from its first
    /// event on.
    pub fn longest_answer(model: &EngineModel, tokens: u32) -> Duration {
        let step = Prediction::full(model).step(model.slots);
        seconds(f64::from(tokens) * step * MAX_TOKEN_SLOWDOWN)
    }

    /// Returns the time of a full engine that a request uses with a prompt of `prompt` tokens and an answer of
    /// `answer` tokens, or of usual length if that is 0.
    pub fn engine_time(model: &EngineModel, prompt: u32, answer: u32) -> Duration {
        let answer = if answer > 0 {
            answer
        } else {
            model.usual_answer
        };
        seconds(Prediction::full(model).usage(prompt, answer))
    }

    /// Returns whether a request with a prompt of `tokens` would begin too late for `objective` only because
    /// of the prompts queued before it.
    ///
    /// Load pattern: an engine has just loaded, or there is an overload. Engines run the prefill of queued
    /// prompts side by side, so that one prompt too many also delays those before it. Without this, of 681
    /// requests that reached 66 engines in the first 0.15 s after their load, 312 began late, and most of
    /// these were predicted to be late.
    pub fn is_prefill_bound(&self, tokens: u32, objective: Duration) -> bool {
        let alone = Self {
            prefill_left: Duration::ZERO,
            ..*self
        };
        self.first_event(tokens) > objective && alone.first_event(tokens) <= objective
    }

    /// Returns how long the prefill of other prompts takes until a request with a prompt of `tokens` would
    /// begin within `objective`.
    pub fn prefill_wait(&self, tokens: u32, objective: Duration) -> Duration {
        if !self.is_prefill_bound(tokens, objective) {
            return Duration::ZERO;
        }
        self.first_event(tokens).saturating_sub(objective)
    }

    /// Returns how long a request waits for a running one to end, or zero if there is a free slot.
    pub fn slot_wait(&self) -> Duration {
        let Some(ahead) = self.in_flight.checked_sub(self.slots) else {
            return Duration::ZERO;
        };
        let waits = f64::from(ahead.saturating_add(1));
        seconds(waits * self.turnover() * self.slowdown.max(1.0))
    }

    /// Returns the seconds between the ends of two requests at a full engine, which is the engine time that a
    /// usual request uses.
    fn turnover(&self) -> f64 {
        self.usage(self.model.usual_prompt, self.model.usual_answer)
    }

    /// Returns the seconds of a full engine that a request with `prompt` and `answer` tokens uses.
    fn usage(&self, prompt: u32, answer: u32) -> f64 {
        let slots = self.slots.max(1);
        let writing = f64::from(answer) * self.step(slots) / f64::from(slots);
        writing + prefill_time(self.model, prompt).as_secs_f64()
    }

    /// Returns the seconds of a decoding step for `running` requests.
    fn step(&self, running: u32) -> f64 {
        let model = self.model;
        let running = f64::from(running);
        let context = f64::from(model.usual_prompt) + f64::from(model.usual_answer) / 2.0;
        model.step.as_secs_f64()
            + model.step_per_request.as_secs_f64() * running
            + model.step_per_1k_context.as_secs_f64() * running * context / 1000.0
    }
}

/// Returns the prefill time of a prompt of `tokens`, or zero if the operator gives no rate.
pub(crate) fn prefill_time(model: &EngineModel, tokens: u32) -> Duration {
    if model.read_per_second <= 0.0 {
        return Duration::ZERO;
    }
    seconds(f64::from(tokens) / model.read_per_second)
}

/// Converts seconds to a duration. Invalid figures count as zero, so that one of them cannot block a service.
fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or_default()
}
