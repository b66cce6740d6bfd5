//! Processes that poll the agent and get changes of the engine's load pushed.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// How long a subscriber gets changes pushed after its last poll. Entries poll every 100 ms, entries of
/// other data centres every 500 ms.
const SUBSCRIPTION_TTL: Duration = Duration::from_secs(3);

/// How long an entry of the same data centre counts as active after its last poll.
const LOCAL_ENTRY_TTL: Duration = Duration::from_millis(600);

#[derive(Clone, Copy, Debug)]
struct Subscriber {
    at: Instant,
    is_local: bool,
}

/// Processes that polled the agent recently, by address.
#[derive(Debug, Default)]
pub(crate) struct Subscribers {
    seen: Mutex<BTreeMap<SocketAddr, Subscriber>>,
}

impl Subscribers {
    /// Records that `from` polled at `now`, and whether `from` is an entry of the same data centre.
    ///
    /// Returns whether `from` is such an entry and was not active, so that it may have missed pushes.
    pub(crate) fn record(&self, from: SocketAddr, is_local: bool, now: Instant) -> bool {
        let before = self.lock().insert(from, Subscriber { at: now, is_local });
        let is_recent = |subscriber: Subscriber| {
            now.saturating_duration_since(subscriber.at) <= LOCAL_ENTRY_TTL
        };
        is_local && !before.is_some_and(is_recent)
    }

    /// Returns the current subscribers, and evicts those whose subscription has expired.
    pub(crate) fn active(&self, now: Instant) -> Vec<SocketAddr> {
        let mut seen = self.lock();
        seen.retain(|_, subscriber| {
            now.saturating_duration_since(subscriber.at) <= SUBSCRIPTION_TTL
        });
        seen.keys().copied().collect()
    }

    /// Returns the active entries of the same data centre, ordered by address.
    pub(crate) fn local(&self, now: Instant) -> Vec<SocketAddr> {
        let seen = self.lock();
        let is_active = |subscriber: &Subscriber| {
            subscriber.is_local && now.saturating_duration_since(subscriber.at) <= LOCAL_ENTRY_TTL
        };
        let local = seen.iter().filter(|(_, subscriber)| is_active(subscriber));
        local.map(|(addr, _)| *addr).collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Subscriber>> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
