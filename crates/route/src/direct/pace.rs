//! How slowly an upstream's VM currently works, as its answers tell.

use std::time::{Duration, Instant};

use super::member::Member;
use super::upstreams::Upstreams;

/// How long the factor of an answer is used. VMs are slow in spans of 600 ms; a factor that is used for longer
/// would often outlast them.
const PACE_TTL: Duration = Duration::from_millis(500);

/// Limits of the factor. Without them one wrong figure could draw all requests to an upstream, or overflow the
/// predicted time of its first event.
const MIN_FACTOR: f64 = 0.1;
const MAX_FACTOR: f64 = 100.0;

/// The factor by which work takes longer than usual on an upstream's VM.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pace {
    factor: f64,
    told_at: Instant,
}

impl Upstreams {
    /// Records that work takes `factor` times as long as usual on an upstream's VM, as an answer tells. An
    /// answer without this figure counts as 1.
    pub fn record_pace(&mut self, id: &str, factor: Option<f64>, now: Instant) {
        let Some(member) = self.members.get_mut(id) else {
            return;
        };
        let factor = factor.filter(|it| it.is_finite() && *it > 0.0);
        member.pace = factor.map(|factor| Pace {
            factor: factor.clamp(MIN_FACTOR, MAX_FACTOR),
            told_at: now,
        });
    }
}

impl Member {
    /// Returns the factor by which work currently takes longer than usual on the upstream's VM, 1 if unknown.
    pub(crate) fn pace_factor(&self, now: Instant) -> f64 {
        let is_fresh = |it: &Pace| now.saturating_duration_since(it.told_at) <= PACE_TTL;
        self.pace.filter(is_fresh).map_or(1.0, |it| it.factor)
    }

    /// Returns the load of a plain upstream with `in_flight` requests, in thousandths of its slots: the
    /// requests with the one to be sent, times the factor, without that one. With the requests alone, idle
    /// upstreams of different pace would be equal.
    pub(crate) fn paced_load(&self, in_flight: u32, now: Instant) -> u64 {
        let factor = self.pace_factor(now);
        // The factor is exactly 1 if there is none.
        let requests = f64::from(in_flight) * factor + (factor - 1.0);
        let load = requests.max(0.0) * 1000.0 / f64::from(self.upstream.slots.max(1));
        // The factor is limited, and the load not negative.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let load = load as u64;
        load
    }
}
