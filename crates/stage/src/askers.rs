//! Who asked for the engine's load lately.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// How long an asker is told of changes without asking again. Entries ask each 100 ms, those of
/// other data centres each 500 ms.
const REMEMBERED: Duration = Duration::from_secs(3);

/// How long an entry of the own data centre counts as there without asking again.
const NEAR_FOR: Duration = Duration::from_millis(600);

#[derive(Clone, Copy, Debug)]
struct Asker {
    at: Instant,
    is_local: bool,
}

/// Who asked for the engine's load lately.
#[derive(Debug, Default)]
pub(crate) struct Askers {
    seen: Mutex<BTreeMap<SocketAddr, Asker>>,
}

impl Askers {
    /// Takes that `from` asked at `now`, and whether it is an entry of the own data centre; returns whether
    /// it is one of those and may have missed what was told.
    pub(crate) fn note(&self, from: SocketAddr, is_local: bool, now: Instant) -> bool {
        let before = self.lock().insert(from, Asker { at: now, is_local });
        let is_recent = |asker: Asker| now.saturating_duration_since(asker.at) <= NEAR_FOR;
        is_local && !before.is_some_and(is_recent)
    }

    /// Returns who asked lately, and forgets the others.
    pub(crate) fn recent(&self, now: Instant) -> Vec<SocketAddr> {
        let mut seen = self.lock();
        seen.retain(|_, asker| now.saturating_duration_since(asker.at) <= REMEMBERED);
        seen.keys().copied().collect()
    }

    /// Returns the entries of the own data centre in the order of their addresses.
    pub(crate) fn near(&self, now: Instant) -> Vec<SocketAddr> {
        let seen = self.lock();
        let is_there =
            |asker: &Asker| asker.is_local && now.saturating_duration_since(asker.at) <= NEAR_FOR;
        let near = seen.iter().filter(|(_, asker)| is_there(asker));
        near.map(|(addr, _)| *addr).collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Asker>> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
