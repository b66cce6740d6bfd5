//! When an upstream has capacity again.

use std::time::{Duration, Instant};

use super::capacity;
use super::pick::Requirements;
use super::upstreams::Upstreams;

impl Upstreams {
    /// Returns the time until the first upstream can take the request, or `None` if it cannot be predicted.
    pub fn free_in(&self, needs: &Requirements<'_>, now: Instant) -> Option<Duration> {
        let estimate = self.estimate(needs, now);
        let objective = capacity::safe_objective(needs.objective);
        let allowed = self.members.values().filter(|it| {
            it.accepts_new(now) && self.restriction(&it.upstream.data_centre, needs).is_none()
        });
        let waits = allowed.map(|member| {
            let blocked = member.blocked_time(now);
            let Some(engine) = needs.engine else {
                // The answer times of a plain service cannot be predicted.
                return Some(blocked).filter(|it| !it.is_zero());
            };
            let engine = member.predict(engine, estimate, now);
            let full = engine
                .slot_wait()
                .max(engine.prefill_wait(needs.prompt, objective));
            Some(full.max(blocked))
        });
        waits.collect::<Option<Vec<Duration>>>()?.into_iter().min()
    }
}
