//! Polls one entry of each other data centre for the agents and the entries' demand there.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;
use tokio::time::{MissedTickBehavior, interval};
use wagtailreel_core::{DataCentre, Report, VmEntry, VmId};
use wagtailreel_wire::control_capnp::entry;
use wagtailreel_wire::{EntryDemand, read_entry_demand, read_report};

use super::shell::{EntryLinks, Shell};
use crate::ControlError;
use crate::link::Link;
use crate::metrics::Kind;

/// Time between polls of each other data centre.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Time-out of a poll, below the interval so that polls don't accumulate.
const POLL_TIMEOUT: Duration = Duration::from_millis(450);
/// Longest backoff between attempts to connect to an entry of another data centre.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Answer of an entry for its data centre: reports with their ages, and demand.
type Answer = (Vec<(Report, Duration)>, Vec<EntryDemand>);

/// Polls one entry of each other data centre periodically for its agents and its entries' demand.
pub(crate) async fn poll_remote(shell: Rc<Shell>) {
    let links: RefCell<EntryLinks> = RefCell::default();
    // Index of the entry to poll, by data centre. It advances when that entry fails.
    let mut turns: BTreeMap<DataCentre, usize> = BTreeMap::new();
    let mut ticks = interval(POLL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let remote = shell.remote_entries();
        prune_links(&mut links.borrow_mut(), &remote);
        let asked = remote.iter().map(|(data_centre, entries)| {
            let turn = turns.get(data_centre).copied().unwrap_or(0) % entries.len().max(1);
            let link = entries
                .get(turn)
                .map(|entry| link_to(&shell, &links, entry));
            let shell = &shell;
            async move {
                let answered = match link {
                    Some(link) => poll_entry(shell, &link).await,
                    None => true,
                };
                (data_centre.clone(), if answered { turn } else { turn + 1 })
            }
        });
        let asked = join_all(asked).await;
        turns = asked.into_iter().collect();
    }
}

fn prune_links(links: &mut EntryLinks, remote: &BTreeMap<DataCentre, Vec<VmEntry>>) {
    let known: BTreeMap<&VmId, &VmEntry> = remote
        .values()
        .flatten()
        .map(|entry| (&entry.vm, entry))
        .collect();
    links.retain(|vm, link| {
        known
            .get(vm)
            .is_some_and(|entry| entry.control == link.addr())
    });
}

fn link_to(shell: &Shell, links: &RefCell<EntryLinks>, entry: &VmEntry) -> Rc<Link<entry::Client>> {
    let mut links = links.borrow_mut();
    let link = links.entry(entry.vm.clone()).or_insert_with(|| {
        let metrics = shell.metrics().clone();
        Rc::new(Link::new(
            entry.vm.clone(),
            entry.control,
            MAX_BACKOFF,
            metrics,
        ))
    });
    Rc::clone(link)
}

/// Polls an entry for its agents. Returns whether the entry answered.
async fn poll_entry(shell: &Shell, link: &Link<entry::Client>) -> bool {
    if link.retry_at().is_some() {
        return false;
    }
    let call = |client: entry::Client| async move {
        let response = client.agents_request().send().promise.await?;
        let response = response.get()?;
        let words = response.total_size()?.word_count;
        shell.metrics().received(Kind::Agents, words);
        let mut agents = Vec::new();
        for agent in response.get_agents()? {
            let age = Duration::from_micros(agent.get_age_micros());
            agents.push((read_report(agent.get_report()?)?, age));
        }
        let entries = response.get_entries()?.iter();
        let demands = entries
            .map(read_entry_demand)
            .collect::<Result<Vec<_>, _>>()?;
        Ok((agents, demands))
    };
    let result: Result<Answer, ControlError> = link.call(POLL_TIMEOUT, call).await;
    match result {
        Ok((agents, demands)) => {
            shell.on_remote_agents(agents);
            shell.on_remote_demands(&demands);
            true
        }
        Err(_) => false,
    }
}
