//! Requests announced to an agent that have not reached its engine yet.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::PrefillQueue;

/// Longest time between the announcement of a request and the engine's figures that include it. The datagram
/// with the announcement overtakes the request's connection, which takes up to two round trips and a pass of
/// the engine.
const MAX_ARRIVAL_DELAY: Duration = Duration::from_millis(8);

/// Longest time for which an announced request counts if no figures arrive. By then its entry has abandoned
/// it or the engine has reported it.
const MAX_PENDING_TIME: Duration = Duration::from_secs(1);

/// Requests that entries announced to an agent, until the engine's own figures include them.
///
/// Load pattern: many entries send to many engines, and all of them see the same few engines as the least
/// loaded until new figures arrive. Without this, with 34 entries and 99 engines, a quarter of all streams
/// began late at engines that had capacity on the whole.
#[derive(Clone, Debug, Default)]
pub struct PendingArrivals {
    announced: VecDeque<Instant>,
    prefill_queue: PrefillQueue,
}

impl PendingArrivals {
    /// Records the announcement of a request with the given prefill time.
    pub fn add(&mut self, prefill_time: Duration, now: Instant) {
        self.announced.push_back(now);
        self.prefill_queue.add(prefill_time, now);
    }

    /// Records that the engine's figures were read at `at`.
    pub fn figures_read(&mut self, at: Instant) {
        let seen = |announced_at: &Instant| {
            at.saturating_duration_since(*announced_at) >= MAX_ARRIVAL_DELAY
        };
        while self.announced.front().is_some_and(seen) {
            self.announced.pop_front();
        }
    }

    /// Records that the engine has no requests, and so no prefill work.
    pub fn idle(&mut self, now: Instant) {
        if self.announced.is_empty() {
            self.prefill_queue.set(Duration::ZERO, now);
        }
    }

    /// Returns the number of requests that the engine's figures do not include yet.
    pub fn pending(&self, now: Instant) -> u32 {
        let counts = |announced_at: &&Instant| {
            now.saturating_duration_since(**announced_at) < MAX_PENDING_TIME
        };
        let count = self.announced.iter().filter(counts).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Returns the remaining prefill time of the engine.
    pub fn prefill_left(&self, now: Instant) -> Duration {
        self.prefill_queue.left(now)
    }
}
