//! Switches of epochs in a data centre of two entries and three agents over loopback.

#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]

mod fleet;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use fleet::{Agent, Entry, HERE, introduce, metric, state, until};
use wagtailreel_core::Epoch;

/// Checks all gates continuously and keeps the first pair of epochs that were admitted at once.
fn watch_gates(
    agents: &[Agent],
    stop: &Arc<AtomicBool>,
) -> thread::JoinHandle<Option<(Epoch, Epoch)>> {
    let gates: Vec<_> = agents.iter().map(|agent| Arc::clone(&agent.gate)).collect();
    let stop = Arc::clone(stop);
    thread::spawn(move || {
        while !stop.load(Ordering::Relaxed) {
            // All are locked together, so that the check is of a single instant.
            let gates: Vec<_> = gates.iter().map(|gate| gate.lock().unwrap()).collect();
            let now = Instant::now();
            let mut open = gates.iter().filter_map(|gate| gate.admit(now, None).ok());
            if let Some(first) = open.next()
                && let Some(other) = open.find(|other| other.epoch != first.epoch)
            {
                return Some((first.epoch, other.epoch));
            }
            drop(gates);
            thread::sleep(Duration::from_micros(200));
        }
        None
    })
}

fn all_admit(agents: &[Agent], epoch: Epoch) -> bool {
    agents.iter().all(|agent| agent.admits() == Some(epoch))
}

#[tokio::test(flavor = "multi_thread")]
async fn flips_whole() {
    let entries = [Entry::start("qh-e1", HERE), Entry::start("qh-e2", HERE)];
    let entries: Vec<&Entry> = entries.iter().collect();
    introduce(&entries);
    let agents: Vec<Agent> = ["qh-u1", "qh-u2", "qh-u3"]
        .iter()
        .map(|vm| Agent::start(vm, &entries))
        .collect();
    let stop = Arc::new(AtomicBool::new(false));
    let watcher = watch_gates(&agents, &stop);
    for epoch in [10, 20, 30] {
        let start = Instant::now();
        for entry in &entries {
            entry.control.set_state(state(epoch, 3));
        }
        until("all agents admit the epoch", || all_admit(&agents, epoch)).await;
        println!("epoch {epoch} open everywhere after {:?}", start.elapsed());
    }
    stop.store(true, Ordering::Relaxed);
    assert_eq!(
        watcher.join().unwrap(),
        None,
        "two epochs were admitted at once"
    );
    for entry in &entries {
        // An agent opens an epoch one message before its entries learn of that.
        until("the entry receives the report", || {
            let view = entry.view();
            view.len() == 3 && view.values().all(|agent| agent.report.open == Some(30))
        })
        .await;
        assert!(metric(&entry.registry, "wagtailreel_control_lease_grants_total") > 0);
        assert_eq!(metric(&entry.registry, "wagtailreel_control_agents"), 3);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_dies() {
    // Long enough that no lease expires on a busy machine.
    let lease = Duration::from_secs(2);
    let entries = ["qh-e1", "qh-e2"].map(|vm| Entry::with_lease(vm, HERE, lease));
    let refs: Vec<&Entry> = entries.iter().collect();
    introduce(&refs);
    let agents: Vec<Agent> = ["qh-u1", "qh-u2", "qh-u3"]
        .iter()
        .map(|vm| Agent::start(vm, &refs))
        .collect();
    for entry in &entries {
        entry.control.set_state(state(10, 3));
    }
    until("the first epoch is open", || all_admit(&agents, 10)).await;
    entries[0].control.stop();
    // The other entry renews the leases meanwhile, and then switches alone.
    let start = Instant::now();
    while start.elapsed() < lease * 2 {
        assert!(all_admit(&agents, 10), "an agent lost its lease");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    entries[1].control.set_state(state(20, 3));
    until("the second epoch is open", || all_admit(&agents, 20)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_restarts() {
    let first = Entry::start("qh-e1", HERE);
    let second = Entry::start("qh-e2", HERE);
    introduce(&[&first, &second]);
    let agents = [Agent::start("qh-u1", &[&first, &second])];
    first.control.set_state(state(10, 1));
    until("the first epoch is open", || all_admit(&agents, 10)).await;
    second.control.stop();
    let third = Entry::start("qh-e3", HERE);
    introduce(&[&first, &third]);
    let addresses = [&first, &third].map(|entry| (entry.vm.vm.clone(), entry.vm.control));
    agents[0].control.set_entries(addresses.to_vec());
    until("the new entry grants", || {
        metric(&third.registry, "wagtailreel_control_lease_grants_total") > 0
    })
    .await;
    first.control.stop();
    third.control.set_state(state(20, 1));
    until("the second epoch is open", || all_admit(&agents, 20)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn frozen_peer() {
    // The listener accepts connections and sends nothing, as a suspended process does.
    let silent = std::net::TcpListener::bind(fleet::loopback()).unwrap();
    let entry = Entry::start("qh-e1", HERE);
    let mut frozen = Entry::start("qh-e2", HERE);
    frozen.control.stop();
    frozen.vm.control = silent.local_addr().unwrap();
    introduce(&[&entry, &frozen]);
    let agents: Vec<Agent> = ["qh-u1", "qh-u2"]
        .iter()
        .map(|vm| Agent::start(vm, &[&entry, &frozen]))
        .collect();
    for epoch in [10, 20] {
        entry.control.set_state(state(epoch, 2));
        until("all agents admit the epoch", || all_admit(&agents, epoch)).await;
    }
    assert!(metric(&entry.registry, "wagtailreel_control_sync_failures_total") > 0);
}
