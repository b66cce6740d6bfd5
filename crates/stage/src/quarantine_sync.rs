//! Merges the crash reports of entries about requests that may crash upstreams.

use std::collections::BTreeSet;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use wagtailreel_fleet::{BootTime, CrashReport, Fingerprint};
use wagtailreel_route::direct::Quarantine;

/// How long a crash report is sent again after it changed, for lost datagrams and for entries that were
/// unreachable.
const RESEND_WINDOW: Duration = Duration::from_secs(5);

/// Merges the crash reports of all entries in one quarantine, and selects the reports to send to them.
#[derive(Debug, Default)]
pub(crate) struct QuarantineSync {
    quarantine: Mutex<Quarantine>,
}

impl QuarantineSync {
    /// Merges crash reports of an entry; returns the merged reports to send to subscribers if they changed.
    pub(crate) fn merge(&self, reports: &[CrashReport]) -> Vec<CrashReport> {
        let now = BootTime::now();
        let mut quarantine = self.lock();
        let new_reports = reports
            .iter()
            .filter(|report| quarantine.merge(report, now));
        let new_reports: BTreeSet<Fingerprint> =
            new_reports.map(|report| report.fingerprint).collect();
        if new_reports.is_empty() {
            return Vec::new();
        }
        let mut reports = quarantine.to_report(Duration::MAX, now);
        reports.retain(|report| new_reports.contains(&report.fingerprint));
        reports
    }

    /// Returns all crash reports, for an entry that may have missed some.
    pub(crate) fn all(&self) -> Vec<CrashReport> {
        self.lock().to_report(Duration::MAX, BootTime::now())
    }

    /// Returns the crash reports to send again, and evicts expired ones.
    pub(crate) fn due_for_resend(&self) -> Vec<CrashReport> {
        let now = BootTime::now();
        let mut quarantine = self.lock();
        quarantine.prune(now);
        quarantine.to_report(RESEND_WINDOW, now)
    }

    fn lock(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
