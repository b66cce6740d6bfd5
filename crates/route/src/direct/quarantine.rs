//! Quarantine of requests, and of parts of prompts, that crash upstreams.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use wagtailreel_fleet::{BootTime, CrashReport, Fingerprint, UpstreamId, UpstreamStart};

use super::crash_record::{CrashRecord, MIN_CRASHES, SHORT_RETRY_DELAY, Thresholds};
use super::trusted::Trusted;

/// Thresholds of a suspect. Everything on an upstream that crashes is suspected together with the request that
/// crashed it; a harmless suspect is seldom suspected a third time.
const THRESHOLDS: Thresholds = Thresholds {
    suspected: REPORT_AFTER_CRASHES,
    quarantined: MIN_CRASHES,
};

/// Thresholds of a suspect that completed here shortly before the first crash. What many callers send alike is
/// under way on every upstream that crashes.
const TRUSTED_THRESHOLDS: Thresholds = Thresholds {
    suspected: 4,
    quarantined: 5,
};

/// Upstreams that have to crash under a suspect before it is reported to all entries.
const REPORT_AFTER_CRASHES: usize = 2;

/// Shortest delay after the last crash until a quarantined suspect is retried, doubled with each further
/// crash.
const MIN_RETRY_DELAY: Duration = Duration::from_secs(60);

/// Span after the delay over which the entries spread their retries. The first retry gives the result for all
/// entries.
const RETRY_SPREAD: Duration = Duration::from_secs(600);

/// Span after the short delay over which the entries spread their retries of a suspect whose crashes others may
/// have caused. The report of a retry takes some 100 ms to reach the other entries.
const SHORT_RETRY_SPREAD: Duration = Duration::from_secs(5);

/// Failed retries after which the short delay no longer applies. The first may fail under another suspect of the
/// request.
const MAX_SHORT_RETRIES: usize = 2;

/// How long before its first crash a suspect may have completed for the trusted thresholds to apply.
const TRUST_TTL: Duration = Duration::from_secs(10);

/// Suspects that are kept. At about 0.7 KB each, with three crashes, they take 3 MB of an entry; with twelve,
/// 11 MB.
const MAX_SUSPECTS: usize = 4096;

/// Quarantined suspects, those with the most crashes, whose crashes clear others.
const MAX_EXPLAINING: usize = 64;

/// How long the report of a crash may be under way. The record of a cleared suspect is kept for this time, so
/// that no older report counts against it.
const MAX_REPORT_DELAY: Duration = Duration::from_secs(10);

/// Shortest interval between reports on a suspect that is received again.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Suspicion against a request or a part of its prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Suspicion {
    /// It is not suspected.
    None,
    /// Upstreams crashed under it, so that no request with it is resent to another one automatically.
    Suspected,
    /// Requests with it are sent to no upstream for this time, and then one is.
    Quarantined(Duration),
}

/// Order in which suspects account for crashes, highest last: whether the suspect has never completed, and the
/// number of crashes.
type Rank = (bool, usize);

/// Suspects under which upstreams crashed: requests, and the parts that their prompts share with others.
///
/// Everything that was on an upstream when it crashed is suspected. What crashes every upstream is identified at
/// its third crash, and accounts for these crashes, so that what completed before and was on the same upstreams
/// is released. A suspect that completes is cleared. A quarantined one is retried, seldom and one at a time, in case it is
/// suspected wrongly. Of several with the same crashes, one that a request has without the others is retried
/// within seconds.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    records: BTreeMap<Fingerprint, CrashRecord>,
    /// The suspects with enough crashes to be quarantined.
    frequent: BTreeSet<Fingerprint>,
    retry_delay: Duration,
    /// Delay of the first retry of a suspect whose crashes others may have caused.
    short_retry_delay: Duration,
    trusted: Trusted,
}

impl Quarantine {
    /// Creates the quarantine of a process. `phase`, drawn at random from 0 to 1, spreads the retries of
    /// processes.
    pub fn new(phase: f64) -> Self {
        let phase = phase.clamp(0.0, 1.0);
        Self {
            retry_delay: MIN_RETRY_DELAY + RETRY_SPREAD.mul_f64(phase),
            short_retry_delay: SHORT_RETRY_DELAY + SHORT_RETRY_SPREAD.mul_f64(phase),
            ..Self::default()
        }
    }

