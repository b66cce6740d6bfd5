//! Quarantine of requests that crash upstreams, identified by their fingerprints.

use std::collections::BTreeMap;
use std::time::Duration;

use wagtailreel_fleet::{BootTime, CrashReport, Fingerprint, UpstreamId, UpstreamStart};

/// Upstreams that have to crash under a request before it is quarantined. All requests on an upstream that
/// crashes are suspected together with the one that crashed it; a harmless request is seldom suspected a
/// third time.
const QUARANTINE_AFTER_CRASHES: usize = 3;

/// Upstreams that have to crash under a request before the request is reported to all entries, and no longer
/// resent to a second upstream automatically.
const REPORT_AFTER_CRASHES: usize = 2;

/// How long a crash counts against a request. A service team has this time to fix the engine that the request
/// crashes.
const CRASH_RETENTION: Duration = Duration::from_secs(3600);

/// Shortest delay after the last crash until a quarantined request is retried, doubled with each further
/// crash.
const MIN_RETRY_DELAY: Duration = Duration::from_secs(60);

/// Delay until a retry of a quarantined request that has completed here before.
const TRUSTED_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Span after the delay over which the entries spread their retries. The first retry gives the result for all
/// entries.
const RETRY_SPREAD: Duration = Duration::from_secs(600);

/// How long a request that completed is not suspected. Requests that many callers send alike are under way on
/// every upstream that crashes.
const TRUST_TTL: Duration = Duration::from_secs(10);

/// Requests that are kept. At 200 bytes each they take 0.8 MB of an entry.
const MAX_REQUESTS: usize = 4096;

/// Crashed upstreams that are kept for a request.
const MAX_CRASHES: usize = 6;

/// How long the report of a crash may be under way. The record of a cleared request is kept for this time, so
/// that no older report counts against it.
const MAX_REPORT_DELAY: Duration = Duration::from_secs(10);

/// Difference within which two reports mean the same moment.
const TIME_TOLERANCE: Duration = Duration::from_millis(200);

/// Shortest interval between reports on a request that is received again.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Suspicion against a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Suspicion {
    /// The request is not suspected.
    None,
    /// Upstreams crashed under the request, so it is not resent to another one automatically.
    Suspected,
    /// The request is sent to no upstream for this time, and then to one.
    Quarantined(Duration),
}

#[derive(Clone, Debug, Default)]
struct CrashRecord {
    /// The upstreams that crashed, and when.
    crashes: BTreeMap<UpstreamId, BootTime>,
    /// When the request last completed. Earlier crashes do not count.
    finished: Option<BootTime>,
    /// When the last report of a crash was received.
    received_at: Option<BootTime>,
    reported_at: Option<BootTime>,
    retried_at: Option<BootTime>,
}

impl CrashRecord {
    /// Keeps the latest crashes that count. Returns the time of the last one.
    fn trim(&mut self, now: BootTime) -> Option<BootTime> {
        let finished = self.finished;
        self.crashes.retain(|_, at| {
            now.since(*at) <= CRASH_RETENTION && finished.is_none_or(|it| *at > it)
        });
        while self.crashes.len() > MAX_CRASHES {
            let first = self.crashes.iter().min_by_key(|(_, at)| **at);
            let Some(first) = first.map(|(upstream, _)| upstream.clone()) else {
                break;
            };
            self.crashes.remove(&first);
        }
        self.crashes.values().max().copied()
    }

    /// Returns the suspicion against the request in a process that retries `retry_delay` after the third
    /// crash.
    fn suspicion(&self, retry_delay: Duration, now: BootTime) -> Suspicion {
        let last = self.crashes.values().copied().chain(self.retried_at).max();
        match (self.crashes.len(), last) {
            (crashes @ QUARANTINE_AFTER_CRASHES.., Some(last)) => {
                let wait =
                    retry_delay * (1 << (crashes - QUARANTINE_AFTER_CRASHES).min(MAX_CRASHES));
                Suspicion::Quarantined(wait.saturating_sub(now.since(last)))
            }
            (REPORT_AFTER_CRASHES.., _) => Suspicion::Suspected,
            _ => Suspicion::None,
        }
    }

