//! Transfer of configuration, lists and reports between processes.

mod fleet;

use std::io::Write as _;
use std::net::TcpStream;
use std::time::Duration;

use fleet::{Agent, Entry, HERE, SERVICE, THERE, introduce, loopback, metric, state, until};
use wagtailreel_control::pull_state;
use wagtailreel_core::*;

const PULL_TIMEOUT: Duration = Duration::from_secs(10);

#[tokio::test(flavor = "multi_thread")]
async fn peer_learns() {
    let ahead = Entry::start("qh-e1", HERE);
    let behind = Entry::start("qh-e2", HERE);
    introduce(&[&ahead, &behind]);
    ahead.control.set_state(state(10, 1));
    let learned = behind.control.learned();
    until("the state is received from the peer", || {
        *learned.borrow() == state(10, 1)
    })
    .await;
    // A state with a lower offset changes nothing.
    behind.control.set_state(state(5, 1));
    let pulled = pull_state(behind.control.addr(), PULL_TIMEOUT)
        .await
        .unwrap();
    assert_eq!(pulled, state(10, 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn pulls_state() {
    let entry = Entry::start("qh-e1", HERE);
    let agent = Agent::start("qh-u1", &[&entry]);
    entry.control.set_state(state(10, 1));
    until("the agent has the state", || {
        agent.gate.lock().unwrap().phase(10).is_some()
    })
    .await;
    for addr in [entry.control.addr(), agent.control.addr()] {
        assert_eq!(pull_state(addr, PULL_TIMEOUT).await.unwrap(), state(10, 1));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_peer() {
    // The listener accepts connections and sends nothing, as a suspended process does.
    let silent = std::net::TcpListener::bind(loopback()).unwrap();
    let addr = silent.local_addr().unwrap();
    let error = pull_state(addr, Duration::from_millis(50))
        .await
        .unwrap_err();
    assert!(error.to_string().contains("did not answer within 50 ms"));
    drop(silent);
    let error = pull_state(addr, PULL_TIMEOUT).await.unwrap_err();
    assert!(error.to_string().contains("can't connect"));
}

#[tokio::test(flavor = "multi_thread")]
async fn peers_sent() {
    let entry = Entry::start("qh-e1", HERE);
    let agent = Agent::start("qh-u1", &[&entry]);
    let upstream = |vm: &str, service: &str| VmEntry {
        vm: vm.to_owned(),
        role: VmRole::Upstream,
        service: Some(service.to_owned()),
        ..entry.vm.clone()
    };
    let ours = upstream("qh-u1", SERVICE);
    let list = vec![ours.clone(), upstream("qh-u9", "proof-desk")];
    entry.control.set_vms(list);
    until("the agent has its peers", || {
        *agent.peers.lock().unwrap() == [ours.clone()]
    })
    .await;
    entry.control.set_vms(Vec::new());
    until("the agent has no peers", || {
        agent.peers.lock().unwrap().is_empty()
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn remote_agents() {
    let here = Entry::start("qh-e1", HERE);
    let dead = Entry::start("gh-e0", THERE);
    let there = Entry::start("gh-e1", THERE);
    dead.control.stop();
    introduce(&[&here, &dead, &there]);
    let _agent = Agent::start("qh-u1", &[&here]);
    until("the other data centre sees the agent", || {
        let view = there.view();
        view.get("qh-u1").is_some_and(|agent| agent.remote)
    })
    .await;
    // An entry serves only the agents of its own data centre.
    let stray = Agent::start("qh-u2", &[&there]);
    there.control.set_state(state(10, 1));
    until("the agent of the other data centre reports", || {
        metric(
            &there.registry,
            "wagtailreel_control_messages_received_total",
        ) > 5
    })
    .await;
    assert!(!there.view().contains_key("qh-u2"));
    assert_eq!(stray.admits(), None);
}

#[tokio::test(flavor = "multi_thread")]
async fn garbage_refused() {
    let entry = Entry::start("qh-e1", HERE);
    let mut stranger = TcpStream::connect(entry.control.addr()).unwrap();
    // A frame that claims four thousand million segments.
    stranger.write_all(&[0xFF; 64]).unwrap();
    let agent = Agent::start("qh-u1", &[&entry]);
    entry.control.set_state(state(10, 1));
    until("the agent opens", || agent.admits() == Some(10)).await;
}
