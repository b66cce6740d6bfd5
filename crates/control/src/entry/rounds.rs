//! Sync rounds among the entries of a data centre.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use capnp::capability::FromClientHook;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until};
use wagtailreel_core::{PeerState, StateView, VmId};
use wagtailreel_wire::control_capnp::{entry, state_holder};
use wagtailreel_wire::{read_peer_state, read_state_view, write_peer_state};

use super::shell::Shell;
use crate::ControlError;
use crate::link::Link;
use crate::metrics::Kind;

/// Shortest time between rounds that are started by changes, so that changes are batched.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(1);
/// Most calls to one peer in flight at once. More than one, because a lost call must not
/// keep the next round from reaching the peer.
const MAX_CALLS_PER_PEER: u32 = 4;
/// Time-out of pulling the configuration of a peer.
const PULL_TIMEOUT: Duration = Duration::from_secs(2);

/// Link to one peer, and the calls to it that are in flight.
struct PeerCalls {
    link: Rc<Link<entry::Client>>,
    in_flight: Rc<Cell<u32>>,
    pulling: Rc<Cell<bool>>,
}

/// Counts one call as in flight until dropped.
struct InFlightGuard(Rc<Cell<u32>>);

impl InFlightGuard {
    fn new(count: &Rc<Cell<u32>>) -> Self {
        count.set(count.get() + 1);
        Self(Rc::clone(count))
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// Runs sync rounds at their interval, and at once when peers must learn of a change.
pub(crate) async fn run_rounds(shell: Rc<Shell>) {
    let every = shell.timing().round_interval();
    let peers: RefCell<BTreeMap<VmId, PeerCalls>> = RefCell::default();
    let mut calls = JoinSet::new();
    loop {
        let started = Instant::now();
        // The round is recorded before any peer is called: freshness is measured from its start.
        let listed = shell.start_round(started);
        update(&mut peers.borrow_mut(), &shell, listed);
        for peer in peers.borrow().values() {
            start_call(&mut calls, &shell, peer, started);
        }
        sleep(MIN_ROUND_INTERVAL).await;
        let next = started + every;
        loop {
            tokio::select! {
                () = shell.round_due() => break,
                () = sleep_until(next.into()) => break,
                Some(_) = calls.join_next() => {}
            }
        }
    }
}

/// Creates links to new peers and drops links to peers that are no longer listed.
fn update(
    peers: &mut BTreeMap<VmId, PeerCalls>,
    shell: &Shell,
    listed: BTreeMap<VmId, SocketAddr>,
) {
    peers.retain(|vm, peer| listed.get(vm) == Some(&peer.link.addr()));
    for (vm, addr) in listed {
        peers.entry(vm.clone()).or_insert_with(|| {
            // Attempts must be frequent enough for the grace time to include real attempts.
            let max_backoff = shell.timing().attempt_timeout();
            let link = Link::new(vm, addr, max_backoff, shell.metrics().clone());
            PeerCalls {
                link: Rc::new(link),
                in_flight: Rc::default(),
                pulling: Rc::default(),
            }
        });
    }
}

fn start_call(calls: &mut JoinSet<()>, shell: &Rc<Shell>, peer: &PeerCalls, started: Instant) {
    if peer.in_flight.get() >= MAX_CALLS_PER_PEER || peer.link.retry_at().is_some() {
        return;
    }
    let guard = InFlightGuard::new(&peer.in_flight);
    let shell = Rc::clone(shell);
    let link = Rc::clone(&peer.link);
    let pulling = Rc::clone(&peer.pulling);
    calls.spawn_local(async move {
        let result = sync(&shell, &link).await;
        drop(guard);
        match result {
            Ok(state) => {
                shell.on_peer_answer(started, &state);
                if shell.lacks(state.config) && !pulling.replace(true) {
                    pull(&shell, &link).await;
                    pulling.set(false);
                }
            }
            Err(_) => shell.on_peer_failure(started, link.vm()),
        }
    });
}

async fn sync(shell: &Shell, link: &Link<entry::Client>) -> Result<PeerState, ControlError> {
    let call = |client: entry::Client| async move {
        let mut req = client.sync_request();
        write_peer_state(&shell.peer_state(), req.get().init_state());
        let words = req.get().into_reader().total_size()?.word_count;
        shell.metrics().sent(Kind::PeerState, words);
        let response = req.send().promise.await?;
        let response = response.get()?;
        let words = response.total_size()?.word_count;
        shell.metrics().received(Kind::PeerState, words);
        Ok(read_peer_state(response.get_state()?)?)
    };
    link.call(shell.timing().attempt_timeout(), call).await
}

/// Pulls the configuration of a peer that is ahead of this entry.
async fn pull(shell: &Shell, link: &Link<entry::Client>) {
    let call = |client: entry::Client| async move {
        let response = client
            .cast_to::<state_holder::Client>()
            .pull_request()
            .send()
            .promise
            .await?;
        let response = response.get()?;
        let words = response.total_size()?.word_count;
        shell.metrics().received(Kind::State, words);
        Ok(read_state_view(response.get_state()?)?)
    };
    let result: Result<StateView, ControlError> = link.call(PULL_TIMEOUT, call).await;
    // A failure needs no handling: the next round finds the peer ahead again.
    if let Ok(state) = result {
        shell.merge_state(link.vm(), &state);
    }
}