    fn changed_at(&self) -> Option<BootTime> {
        self.crashes.values().copied().chain(self.finished).max()
    }

    fn report(&self, fingerprint: Fingerprint, now: BootTime) -> CrashReport {
        let ms = |at: BootTime| u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX);
        let upstreams = self.crashes.iter();
        CrashReport {
            fingerprint,
            upstreams: upstreams.map(|(id, at)| (id.clone(), ms(*at))).collect(),
            finished_ms: self.finished.map(ms),
        }
    }
}

/// Requests under which upstreams crashed.
///
/// Every request that was on an upstream when it crashed is suspected. A request that crashes every upstream
/// is identified at its third crash. A request that completes is cleared. A quarantined request is retried,
/// seldom and one at a time, in case it is suspected wrongly.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    records: BTreeMap<Fingerprint, CrashRecord>,
    retry_delay: Duration,
    trusted: Trusted,
}

/// Requests that completed, in two generations, so that those that come often are kept.
#[derive(Clone, Debug, Default)]
struct Trusted {
    finished: BTreeMap<Fingerprint, BootTime>,
    before: BTreeMap<Fingerprint, BootTime>,
}

impl Trusted {
    fn insert(&mut self, fingerprint: Fingerprint, now: BootTime) {
        if self.finished.len() >= MAX_REQUESTS && !self.finished.contains_key(&fingerprint) {
            self.before = std::mem::take(&mut self.finished);
        }
        self.finished.insert(fingerprint, now);
    }

    /// Returns when a request last completed.
    fn last(&self, fingerprint: Fingerprint) -> Option<BootTime> {
        let last = self.finished.get(&fingerprint);
        last.or_else(|| self.before.get(&fingerprint)).copied()
    }
}

impl Quarantine {
    /// Creates the quarantine of a process. `phase`, drawn at random from 0 to 1, spreads the retries of
    /// processes.
    pub fn new(phase: f64) -> Self {
        Self {
            retry_delay: MIN_RETRY_DELAY + RETRY_SPREAD.mul_f64(phase.clamp(0.0, 1.0)),
            ..Self::default()
        }
    }

    /// Returns whether no request is recorded.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Records that the start `start` of an upstream crashed under a request. The crash counts only if the
    /// request has not completed recently.
    pub fn ended(
        &mut self,
        fingerprint: Fingerprint,
        id: &str,
        start: UpstreamStart,
        now: BootTime,
    ) {
        let upstream = if start == 0 {
            id.to_owned()
        } else {
            format!("{id}@{start}")
        };
        let last = self.trusted.last(fingerprint);
        if last.is_some_and(|at| now.since(at) <= TRUST_TTL) {
            return;
        }
        self.evict_oldest(fingerprint);
        let record = self.records.entry(fingerprint).or_default();
        record.crashes.entry(upstream).or_insert(now);
        record.received_at = Some(now);
        record.trim(now);
    }

