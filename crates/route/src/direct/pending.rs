//! An agent's account of the requests on their way to its engine.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::PrefillQueue;

/// How much earlier than the engine's figures a request may have been told of and still not be in
/// them: the datagram that tells of it overtakes its connection, which takes up to two round trips
/// and a turn of the engine.
const ON_ITS_WAY: Duration = Duration::from_millis(8);

/// Longest time for which a request that was told of counts though no figures have come: by then its
/// entry has given it up or the engine has told of it.
const LONGEST: Duration = Duration::from_secs(1);

/// Requests that entries told an agent of, until the engine's own figures hold them.
///
/// Load pattern: many entries before many engines, each of which sees the same few engines as the
/// least loaded and sends there until new figures come. With 34 entries and 99 engines a quarter of
/// all streams began late for it, at engines that on the whole had room.
#[derive(Clone, Debug, Default)]
pub struct PendingArrivals {
    told: VecDeque<Instant>,
    prefill_time: PrefillQueue,
}

impl PendingArrivals {
    /// Takes that an entry sends a request whose prompt takes `prefill_time`.
    pub fn add(&mut self, prefill_time: Duration, now: Instant) {
        self.told.push_back(now);
        self.prefill_time.add(prefill_time, now);
    }

    /// Takes that the engine's figures were read at `at`.
    pub fn figures_read(&mut self, at: Instant) {
        let seen = |told: &Instant| at.saturating_duration_since(*told) >= ON_ITS_WAY;
        while self.told.front().is_some_and(seen) {
            self.told.pop_front();
        }
    }

    /// Takes that the engine has no request at all, so that it reads nothing.
    pub fn idle(&mut self, now: Instant) {
        if self.told.is_empty() {
            self.prefill_time.set(Duration::ZERO, now);
        }
    }

    /// Returns the requests that are not in the engine's figures yet.
    pub fn pending(&self, now: Instant) -> u32 {
        let counts = |told: &&Instant| now.saturating_duration_since(**told) < LONGEST;
        let count = self.told.iter().filter(counts).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Returns how long the engine still reads prompts.
    pub fn prefill_left(&self, now: Instant) -> Duration {
        self.prefill_time.left(now)
    }
}
