//! Requests under which upstreams end: what this entry learns of them, and what others do.
//!
//! Entries tell agents, since those are known to all entries by the registry: in each data centre the
//! same few for the same request, so that what several entries saw meets there. From there all entries
//! that ask the agent hear of it.

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::RngExt as _;
use tokio::sync::watch;
use wagtailreel_fleet::{BootTime, EndedUnder, Fingerprint};
use wagtailreel_route::direct::{Pick, Quarantine, Suspicion};

use crate::agents::Agents;
use crate::events;
use crate::view::{View, lock};

/// Pauses before an account is told to the same agents again, for datagrams that are lost.
const REPEATS: [Duration; 2] = [Duration::from_millis(100), Duration::from_millis(400)];

/// How long others are told again of what was learned of a request, for datagrams that are lost.
const TOLD_FOR: Duration = Duration::from_secs(5);

/// Requests under which upstreams end.
#[derive(Debug)]
pub(crate) struct Suspects {
    known: Mutex<Quarantine>,
    /// The request that was quarantined last.
    last: watch::Sender<Option<Fingerprint>>,
    agents: Agents,
    view: Arc<View>,
}

impl Suspects {
    pub(crate) fn new(view: Arc<View>, agents: Agents) -> Self {
        Self {
            known: Mutex::new(Quarantine::new(rand::rng().random())),
            last: watch::Sender::default(),
            agents,
            view,
        }
    }

    /// Says whether no request is suspected.
    pub(crate) fn is_empty(&self) -> bool {
        lock(&self.known).is_empty()
    }

    /// Returns what is thought of a request that has come.
    pub(crate) fn admit(&self, fingerprint: Fingerprint) -> Suspicion {
        lock(&self.known).admit(fingerprint, BootTime::now())
    }

    fn suspicion(&self, fingerprint: Fingerprint) -> Suspicion {
        lock(&self.known).suspicion(fingerprint, BootTime::now())
    }

    /// Takes that an upstream ended while it had a request; returns what is thought of the request now.
    pub(crate) fn ended(&self, fingerprint: Fingerprint, pick: &Pick) -> Suspicion {
        let now = BootTime::now();
        self.change(fingerprint, "own", |known| {
            known.ended(fingerprint, &pick.id, pick.started, now);
        });
        self.tell(fingerprint, &REPEATS);
        self.suspicion(fingerprint)
    }

    /// Takes that a request ran to its end.
    pub(crate) fn finished(&self, fingerprint: Fingerprint) {
        if lock(&self.known).finished(fingerprint, BootTime::now()) {
            self.tell(fingerprint, &[]);
        }
    }

    /// Takes that a quarantined request came again: whoever has forgotten it is told of it.
    pub(crate) fn came_again(&self, fingerprint: Fingerprint) {
        if lock(&self.known).should_report_again(fingerprint, BootTime::now()) {
            self.tell(fingerprint, &[]);
        }
    }

    /// Takes what another process tells, or this one told itself if `is_own`; returns the requests of which
    /// others have not heard so.
    pub(crate) fn hear(&self, told: &[EndedUnder], is_own: bool) -> BTreeSet<Fingerprint> {
        let mut news = BTreeSet::new();
        for account in told {
            let mut is_news = false;
            self.change(account.fingerprint, "heard", |known| {
                is_news = known.merge(account, BootTime::now());
            });
            if is_news || is_own {
                news.insert(account.fingerprint);
            }
        }
        news
    }

    /// Returns all that others are to know.
    pub(crate) fn all(&self) -> Vec<EndedUnder> {
        lock(&self.known).to_report(Duration::MAX, BootTime::now())
    }

    /// Returns what others are told again.
    pub(crate) fn learned_lately(&self) -> Vec<EndedUnder> {
        lock(&self.known).to_report(TOLD_FOR, BootTime::now())
    }

    /// Waits until a request is quarantined.
    pub(crate) async fn until_quarantined<F>(&self, fingerprint: F)
    where
        F: Fn() -> Fingerprint,
    {
        let mut last = self.last.subscribe();
        // The sender lives as long as this.
        while last.changed().await.is_ok() {
            if *last.borrow_and_update() == Some(fingerprint()) {
                return;
            }
        }
    }

    /// Forgets what no longer counts.
    pub(crate) fn forget(&self) {
        lock(&self.known).prune(BootTime::now());
    }

    fn change<F>(&self, fingerprint: Fingerprint, source: &str, change: F)
    where
        F: FnOnce(&mut Quarantine),
    {
        let now = BootTime::now();
        let mut known = lock(&self.known);
        let before = known.suspicion(fingerprint, now);
        change(&mut known);
        let after = known.suspicion(fingerprint, now);
        let account = known.crash_report(fingerprint, now);
        drop(known);
        let (Suspicion::Quarantined(left), Some(account)) = (after, account) else {
            return;
        };
        if matches!(before, Suspicion::Quarantined(_)) {
            return;
        }
        self.last.send_replace(Some(fingerprint));
        let upstreams: Vec<String> = account.upstreams.into_keys().collect();
        events::REQUEST_QUARANTINED.emit(&[
            ("fingerprint", &fingerprint.short()),
            ("source", source),
            ("upstreams", &upstreams.join(" ")),
            ("for_s", &left.as_secs().to_string()),
        ]);
    }

    /// Tells the agents at which accounts of the request meet what is known here.
    fn tell(&self, fingerprint: Fingerprint, repeats: &'static [Duration]) {
        let Some(account) = lock(&self.known).crash_report(fingerprint, BootTime::now()) else {
            return;
        };
        let ips = self.view.meeting_agents(fingerprint.as_bytes());
        let agents = self.agents.clone();
        let told = vec![account];
        agents.tell(&ips, &told);
        if !repeats.is_empty() {
            tokio::spawn(repeat(agents, ips, told, repeats));
        }
    }
}

async fn repeat(agents: Agents, ips: Vec<IpAddr>, told: Vec<EndedUnder>, pauses: &[Duration]) {
    let begun = BootTime::now();
    for pause in pauses {
        tokio::time::sleep(*pause).await;
        agents.tell(&ips, &older(&told, BootTime::now().since(begun)));
    }
}

/// Returns the same accounts `age` later.
fn older(told: &[EndedUnder], age: Duration) -> Vec<EndedUnder> {
    let age = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
    let mut told = told.to_vec();
    for account in &mut told {
        let ends = account.upstreams.values_mut();
        for ms in ends.chain(&mut account.finished_ms) {
            *ms = ms.saturating_add(age);
        }
    }
    told
}
