//! What the agent receives: directives of the entries, and the platform's list of VMs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::RngExt as _;
use tokio::sync::watch;
use wagtailreel_adapters::{PlatformError, VmList, VmListPage};
use wagtailreel_control::{AgentControl, FromEntry};
use wagtailreel_core::{VmEntry, VmId, VmRole, VmState};

use crate::events;
use crate::hub::Hub;

/// How long the list of VMs is asked to wait for a change.
const LIST_POLL_TIMEOUT: Duration = Duration::from_secs(5);

/// Wait before a list that could not be had is asked for again, before jitter.
const LIST_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Start of the name of an entry of which only the address is known.
const SEED_NAME_PREFIX: &str = "seed-";

/// Takes in directives.
#[derive(Debug)]
pub(crate) struct Follower {
    /// What the agent shares.
    pub(crate) hub: Arc<Hub>,
    /// Where the state is offered to entries.
    pub(crate) control: AgentControl,
    /// The VMs that chunks may be fetched from.
    pub(crate) peers: watch::Sender<Vec<VmEntry>>,
    /// When the report was sent that was answered last.
    pub(crate) last_answered: watch::Sender<Option<Instant>>,
}

impl Follower {
    /// Takes in directives until the control thread ends.
    pub(crate) async fn run(self) {
        let mut directives = self.control.directives();
        while let Some(from) = directives.recv().await {
            self.apply(from);
        }
    }

    /// Takes in one directive.
    fn apply(&self, from: FromEntry) {
        let directive = from.directive;
        let is_newer = directive
            .state
            .as_ref()
            .is_some_and(|state| self.hub.apply_state(state));
        if is_newer {
            self.offer_state();
        }
        let now = Instant::now();
        let change =
            self.hub
                .admitter
                .lock()
                .gate
                .on_directive(now, from.sent_at, &from.entry, &directive);
        self.hub.on_gate_change(change);
        if directive.open.is_some() {
            self.hub.record_lease(from.sent_at + directive.lease);
        }
        self.apply_peers(directive.peers);
        self.last_answered
            .send_modify(|last_answered| *last_answered = (*last_answered).max(Some(from.sent_at)));
    }

    /// Takes the VMs of the service.
    ///
    /// The own VM is among them, so that no VM at all comes from an entry that has not seen the
    /// list: one that was started while the platform is away. What is known is worth more.
    fn apply_peers(&self, known: Vec<VmEntry>) {
        if known.is_empty() {
            return;
        }
        self.peers.send_if_modified(|peers| {
            let is_new = *peers != known;
            *peers = known;
            is_new
        });
    }

    /// Offers the state that was just taken to entries, and has it acted on.
    fn offer_state(&self) {
        let state = self.hub.state();
        let revision = state.as_ref().map_or(0, |state| state.revision);
        events::STATE_TAKEN.emit(&[("revision", &revision.to_string())]);
        self.control.set_state(state);
        self.hub.request_report();
        self.hub.check_upstream();
    }
}

/// Follows the platform's list of VMs, to know the entries to report to.
#[derive(Debug)]
pub(crate) struct ListFollower<V> {
    /// What the agent shares.
    pub(crate) hub: Arc<Hub>,
    /// Whom to tell the entries.
    pub(crate) control: AgentControl,
    /// The list.
    pub(crate) list: V,
    /// Entries to report to as long as the list was never seen.
    pub(crate) seeds: Vec<SocketAddr>,
}

impl<V> ListFollower<V>
where
    V: VmList,
{
    /// Follows the list for as long as the process runs.
    pub(crate) async fn run(self) {
        let mut version = None;
        let mut is_unreachable = false;
        self.report_to_seeds();
        loop {
            // After a failure the list may have started anew with lower versions.
            let since = version.filter(|_| !is_unreachable);
            match self.list.list(since, LIST_POLL_TIMEOUT).await {
                Ok(page) => {
                    is_unreachable = false;
                    if let Some(page) = page {
                        version = Some(page.version);
                        self.leave_if_listed(&page);
                        self.control.set_entries(self.entries(&page));
                    }
                }
                Err(err) => {
                    if !is_unreachable {
                        self.log_unreachable(&err);
                    }
                    is_unreachable = true;
                    let wait = LIST_RETRY_DELAY.mul_f64(rand::rng().random_range(0.5..1.5));
                    tokio::time::sleep(wait).await;
                }
            }
        }
    }

    /// Reports to the seeds until the list is there.
    fn report_to_seeds(&self) {
        if self.seeds.is_empty() {
            return;
        }
        let seeds = self.seeds.iter();
        let entries = seeds.map(|addr| (format!("{SEED_NAME_PREFIX}{addr}"), *addr));
        self.control.set_entries(entries.collect());
    }

    /// Takes no new work once the list says that the own VM leaves: the notice to this process may
    /// be lost, and entries whose list lags know of it only by its reports.
    fn leave_if_listed(&self, page: &VmListPage) {
        let own = page.vms.iter().find(|entry| entry.vm == self.hub.facts.vm);
        if own.is_some_and(|entry| entry.state == VmState::Leaving) && self.hub.leave() {
            events::LISTED_LEAVING.emit(&[]);
        }
    }

    /// Returns the entries of the agent's data centre, leaving ones too: they finish what they
    /// began, and need the agent's reports for that.
    fn entries(&self, page: &VmListPage) -> Vec<(VmId, SocketAddr)> {
        page.vms
            .iter()
            .filter(|entry| entry.role == VmRole::Entry)
            .filter(|entry| entry.data_centre == self.hub.facts.data_centre)
            .map(|entry| (entry.vm.clone(), entry.control))
            .collect()
    }

    fn log_unreachable(&self, err: &PlatformError) {
        events::VM_LIST_AWAY.emit(&[("why", &err.to_string())]);
    }
}

/// Sends the agent's reports: one at least every `period`, and one at once after a change.
pub(crate) async fn send_reports(hub: Arc<Hub>, control: AgentControl, period: Duration) {
    loop {
        control.set_report(hub.report());
        // Either way the next report is made from what is true then.
        let _ = tokio::time::timeout(period, hub.report_requested()).await;
    }
}