    /// Returns whether no request is recorded.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Records that the start `start` of an upstream crashed under a suspect.
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
        self.evict_oldest(fingerprint);
        let record = self.records.entry(fingerprint).or_default();
        record.crashes.entry(upstream).or_insert(now);
        record.received_at = Some(now);
        record.finished = record.finished.max(self.trusted.last(fingerprint));
        self.refresh(fingerprint, now);
    }

    /// Records that a request completed. Returns whether others have to be informed.
    pub fn finished(&mut self, fingerprint: Fingerprint, now: BootTime) -> bool {
        self.trusted.insert(fingerprint, now);
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return false;
        };
        record.finished = Some(now);
        self.refresh(fingerprint, now);
        self.should_report_again(fingerprint, now)
    }

    /// Returns the suspicion against a suspect.
    pub fn suspicion(&mut self, fingerprint: Fingerprint, now: BootTime) -> Suspicion {
        self.refresh(fingerprint, now);
        let Some(record) = self.records.get(&fingerprint) else {
            return Suspicion::None;
        };
        let count = record.crashes.len();
        let thresholds = self.thresholds(fingerprint, record);
        // A part that many requests share was on each upstream that a rarer one crashed, and on others: while it
        // has completed nowhere, either may be the cause.
        let may_be_released = self.has_completed(fingerprint, record);
        if count < thresholds.suspected
            || (may_be_released && self.is_explained(fingerprint, record))
        {
            return Suspicion::None;
        }
        if count < thresholds.quarantined {
            return Suspicion::Suspected;
        }
        let is_trusted = self.trusted.last(fingerprint).is_some();
        Suspicion::Quarantined(if is_trusted && record.failed_retries().is_empty() {
            record.left(SHORT_RETRY_DELAY, now)
        } else {
            record.retry_in(self.retry_delay, now)
        })
    }

    /// Returns the suspicion against a suspect of a request that has the suspects `request`.
    ///
    /// If others that the request does not have may have caused the crashes, the request can tell which it
    /// was, and is the retry after the short delay.
    fn suspicion_in(
        &mut self,
        fingerprint: Fingerprint,
        request: &[Fingerprint],
        now: BootTime,
    ) -> Suspicion {
        let suspicion = self.suspicion(fingerprint, now);
        let record = self.records.get(&fingerprint);
        match (suspicion, record) {
            (Suspicion::Quarantined(left), Some(record))
                if self.has_alternative(record, request) =>
            {
                Suspicion::Quarantined(left.min(record.left(self.short_retry_delay, now)))
            }
            _ => suspicion,
        }
    }

    /// Returns whether suspects that a request does not have may have caused the crashes of `record`: each
    /// failed retry, and of the other crashes all but fewer than a suspicion needs.
    fn has_alternative(&self, record: &CrashRecord, request: &[Fingerprint]) -> bool {
        let others = self.frequent.iter().filter(|it| !request.contains(it));
        let others: Vec<&CrashRecord> = others
            .filter_map(|it| self.records.get(it).map(|record| (it, record)))
            .filter(|(it, record)| {
                record.crashes.len() >= self.thresholds(**it, record).quarantined
            })
            .map(|(_, record)| record)
            .collect();
        let has_other = |id: &UpstreamId| others.iter().any(|it| it.crashes.contains_key(id));
        let own = record.crashes.iter().filter(|(id, _)| !has_other(id));
        let own: Vec<BootTime> = own.map(|(_, at)| *at).collect();
        let retries = record.failed_retries();
        own.len() < REPORT_AFTER_CRASHES
            && retries.len() < MAX_SHORT_RETRIES
            && !own.iter().any(|at| retries.contains(at))
    }

    fn thresholds(&self, fingerprint: Fingerprint, record: &CrashRecord) -> Thresholds {
        let completed = self.trusted.last(fingerprint);
        let is_trusted = |(at, crash): (BootTime, BootTime)| crash.since(at) <= TRUST_TTL;
        if completed.zip(record.first_crash()).is_some_and(is_trusted) {
            TRUSTED_THRESHOLDS
        } else {
            THRESHOLDS
        }
    }

    /// Returns whether a suspect is known to have completed, here or elsewhere.
    fn has_completed(&self, fingerprint: Fingerprint, record: &CrashRecord) -> bool {
        record.finished.is_some() || self.trusted.last(fingerprint).is_some()
    }

    fn rank(&self, fingerprint: Fingerprint, record: &CrashRecord) -> Rank {
        let has_completed = self.has_completed(fingerprint, record);
        (!has_completed, record.crashes.len())
    }

    /// Returns whether quarantined suspects of a higher rank account for all crashes under a suspect.
    fn is_explained(&self, fingerprint: Fingerprint, record: &CrashRecord) -> bool {
        let own_rank = self.rank(fingerprint, record);
        let frequent = self.frequent.iter().filter_map(|fingerprint| {
            let record = self.records.get(fingerprint)?;
            Some((self.rank(*fingerprint, record), *fingerprint, record))
        });
        let mut higher: Vec<_> = frequent.filter(|(rank, ..)| *rank > own_rank).collect();
        higher.sort_unstable_by_key(|(rank, ..)| std::cmp::Reverse(*rank));
        higher.truncate(MAX_EXPLAINING);
        let mut explained: BTreeSet<&UpstreamId> = BTreeSet::new();
        for group in higher.chunk_by(|(one, ..), (other, ..)| one == other) {
            let quarantined = group.iter().filter(|(_, fingerprint, record)| {
                record.crashes.len() >= self.thresholds(*fingerprint, record).quarantined
                    && !record.crashes.keys().all(|it| explained.contains(it))
            });
            let crashes: Vec<&UpstreamId> = quarantined
                .flat_map(|(_, _, record)| record.crashes.keys())
                .collect();
            explained.extend(crashes);
        }
        record.crashes.keys().all(|it| explained.contains(it))
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

    /// Admits a request by the suspicion against each of its suspects. Returns the suspects that it retries;
    /// others have to be informed of these.
    ///
    /// # Errors
    ///
    /// Returns the suspect that is quarantined the longest, and for how long, if the request may not be sent.
    pub fn admit_request(
        &mut self,
        suspects: &[Fingerprint],
        now: BootTime,
    ) -> Result<Vec<Fingerprint>, (Duration, Fingerprint)> {
        let mut due = Vec::new();
        let mut blocked = None;
        for suspect in suspects {
            match self.suspicion_in(*suspect, suspects, now) {
                Suspicion::Quarantined(Duration::ZERO) => due.push(*suspect),
                Suspicion::Quarantined(left) => blocked = blocked.max(Some((left, *suspect))),
                Suspicion::None | Suspicion::Suspected => {}
            }
        }
        if let Some(blocked) = blocked {
            return Err(blocked);
        }
        for suspect in &due {
            if let Some(record) = self.records.get_mut(suspect) {
                record.retried_at = Some(now);
            }
        }
        Ok(due)
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
        let fingerprint = report.fingerprint;
        self.evict_oldest(fingerprint);
        let completed_here = self.trusted.last(fingerprint);
        let record = self.records.entry(fingerprint).or_default();
        let is_new = record.merge(report, completed_here, now);
        self.refresh(fingerprint, now);
        is_new
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
            let was_reported = record.reported_at.is_some()
                && (record.finished.is_some() || record.retried_at.is_some());
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
        let records = &self.records;
        self.frequent
            .retain(|it| records.get(it).is_some_and(is_frequent));
    }

    /// Drops what no longer counts against a suspect.
    fn refresh(&mut self, fingerprint: Fingerprint, now: BootTime) {
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return;
        };
        record.trim(now);
        if is_frequent(record) {
            self.frequent.insert(fingerprint);
        } else {
            self.frequent.remove(&fingerprint);
        }
    }

    /// Evicts an eighth of the records if there is no space for another one: those with the fewest crashes
    /// first, and of these the oldest.
    fn evict_oldest(&mut self, fingerprint: Fingerprint) {
        if self.records.len() < MAX_SUSPECTS || self.records.contains_key(&fingerprint) {
            return;
        }
        let records = self.records.iter();
        let mut ranked: Vec<_> = records
            .map(|(fingerprint, it)| (it.crashes.len(), it.changed_at(), *fingerprint))
            .collect();
        ranked.sort_unstable();
        for (_, _, fingerprint) in ranked.into_iter().take(MAX_SUSPECTS / 8) {
            self.records.remove(&fingerprint);
            self.frequent.remove(&fingerprint);
        }
    }
}

fn is_frequent(record: &CrashRecord) -> bool {
    record.crashes.len() >= MIN_CRASHES
}
