//! The state of all engines of a service that could take a request, for its admission.

use std::time::{Duration, Instant};

use super::pick::Requirements;
use super::upstreams::Upstreams;

/// The engines that could take a request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Overview {
    /// Mean load in requests per slot, 0 without such engines. Requests beyond the slots of an engine do not
    /// count, so that the queue of one does not hide the free slots of others.
    pub load: f64,
    /// Least expected time to the first event.
    pub least_first_event: Option<Duration>,
}

impl Upstreams {
    /// Returns the state of the engines that accept requests, hold the weights and are not limited.
    pub fn overview(&self, needs: &Requirements<'_>, now: Instant) -> Overview {
        let estimate = self.estimate(needs, now);
        let (mut count, mut load) = (0.0, 0.0);
        let mut least_first_event = None;
        for member in self.members() {
            let has_weights = needs
                .model
                .is_none_or(|model| member.serves(model, needs.least_version, now).is_ok());
            if !member.accepts_new(now) || !has_weights || !member.blocked_time(now).is_zero() {
                continue;
            }
            let slots = member.upstream.slots.max(1);
            let (in_flight, _) = member.estimated_in_flight(estimate, now);
            count += 1.0;
            load += f64::from(in_flight.min(slots)) / f64::from(slots);
            let Some(engine) = needs.engine else {
                continue;
            };
            let expected = member
                .predict(engine, estimate, now)
                .first_event(needs.prompt);
            let likely = self.likely(in_flight >= slots, expected, now);
            least_first_event =
                Some(least_first_event.map_or(likely, |least: Duration| least.min(likely)));
        }
        Overview {
            load: if count > 0.0 { load / count } else { 0.0 },
            least_first_event,
        }
    }
}
