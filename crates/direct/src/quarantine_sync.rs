//! Shares crash reports, on requests during which upstreams crash, with the other entries.
//!
//! Entries send crash reports to agents, which all entries know from the registry. The agents of a request
//! are the same few per data centre for each entry, so that the reports of several entries meet there. The
//! agents pass them on to all entries that query them.

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::RngExt as _;
use tokio::sync::watch;
use wagtailreel_fleet::{BootTime, CrashReport, Fingerprint};
use wagtailreel_route::direct::{Pick, Quarantine, Suspicion};

use crate::agents::Agents;
use crate::events;
use crate::view::{View, lock};

/// Delays before a crash report is sent to the same agents again, in case datagrams are lost.
const REPEAT_DELAYS: [Duration; 2] = [Duration::from_millis(100), Duration::from_millis(400)];

/// How long after a change the report of a request is relayed again, in case datagrams are lost.
const RECENT_REPORT_TTL: Duration = Duration::from_secs(5);

/// The quarantine of this entry, kept in sync with those of other processes.
#[derive(Debug)]
pub(crate) struct QuarantineSync {
    known: Mutex<Quarantine>,
    /// The request that was quarantined last.
    last: watch::Sender<Option<Fingerprint>>,
    agents: Agents,
    view: Arc<View>,
}

impl QuarantineSync {
    pub(crate) fn new(view: Arc<View>, agents: Agents) -> Self {
        Self {
            known: Mutex::new(Quarantine::new(rand::rng().random())),
            last: watch::Sender::default(),
            agents,
            view,
        }
    }

    /// Returns whether no request is suspected.
    pub(crate) fn is_empty(&self) -> bool {
        lock(&self.known).is_empty()
    }

    /// Returns the suspicion against a request that has arrived.
    pub(crate) fn admit(&self, fingerprint: Fingerprint) -> Suspicion {
        lock(&self.known).admit(fingerprint, BootTime::now())
    }

    fn suspicion(&self, fingerprint: Fingerprint) -> Suspicion {
        lock(&self.known).suspicion(fingerprint, BootTime::now())
    }

    /// Records that an upstream crashed while it ran a request, and reports it; returns the suspicion
    /// against the request now.
    pub(crate) fn ended(&self, fingerprint: Fingerprint, pick: &Pick) -> Suspicion {
        let now = BootTime::now();
        self.change(fingerprint, "own", |known| {
            known.ended(fingerprint, &pick.id, pick.started, now);
        });
        self.report(fingerprint, &REPEAT_DELAYS);
        self.suspicion(fingerprint)
    }

    /// Records that a request ran to its end, and reports it if the request was suspected.
    pub(crate) fn finished(&self, fingerprint: Fingerprint) {
        if lock(&self.known).finished(fingerprint, BootTime::now()) {
            self.report(fingerprint, &[]);
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

    /// Waits until the request with `fingerprint` is quarantined.
    pub(crate) async fn until_quarantined<F>(&self, fingerprint: F)
    where
        F: Fn() -> Fingerprint,
    {
        let mut last = self.last.subscribe();
        // The loop ends only with a return, since `self` holds the sender.
        while last.changed().await.is_ok() {
            if *last.borrow_and_update() == Some(fingerprint()) {
                return;
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
        self.last.send_replace(Some(fingerprint));
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
        for ms in ends.chain(&mut report.finished_ms) {
            *ms = ms.saturating_add(age);
        }
    }
    reports
}
