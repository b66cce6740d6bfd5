//! Shares crash reports, on requests and parts of prompts under which upstreams crash, with the other entries.
//!
//! Entries send crash reports to agents, which all entries know from the registry. The agents of a request
//! are the same few per data centre for each entry, so that the reports of several entries meet there. The
//! agents pass them on to all entries that query them.

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::RngExt as _;
use tokio::sync::broadcast;
use tokio::sync::broadcast::error::RecvError;
use wagtailreel_fleet::{BootTime, CrashReport, Fingerprint};
use wagtailreel_route::direct::{Pick, Quarantine, Suspicion};

use crate::agents::Agents;
use crate::events;
use crate::view::{View, lock};

/// Delays before a crash report is sent to the same agents again, in case datagrams are lost.
const REPEAT_DELAYS: [Duration; 2] = [Duration::from_millis(100), Duration::from_millis(400)];

/// Notifications of quarantined suspects that a waiting request may lag behind. One that lags further checks
/// its own suspects instead.
const MAX_NOTIFICATIONS: usize = 64;

/// How long after a change the report of a request is relayed again, in case datagrams are lost.
const RECENT_REPORT_TTL: Duration = Duration::from_secs(5);

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// None of its suspects is quarantined.
    Accepted,
    /// The request is the retry of a quarantined suspect.
    Retry,
    /// `suspect` is quarantined for `retry_in`.
    Refused {
        retry_in: Duration,
        suspect: Fingerprint,
    },
}

/// The quarantine of this entry, kept in sync with those of other processes.
#[derive(Debug)]
pub(crate) struct QuarantineSync {
    known: Mutex<Quarantine>,
    /// The suspects that become quarantined.
    quarantined: broadcast::Sender<Fingerprint>,
    agents: Agents,
    view: Arc<View>,
}

impl QuarantineSync {
    pub(crate) fn new(view: Arc<View>, agents: Agents) -> Self {
        Self {
            known: Mutex::new(Quarantine::new(rand::rng().random())),
            quarantined: broadcast::Sender::new(MAX_NOTIFICATIONS),
            agents,
            view,
        }
    }

    /// Returns whether no request is suspected.
    pub(crate) fn is_empty(&self) -> bool {
        lock(&self.known).is_empty()
    }

    /// Decides whether a request may be sent, by the suspicion against each of its suspects. If a quarantined
    /// suspect is due for a retry, this request is the retry, which is reported to the other entries.
    pub(crate) fn admit(&self, suspects: &[Fingerprint]) -> Admission {
        let admitted = lock(&self.known).admit_request(suspects, BootTime::now());
        let due = match admitted {
            Ok(due) => due,
            Err((retry_in, suspect)) => return Admission::Refused { retry_in, suspect },
        };
        for suspect in &due {
            self.report(*suspect, &REPEAT_DELAYS);
        }
        if due.is_empty() {
            Admission::Accepted
        } else {
            Admission::Retry
        }
    }

    /// Returns the suspicion against a request: the gravest against any of its suspects.
    pub(crate) fn suspicion(&self, suspects: &[Fingerprint]) -> Suspicion {
        let now = BootTime::now();
        let mut known = lock(&self.known);
        let all = suspects.iter().map(|it| known.suspicion(*it, now));
        all.max().unwrap_or(Suspicion::None)
    }

    /// Records that an upstream crashed while it ran a request, and reports it; returns the suspicion
    /// against the request now.
    pub(crate) fn ended(&self, suspects: &[Fingerprint], pick: &Pick) -> Suspicion {
        let now = BootTime::now();
        for suspect in suspects {
            self.change(*suspect, "own", |known| {
                known.ended(*suspect, &pick.id, pick.started, now);
            });
        }
        for suspect in suspects {
            self.report(*suspect, &REPEAT_DELAYS);
        }
        self.suspicion(suspects)
    }

    /// Records that a request ran to its end, and reports those of `suspects` that were suspected.
    pub(crate) fn finished(&self, suspects: &[Fingerprint]) {
        for suspect in suspects {
            let is_due = lock(&self.known).finished(*suspect, BootTime::now());
            if is_due {
                self.report(*suspect, &[]);
            }
        }
    }

    /// Records that a quarantined request came again, and reports it again for agents that no longer have
    /// the report.
    pub(crate) fn record_repeat(&self, fingerprint: Fingerprint) {
        if lock(&self.known).should_report_again(fingerprint, BootTime::now()) {
            self.report(fingerprint, &[]);
        }
    }

