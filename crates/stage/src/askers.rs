//! Who asked for the engine's load lately.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// How long an asker is told of changes without asking again. Entries ask each 100 ms, those of
/// other data centres each 500 ms.
const REMEMBERED: Duration = Duration::from_secs(3);

/// Who asked for the engine's load lately.
#[derive(Debug, Default)]
pub(crate) struct Askers {
    seen: Mutex<BTreeMap<SocketAddr, Instant>>,
}

impl Askers {
    /// Takes that `from` asked at `now`.
    pub(crate) fn note(&self, from: SocketAddr, now: Instant) {
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        seen.insert(from, now);
    }

    /// Returns who asked lately, and forgets the others.
    pub(crate) fn recent(&self, now: Instant) -> Vec<SocketAddr> {
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        seen.retain(|_, at| now.saturating_duration_since(*at) <= REMEMBERED);
        seen.keys().copied().collect()
    }
}
