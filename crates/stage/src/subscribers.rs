//! Who asked for the engine's load lately.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// How long an asker is told of changes without asking again. Entries ask each 100 ms, those of
/// other data centres each 500 ms.
const SUBSCRIPTION_TTL: Duration = Duration::from_secs(3);

/// How long an entry of the own data centre counts as there without asking again.
const LOCAL_ENTRY_TTL: Duration = Duration::from_millis(600);

#[derive(Clone, Copy, Debug)]
struct Subscriber {
    at: Instant,
    is_local: bool,
}

/// Who asked for the engine's load lately.
#[derive(Debug, Default)]
pub(crate) struct Subscribers {
    seen: Mutex<BTreeMap<SocketAddr, Subscriber>>,
}

impl Subscribers {
    /// Takes that `from` asked at `now`, and whether it is an entry of the own data centre; returns whether
    /// it is one of those and may have missed what was told.
    pub(crate) fn record(&self, from: SocketAddr, is_local: bool, now: Instant) -> bool {
        let before = self.lock().insert(from, Subscriber { at: now, is_local });
        let is_recent = |subscriber: Subscriber| {
            now.saturating_duration_since(subscriber.at) <= LOCAL_ENTRY_TTL
        };
        is_local && !before.is_some_and(is_recent)
    }

    /// Returns who asked lately, and forgets the others.
    pub(crate) fn active(&self, now: Instant) -> Vec<SocketAddr> {
        let mut seen = self.lock();
        seen.retain(|_, subscriber| {
            now.saturating_duration_since(subscriber.at) <= SUBSCRIPTION_TTL
        });
        seen.keys().copied().collect()
    }

    /// Returns the entries of the own data centre in the order of their addresses.
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
