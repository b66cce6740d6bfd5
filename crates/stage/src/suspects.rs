//! Requests under which upstreams end, as entries tell of them: here their accounts meet.

use std::collections::BTreeSet;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use wagtailreel_fleet::{BootTime, EndedUnder, Fingerprint};
use wagtailreel_route::direct::Quarantine;

/// How long entries are told again of what was learned of a request, for datagrams that are lost and
/// entries that were cut off.
const TOLD_FOR: Duration = Duration::from_secs(5);

/// Requests under which upstreams end.
#[derive(Debug, Default)]
pub(crate) struct Suspects {
    known: Mutex<Quarantine>,
}

impl Suspects {
    /// Takes what an entry tells; returns what the others are to be told of it.
    pub(crate) fn hear(&self, told: &[EndedUnder]) -> Vec<EndedUnder> {
        let now = BootTime::now();
        let mut known = self.lock();
        let news = told.iter().filter(|account| known.merge(account, now));
        let news: BTreeSet<Fingerprint> = news.map(|account| account.fingerprint).collect();
        if news.is_empty() {
            return Vec::new();
        }
        let mut told = known.to_report(Duration::MAX, now);
        told.retain(|account| news.contains(&account.fingerprint));
        told
    }

    /// Returns what an entry is to be told that may have missed it.
    pub(crate) fn all(&self) -> Vec<EndedUnder> {
        self.lock().to_report(Duration::MAX, BootTime::now())
    }

    /// Returns what all entries are told again, and forgets what no longer counts.
    pub(crate) fn again(&self) -> Vec<EndedUnder> {
        let now = BootTime::now();
        let mut known = self.lock();
        known.prune(now);
        known.to_report(TOLD_FOR, now)
    }

    fn lock(&self) -> MutexGuard<'_, Quarantine> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
