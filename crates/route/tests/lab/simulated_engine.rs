//! One engine: it starts waiting requests by rank, runs prefill one prompt at a time, and decodes in a batch
//! whose steps prefill delays.

use std::time::{Duration, Instant};

use wagtailreel_fleet::{EngineModel, LoadStatus};
use wagtailreel_route::direct::{PendingArrivals, Prediction, ReportedLevels};

/// Requests that may wait for a slot.
const QUEUE: usize = 24;

/// Time over which the share of prefill is measured.
const WINDOW: Duration = Duration::from_secs(1);

/// Largest share of its time that an engine spends on prefill while it decodes.
const MAX_PREFILL_SHARE: f64 = 0.7;

/// One engine.
#[derive(Debug)]
pub(super) struct SimulatedEngine {
    slots: u32,
    running: u32,
    /// Requests that wait, by rank and order of arrival.
    waiting: Vec<(u8, usize)>,
    prefill_until: Duration,
    /// Prefill seconds in the last second.
    prefill: f64,
    prefill_at: Duration,
    pub(super) arrivals: PendingArrivals,
    pub(super) levels: ReportedLevels,
}

impl SimulatedEngine {
    pub(super) fn new(slots: u32) -> Self {
        Self {
            slots,
            running: 0,
            waiting: Vec::new(),
            prefill_until: Duration::ZERO,
            prefill: 0.0,
            prefill_at: Duration::ZERO,
            arrivals: PendingArrivals::default(),
            levels: ReportedLevels::default(),
        }
    }

    /// Returns whether the engine refuses another request.
    pub(super) fn is_full(&self) -> bool {
        self.waiting.len() >= QUEUE
    }

    pub(super) fn push(&mut self, id: usize, rank: u8) {
        self.waiting.push((rank, id));
    }

    /// Takes the most urgent of the waiting requests, the oldest first, if a slot is free.
    pub(super) fn pop(&mut self) -> Option<usize> {
        if self.running >= self.slots {
            return None;
        }
        let ranks = self.waiting.iter().enumerate();
        let (place, _) = ranks.min_by_key(|(place, (rank, _))| (*rank, *place))?;
        self.running += 1;
        Some(self.waiting.remove(place).1)
    }

    /// Returns when a request begins and ends that gets a slot now; `phase` is the time until the end of its
    /// first pass, in passes.
    pub(super) fn start(
        &mut self,
        model: &EngineModel,
        prompt: u32,
        answer: u32,
        phase: f64,
        now: Duration,
    ) -> (Duration, Duration) {
        let prefill_time = Prediction::prefill_time(model, prompt);
        let passed = now.saturating_sub(self.prefill_at);
        self.prefill *= (-passed.div_duration_f64(WINDOW)).exp();
        self.prefill += prefill_time.as_secs_f64();
        self.prefill_at = now;
        self.prefill_until = self.prefill_until.max(now) + prefill_time;
        let pass = model.step * model.steps_per_pass;
        let begins = self.prefill_until + pass.mul_f64(phase);
        let share = self.prefill.min(MAX_PREFILL_SHARE);
        let writing = model.step.mul_f64(f64::from(answer) / (1.0 - share));
        (begins, begins + writing)
    }

    pub(super) fn end(&mut self) {
        self.running -= 1;
    }

    /// Returns the report of the engine's agent.
    pub(super) fn report(&mut self, now: Instant) -> LoadStatus {
        LoadStatus {
            version: Some(1),
            running: self.running,
            queued: u32::try_from(self.waiting.len()).unwrap() + self.arrivals.pending(now).min(1),
            prefill_ms: u32::try_from(self.arrivals.prefill_left(now).as_millis()).unwrap(),
            slowdown: 1.0,
            ..LoadStatus::default()
        }
    }
}
