//! Tasks that apply the entries' directives and follow the platform's list of VMs.

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

/// Time for which a long poll of the list of VMs waits for a change.
const LIST_POLL_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay before the list is requested again after a failure, before jitter.
const LIST_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Prefix of the name given to an entry of which only the address is known.
const SEED_NAME_PREFIX: &str = "seed-";

/// Applies directives.
#[derive(Debug)]
pub(crate) struct Follower {
    /// Shared state of the agent.
    pub(crate) hub: Arc<Hub>,
    /// Handle of the control thread, which sends the state to entries.
    pub(crate) control: AgentControl,
    /// The VMs that chunks may be fetched from.
    pub(crate) peers: watch::Sender<Vec<VmEntry>>,
    /// Send time of the last report that was answered.
    pub(crate) last_answered: watch::Sender<Option<Instant>>,
}

impl Follower {
    /// Applies directives until the control thread ends.
    pub(crate) async fn run(self) {
        let mut directives = self.control.directives();
        while let Some(from) = directives.recv().await {
            self.apply(from);
        }
    }

    /// Applies one directive.
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
            .send_modify(|at| *at = (*at).max(Some(from.sent_at)));
    }

    /// Applies the list of the service's VMs.
    ///
    /// The list includes this VM. An empty list therefore comes from an entry that has not seen the
    /// platform's list, such as one started while the platform is unreachable, and is ignored.
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

    /// Sends the state that was just applied to entries, and requests a check of the upstream.
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
    /// Shared state of the agent.
    pub(crate) hub: Arc<Hub>,
    /// Handle of the control thread, which gets the entries.
    pub(crate) control: AgentControl,
    /// Client of the platform's list.
    pub(crate) list: V,
    /// Entries to report to until the first list arrives.
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
            // After a failure the list may have restarted with lower versions.
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

    /// Reports to the seeds until the first list arrives.
    fn report_to_seeds(&self) {
        if self.seeds.is_empty() {
            return;
        }
        let seeds = self.seeds.iter();
        let entries = seeds.map(|addr| (format!("{SEED_NAME_PREFIX}{addr}"), *addr));
        self.control.set_entries(entries.collect());
    }

    /// Stops admission once the list marks this VM as leaving. The notice to this process may be
    /// lost, and entries with an outdated list learn of it only from this agent's reports.
    fn leave_if_listed(&self, page: &VmListPage) {
        let own = page.vms.iter().find(|entry| entry.vm == self.hub.facts.vm);
        if own.is_some_and(|entry| entry.state == VmState::Leaving) && self.hub.leave() {
            events::LISTED_LEAVING.emit(&[]);
        }
    }

    /// Returns the entries of the agent's data centre, including leaving ones: they need the agent's
    /// reports to finish their running requests.
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

/// Sends the agent's reports: at least every `period`, and immediately on request.
pub(crate) async fn send_reports(hub: Arc<Hub>, control: AgentControl, period: Duration) {
    loop {
        control.set_report(hub.report());
        // A time-out and a request both lead to a report of the current state.
        let _ = tokio::time::timeout(period, hub.report_requested()).await;
    }
}