    /// Records that a request completed. Returns whether others have to be informed.
    pub fn finished(&mut self, fingerprint: Fingerprint, now: BootTime) -> bool {
        self.trusted.insert(fingerprint, now);
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return false;
        };
        record.finished = Some(now);
        record.trim(now);
        self.should_report_again(fingerprint, now)
    }

    /// Returns the suspicion against a request.
    pub fn suspicion(&mut self, fingerprint: Fingerprint, now: BootTime) -> Suspicion {
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return Suspicion::None;
        };
        record.trim(now);
        let ran_before = self.trusted.last(fingerprint).is_some();
        let retry_delay = if ran_before {
            TRUSTED_RETRY_DELAY
        } else {
            self.retry_delay
        };
        record.suspicion(retry_delay, now)
    }

    /// Returns the suspicion against a request that was received. A request that is due for a retry is only
    /// suspected.
    pub fn admit(&mut self, fingerprint: Fingerprint, now: BootTime) -> Suspicion {
        let suspicion = self.suspicion(fingerprint, now);
        if suspicion != Suspicion::Quarantined(Duration::ZERO) {
            return suspicion;
        }
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.retried_at = Some(now);
        }
        Suspicion::Suspected
    }

    /// Returns whether a request that was received again has to be reported again, and if so records the
    /// report.
    pub fn should_report_again(&mut self, fingerprint: Fingerprint, now: BootTime) -> bool {
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return false;
        };
        let is_due = record
            .reported_at
            .is_none_or(|at| now.since(at) >= REPORT_INTERVAL);
        if is_due {
            record.reported_at = Some(now);
        }
        is_due
    }

    /// Merges the crash report of another process. Returns whether the report contains anything new.
    pub fn merge(&mut self, report: &CrashReport, now: BootTime) -> bool {
        let ago = |ms: u32| now.minus(Duration::from_millis(ms.into()));
        self.evict_oldest(report.fingerprint);
        let record = self.records.entry(report.fingerprint).or_default();
        record.received_at.get_or_insert(now);
        let before = record.clone();
        for (upstream, ms) in &report.upstreams {
            if !record.crashes.contains_key(upstream) {
                record.crashes.insert(upstream.clone(), ago(*ms));
                record.received_at = Some(now);
            }
        }
        let finished = report.finished_ms.map(ago);
        // Each report dates the same completion a little later.
        if finished > before.finished.map(|at| at.plus(TIME_TOLERANCE)) {
            record.finished = finished;
        }
        record.finished = record.finished.max(self.trusted.last(report.fingerprint));
        record.trim(now);
        !record.crashes.keys().eq(before.crashes.keys()) || record.finished != before.finished
    }

    /// Returns the crash report on a request for other processes.
    pub fn crash_report(&self, fingerprint: Fingerprint, now: BootTime) -> Option<CrashReport> {
        let record = self.records.get(&fingerprint)?;
        Some(record.report(fingerprint, now))
    }

    /// Returns the crash reports that all entries need, on requests with a crash or completion within `age`,
    /// and records that they are reported.
    pub fn to_report(&mut self, age: Duration, now: BootTime) -> Vec<CrashReport> {
        let mut due = Vec::new();
        for (fingerprint, record) in &mut self.records {
            let is_young = record.changed_at().is_some_and(|at| now.since(at) <= age);
            let was_reported = record.reported_at.is_some() && record.finished.is_some();
            if is_young && (record.crashes.len() >= REPORT_AFTER_CRASHES || was_reported) {
                record.reported_at = Some(now);
                due.push(record.report(*fingerprint, now));
            }
        }
        due
    }

    /// Removes records that no longer count.
    pub fn prune(&mut self, now: BootTime) {
        self.records.retain(|_, record| {
            let is_settled = |at: BootTime| now.since(at) > MAX_REPORT_DELAY;
            record.trim(now).is_some() || !record.received_at.is_none_or(is_settled)
        });
    }

    /// Evicts an eighth of the records if there is no space for another one: those with the fewest crashes
    /// first, and of these the oldest.
    fn evict_oldest(&mut self, fingerprint: Fingerprint) {
        if self.records.len() < MAX_REQUESTS || self.records.contains_key(&fingerprint) {
            return;
        }
        let records = self.records.iter();
        let mut ranked: Vec<_> = records
            .map(|(fingerprint, it)| (it.crashes.len(), it.changed_at(), *fingerprint))
            .collect();
        ranked.sort_unstable();
        for (_, _, fingerprint) in ranked.into_iter().take(MAX_REQUESTS / 8) {
            self.records.remove(&fingerprint);
        }
    }
}
