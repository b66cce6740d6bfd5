//! Requests under which upstreams end, as entries tell of them: here their accounts meet.

use std::collections::BTreeSet;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use wagtailreel_fleet::{BootTime, CrashReport, Fingerprint};
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
    pub(crate) fn hear(&self, told: &[CrashReport]) -> Vec<CrashReport> {
        let now = BootTime::now();
        let mut known = self.lock();
        let news = told
            .iter()
            .filter(|crash_report| known.hear(crash_report, now));
        let news: BTreeSet<Fingerprint> =
            news.map(|crash_report| crash_report.fingerprint).collect();
        if news.is_empty() {
            return Vec::new();
        }
        let mut told = known.told_of(Duration::MAX, now);
        told.retain(|crash_report| news.contains(&crash_report.fingerprint));
        told
    }

    /// Returns what an entry is to be told that may have missed it.
    pub(crate) fn all(&self) -> Vec<CrashReport> {
        self.lock().told_of(Duration::MAX, BootTime::now())
    }

    /// Returns what all entries are told again, and forgets what no longer counts.
    pub(crate) fn again(&self) -> Vec<CrashReport> {
        let now = BootTime::now();
        let mut known = self.lock();
        known.forget(now);
        known.told_of(TOLD_FOR, now)
    }

    fn lock(&self) -> MutexGuard<'_, Quarantine> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