    /// Merges crash reports of another process, or of this one if `is_own`. Returns the requests whose
    /// reports are to be passed on.
    pub(crate) fn merge(&self, reports: &[CrashReport], is_own: bool) -> BTreeSet<Fingerprint> {
        let mut updated = BTreeSet::new();
        for report in reports {
            let mut is_new = false;
            self.change(report.fingerprint, "heard", |known| {
                is_new = known.merge(report, BootTime::now());
            });
            if is_new || is_own {
                updated.insert(report.fingerprint);
            }
        }
        updated
    }

    /// Returns all crash reports.
    pub(crate) fn all(&self) -> Vec<CrashReport> {
        lock(&self.known).to_report(Duration::MAX, BootTime::now())
    }

    /// Returns the crash reports that changed lately and are relayed again.
    pub(crate) fn recent_reports(&self) -> Vec<CrashReport> {
        lock(&self.known).to_report(RECENT_REPORT_TTL, BootTime::now())
    }

    /// Waits until one of the suspects of a request becomes quarantined.
    pub(crate) async fn until_quarantined<'a, F>(&self, suspects: F)
    where
        F: Fn() -> &'a [Fingerprint],
    {
        let mut quarantined = self.quarantined.subscribe();
        loop {
            match quarantined.recv().await {
                Ok(suspect) if suspects().contains(&suspect) => return,
                Ok(_) => {}
                Err(RecvError::Lagged(_)) => {
                    if matches!(self.suspicion(suspects()), Suspicion::Quarantined(_)) {
                        return;
                    }
                }
                // Not possible while `self` holds the sender.
                Err(RecvError::Closed) => std::future::pending().await,
            }
        }
    }

    /// Removes expired reports.
    pub(crate) fn prune(&self) {
        lock(&self.known).prune(BootTime::now());
    }

    /// Applies a change to the quarantine, and logs the request if the change quarantines it.
    fn change<F>(&self, fingerprint: Fingerprint, source: &str, change: F)
    where
        F: FnOnce(&mut Quarantine),
    {
        let now = BootTime::now();
        let mut known = lock(&self.known);
        let before = known.suspicion(fingerprint, now);
        change(&mut known);
        let after = known.suspicion(fingerprint, now);
        let report = known.crash_report(fingerprint, now);
        drop(known);
        let (Suspicion::Quarantined(left), Some(report)) = (after, report) else {
            return;
        };
        if matches!(before, Suspicion::Quarantined(_)) {
            return;
        }
        // Without a request in progress there is no receiver.
        let _ = self.quarantined.send(fingerprint);
        let upstreams: Vec<String> = report.upstreams.into_keys().collect();
        events::REQUEST_QUARANTINED.emit(&[
            ("fingerprint", &fingerprint.short()),
            ("source", source),
            ("upstreams", &upstreams.join(" ")),
            ("for_s", &left.as_secs().to_string()),
        ]);
    }

    /// Sends this entry's crash report of the request to the agents that collect reports on it, at once and
    /// again after each of `delays`.
    fn report(&self, fingerprint: Fingerprint, delays: &'static [Duration]) {
        let Some(report) = lock(&self.known).crash_report(fingerprint, BootTime::now()) else {
            return;
        };
        let ips = self.view.rendezvous_agents(fingerprint.as_bytes());
        let agents = self.agents.clone();
        let reports = vec![report];
        agents.send_reports(&ips, &reports);
        if !delays.is_empty() {
            tokio::spawn(repeat(agents, ips, reports, delays));
        }
    }
}

async fn repeat(agents: Agents, ips: Vec<IpAddr>, reports: Vec<CrashReport>, delays: &[Duration]) {
    let first_sent = BootTime::now();
    for delay in delays {
        tokio::time::sleep(*delay).await;
        agents.send_reports(&ips, &aged(&reports, BootTime::now().since(first_sent)));
    }
}

/// Returns the reports with `age` added to the age of each event in them.
fn aged(reports: &[CrashReport], age: Duration) -> Vec<CrashReport> {
    let age = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
    let mut reports = reports.to_vec();
    for report in &mut reports {
        let ends = report.upstreams.values_mut();
        for ms in ends
            .chain(&mut report.finished_ms)
            .chain(&mut report.retried_ms)
        {
            *ms = ms.saturating_add(age);
        }
    }
    reports
}
