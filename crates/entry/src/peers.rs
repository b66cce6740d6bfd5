//! Data from peers: configuration, reports of agents, and demand for limits.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use futures::future::join_all;
use tokio_util::sync::CancellationToken;
use wagtailreel_control::{EntryControl, pull_state};
use wagtailreel_core::DataCentre;
use wagtailreel_route::{Demand, Shares};

use crate::config::ConfigBook;
use crate::events;
use crate::live::GoLiveTimer;
use crate::services::Services;
use crate::vms::KnownVms;

/// Time-out of a request for a peer's configuration.
const PULL_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval of pulls from peers while the configuration is unknown.
const INITIAL_PULL_INTERVAL: Duration = Duration::from_millis(500);

/// Interval of pulls from peers once a configuration is known.
const PULL_INTERVAL: Duration = Duration::from_secs(2);

/// Maximum number of peers that are asked in one round.
const MAX_PULLS_PER_ROUND: usize = 8;

/// Interval at which the shares of limits are computed.
const SHARES_INTERVAL: Duration = Duration::from_millis(200);

/// Pulls the configuration from peers while the log can't be read.
///
/// The highest revision wins, in whatever order the answers arrive. One answer is not enough: that
/// peer may lack the last edits, which another entry or an agent has.
pub(crate) async fn pull_without_log(
    book: Arc<ConfigBook>,
    seeds: Vec<SocketAddr>,
    vms: Arc<KnownVms>,
    control: EntryControl,
    data_centre: DataCentre,
    cancel: CancellationToken,
) {
    let agents = control.agents();
    let mut reading = book.reading();
    loop {
        let unreadable = reading.wait_for(|reading| !reading);
        if !matches!(cancel.run_until_cancelled(unreadable).await, Some(Ok(_))) {
            return;
        }
        let mut addrs = vms.control_addrs(&data_centre);
        addrs.extend(&seeds);
        // If the list of VMs can't be read either, agents are known only from their reports.
        let views = Arc::clone(&agents.borrow());
        addrs.extend(views.values().map(|view| view.report.control));
        addrs.sort();
        addrs.dedup();
        rand::seq::SliceRandom::shuffle(addrs.as_mut_slice(), &mut rand::rng());
        addrs.truncate(MAX_PULLS_PER_ROUND);
        let pulls = addrs.iter().map(|addr| pull_state(*addr, PULL_TIMEOUT));
        let Some(answers) = cancel.run_until_cancelled(join_all(pulls)).await else {
            return;
        };
        for view in answers.into_iter().flatten() {
            if book.merge_state(&view) {
                let offset = view.offset.to_string();
                events::STATE_PULLED.emit(&[("offset", &offset)]);
            }
        }
        let pull_interval = if book.is_known() {
            PULL_INTERVAL
        } else {
            INITIAL_PULL_INTERVAL
        };
        let slept = cancel
            .run_until_cancelled(tokio::time::sleep(pull_interval))
            .await;
        if slept.is_none() {
            return;
        }
    }
}

/// Merges configuration that peer entries have and this one lacks, until `cancel`.
pub(crate) async fn follow_peer_state(
    book: Arc<ConfigBook>,
    control: EntryControl,
    cancel: CancellationToken,
) {
    let mut learned = control.learned();
    while let Some(Ok(())) = cancel.run_until_cancelled(learned.changed()).await {
        let view = learned.borrow_and_update().clone();
        book.merge_state(&view);
    }
}

/// Passes the agents' reports to the request path, until `cancel`.
pub(crate) async fn follow_agents(
    services: Arc<Services>,
    live: Arc<GoLiveTimer>,
    control: EntryControl,
    cancel: CancellationToken,
) {
    let mut agents = control.agents();
    loop {
        let views = Arc::clone(&agents.borrow_and_update());
        services.reports(&views);
        live.reports(&views);
        if !matches!(
            cancel.run_until_cancelled(agents.changed()).await,
            Some(Ok(()))
        ) {
            return;
        }
    }
}

/// Sends this entry's demand to peers and updates its shares of limits, until `cancel`.
pub(crate) async fn update_shares(
    services: Arc<Services>,
    control: EntryControl,
    vms: Arc<KnownVms>,
    shares: Arc<Mutex<Shares>>,
    cancel: CancellationToken,
) {
    let demands = control.demands();
    let mut interval = tokio::time::interval(SHARES_INTERVAL);
    loop {
        if cancel.run_until_cancelled(interval.tick()).await.is_none() {
            return;
        }
        let now = Instant::now();
        let all = services.all();
        let own: Demand = all
            .iter()
            .map(|service| (service.name().to_owned(), service.demand(now)))
            .collect();
        control.set_demand(own.clone());
        let views = Arc::clone(&demands.borrow());
        let mut shares = shares.lock().unwrap_or_else(PoisonError::into_inner);
        let names = vms.entry_names();
        for (vm, view) in views.iter().filter(|(vm, _)| names.contains(*vm)) {
            shares.peer(vm, &view.demand, view.received);
        }
        shares.tick(&own, now);
        for service in all {
            let name = service.name();
            let fresh = shares.own_share(name, "");
            service.set_shares(fresh, now, |customer| shares.own_share(name, customer));
        }
    }
}
