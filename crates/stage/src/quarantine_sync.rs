//! Requests under which upstreams end, as entries tell of them: here their accounts meet.

use std::collections::BTreeSet;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use wagtailreel_fleet::{BootTime, EndedUnder, Fingerprint};
use wagtailreel_route::direct::Quarantine;

/// How long entries are told again of what was learned of a request, for datagrams that are lost and
/// entries that were cut off.
const RESEND_WINDOW: Duration = Duration::from_secs(5);

/// Requests under which upstreams end.
#[derive(Debug, Default)]
pub(crate) struct QuarantineSync {
    quarantine: Mutex<Quarantine>,
}

impl QuarantineSync {
    /// Takes what an entry tells; returns what the others are to be told of it.
    pub(crate) fn merge(&self, reports: &[EndedUnder]) -> Vec<EndedUnder> {
        let now = BootTime::now();
        let mut quarantine = self.lock();
        let new_reports = reports.iter().filter(|report| quarantine.hear(report, now));
        let new_reports: BTreeSet<Fingerprint> =
            new_reports.map(|report| report.fingerprint).collect();
        if new_reports.is_empty() {
            return Vec::new();
        }
        let mut reports = quarantine.told_of(Duration::MAX, now);
        reports.retain(|report| new_reports.contains(&report.fingerprint));
        reports
    }

    /// Returns what an entry is to be told that may have missed it.
    pub(crate) fn all(&self) -> Vec<EndedUnder> {
        self.lock().told_of(Duration::MAX, BootTime::now())
    }

    /// Returns what all entries are told again, and forgets what no longer counts.
    pub(crate) fn due_for_resend(&self) -> Vec<EndedUnder> {
        let now = BootTime::now();
        let mut quarantine = self.lock();
        quarantine.forget(now);
        quarantine.told_of(RESEND_WINDOW, now)
    }

    fn lock(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
