//! Processes that poll the agent and get changes of the engine's load pushed.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use wagtailreel_fleet::{Query, REQUEST_QUERY_NONCE};

/// How long a subscriber gets changes pushed after its last poll. Entries poll every 100 ms, entries of
/// other data centres every 500 ms.
const SUBSCRIPTION_TTL: Duration = Duration::from_secs(3);

/// How long an entry of the same data centre counts as active after its last poll.
const LOCAL_ENTRY_TTL: Duration = Duration::from_millis(600);

#[derive(Clone, Copy, Debug)]
struct Subscriber {
    at: Instant,
    is_local: bool,
    /// Its last round of queries.
    round: u32,
}

/// Processes that polled the agent recently, by address.
#[derive(Debug, Default)]
pub(crate) struct Subscribers {
    seen: Mutex<BTreeMap<SocketAddr, Subscriber>>,
}

impl Subscribers {
    /// Records that `from` polled with `query` at `now`.
    ///
    /// Returns whether `from` is an entry of the same data centre and was not active, or has started again
    /// since its last poll, so that it may have missed pushes.
    pub(crate) fn record(&self, from: SocketAddr, query: &Query, now: Instant) -> bool {
        let mut seen = self.lock();
        let before = seen.get(&from).copied();
        let round = match query.nonce {
            REQUEST_QUERY_NONCE => before.map_or(0, |before| before.round),
            round => round,
        };
        let subscriber = Subscriber {
            at: now,
            is_local: query.is_local,
            round,
        };
        seen.insert(from, subscriber);
        let has_run_on = |before: Subscriber| {
            let is_recent = now.saturating_duration_since(before.at) <= LOCAL_ENTRY_TTL;
            is_recent && query.nonce > before.round
        };
        query.is_local && !before.is_some_and(has_run_on)
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
