//! The crashes of upstreams under one suspect.

use std::collections::BTreeMap;
use std::time::Duration;

use wagtailreel_fleet::{BootTime, CrashReport, Fingerprint, UpstreamId};

/// How long a crash counts against a suspect. A service team has this time to fix the engine that the request
/// crashes.
const CRASH_RETENTION: Duration = Duration::from_secs(3600);

/// Crashed upstreams that are kept for a suspect. Four reports with upstream ids of 60 bytes fit a datagram.
const MAX_CRASHES: usize = 12;

/// Crashes after which a suspect may be quarantined.
pub(super) const MIN_CRASHES: usize = 3;

/// Maximum number of times that the delay of a retry is doubled.
const MAX_DOUBLINGS: usize = 6;

/// Delay until a retry of a suspect that has completed here before, and shortest delay until one of a suspect
/// whose crashes others may have caused.
pub(super) const SHORT_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Difference within which two reports mean the same moment.
const TIME_TOLERANCE: Duration = Duration::from_millis(200);

/// Number of crashes after which a suspect is treated as such.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Thresholds {
    /// The suspect is not resent to another upstream automatically.
    pub(super) suspected: usize,
    /// The suspect is quarantined.
    pub(super) quarantined: usize,
}

/// The crashes under one suspect.
#[derive(Clone, Debug, Default)]
pub(super) struct CrashRecord {
    /// The upstreams that crashed, and when.
    pub(super) crashes: BTreeMap<UpstreamId, BootTime>,
    /// When the suspect last completed. Earlier crashes do not count.
    pub(super) finished: Option<BootTime>,
    /// When the last report of a crash was received.
    pub(super) received_at: Option<BootTime>,
    pub(super) reported_at: Option<BootTime>,
    /// When a process last sent the suspect to an upstream to see whether it completes.
    pub(super) retried_at: Option<BootTime>,
}

impl CrashRecord {
    /// Keeps the latest crashes that count. Returns the time of the last one.
    pub(super) fn trim(&mut self, now: BootTime) -> Option<BootTime> {
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

    /// Returns the time of the first crash that counts.
    pub(super) fn first_crash(&self) -> Option<BootTime> {
        self.crashes.values().min().copied()
    }

    /// Returns the time until a quarantined suspect is retried by a process that retries `retry_delay` after
    /// the third crash.
    pub(super) fn retry_in(&self, retry_delay: Duration, now: BootTime) -> Duration {
        let doublings = self.crashes.len().saturating_sub(MIN_CRASHES);
        self.left(retry_delay * (1 << doublings.min(MAX_DOUBLINGS)), now)
    }

    /// Returns the time until `delay` after the last crash or retry.
    pub(super) fn left(&self, delay: Duration, now: BootTime) -> Duration {
        let last = self.crashes.values().copied().chain(self.retried_at).max();
        last.map_or(Duration::ZERO, |last| delay.saturating_sub(now.since(last)))
    }

    /// Returns the times of the crashes that came as late after the one before as the crash of a retry does.
    pub(super) fn failed_retries(&self) -> Vec<BootTime> {
        let mut times: Vec<BootTime> = self.crashes.values().copied().collect();
        times.sort_unstable();
        let is_late = |pair: &&[BootTime]| pair[1].since(pair[0]) >= SHORT_RETRY_DELAY;
        times
            .windows(2)
            .filter(is_late)
            .map(|pair| pair[1])
            .collect()
    }

    /// Merges the report of another process. `completed_here` is when the suspect last completed here.
    /// Returns whether the report contains anything new.
    pub(super) fn merge(
        &mut self,
        report: &CrashReport,
        completed_here: Option<BootTime>,
        now: BootTime,
    ) -> bool {
        let ago = |ms: u32| now.minus(Duration::from_millis(ms.into()));
        let is_later = |at: Option<BootTime>, known: Option<BootTime>| {
            // Each report dates the same event a little later.
            at > known.map(|known| known.plus(TIME_TOLERANCE))
        };
        self.received_at.get_or_insert(now);
        let before = self.clone();
        for (upstream, ms) in &report.upstreams {
            if !self.crashes.contains_key(upstream) {
                self.crashes.insert(upstream.clone(), ago(*ms));
                self.received_at = Some(now);
            }
        }
        let finished = report.finished_ms.map(ago);
        if is_later(finished, before.finished) {
            self.finished = finished;
        }
        let retried_at = report.retried_ms.map(ago);
        if is_later(retried_at, before.retried_at) {
            self.retried_at = retried_at;
        }
        self.finished = self.finished.max(completed_here);
        self.trim(now);
        !self.crashes.keys().eq(before.crashes.keys())
            || self.finished != before.finished
            || self.retried_at != before.retried_at
    }

    pub(super) fn changed_at(&self) -> Option<BootTime> {
        let events = self.crashes.values().copied();
        events.chain(self.finished).chain(self.retried_at).max()
    }

    pub(super) fn report(&self, fingerprint: Fingerprint, now: BootTime) -> CrashReport {
        let ms = |at: BootTime| u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX);
        let upstreams = self.crashes.iter();
        CrashReport {
            fingerprint,
            upstreams: upstreams.map(|(id, at)| (id.clone(), ms(*at))).collect(),
            finished_ms: self.finished.map(ms),
            retried_ms: self.retried_at.map(ms),
        }
    }
}
