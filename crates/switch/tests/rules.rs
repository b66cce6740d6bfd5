//! Tests each rule under which an entry grants leases.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]

mod world;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rstest::rstest;
use wagtailreel_core::*;
use wagtailreel_switch::{Opener, OpenerConfig};
use world::{SERVICE, document, make_report, vm_entries};

/// Time in ms after which an entry without peers is settled, with a margin.
const SETTLE_MS: u64 = 2000;

/// The entry `e0` and a clock.
struct Bench {
    opener: Opener,
    base: Instant,
    now: u64,
    sequence: u64,
}

impl Bench {
    /// Starts the entry with the entries `listed` in its list of VMs.
    fn new(listed: &[&str]) -> Self {
        let base = Instant::now();
        let cfg = OpenerConfig {
            vm: "e0".to_owned(),
            incarnation: 1,
            data_centre: "quito-hall".to_owned(),
            control: "127.0.0.1:1".parse().unwrap(),
            lease: Duration::from_secs(1),
        };
        let mut bench = Self {
            opener: Opener::new(cfg, base),
            base,
            now: 0,
            sequence: 0,
        };
        bench.list(listed);
        bench
    }

    fn list(&mut self, listed: &[&str]) {
        let names: Vec<VmId> = listed.iter().map(|vm| (*vm).to_owned()).collect();
        let now = self.at(self.now);
        let entries = vm_entries(&names, VmRole::Entry);
        self.opener.on_entries(now, &entries);
    }

    fn at(&self, ms: u64) -> Instant {
        self.base + Duration::from_millis(ms)
    }

    /// Advances the clock by `ms`. In each sync round, the peers of `answers` answer and the calls to
    /// all other peers fail.
    fn run(&mut self, ms: u64, answers: &[PeerState]) {
        let end = self.now + ms;
        while self.now < end {
            self.round(answers);
            self.now += 125;
        }
    }

    fn round(&mut self, answers: &[PeerState]) {
        let now = self.at(self.now);
        self.opener.on_round(now);
        for vm in self.opener.peers().into_keys() {
            match answers.iter().find(|state| state.vm == vm) {
                Some(state) => self.opener.on_peer_answer(now, now, state),
                None => self.opener.on_peer_failure(now, now, &vm),
            }
        }
    }

    /// Sends a report of the agent `a0`, which has loaded `epoch`. Returns the epoch that is granted.
    fn grants(&mut self, epoch: Epoch) -> Option<Epoch> {
        self.sequence += 1;
        let mut report = make_report(&"a0".to_owned(), 1, &world::Agent::default(), 2);
        report.sequence = self.sequence;
        report.closed_below = epoch;
        report.weights = BTreeMap::from([(epoch, WeightsPhase::Loaded)]);
        let now = self.at(self.now);
        assert!(self.opener.on_report(now, &report));
        let directive = self.opener.directive(now, "a0");
        assert_eq!(directive.open.is_some(), !directive.lease.is_zero());
        directive.open
    }
}

/// Creates the state of the peer `vm`, which closes below `epoch` and whose agents all have closed.
fn peer(vm: &str, epoch: Epoch, settled: bool) -> PeerState {
    let service = ServicePeerState {
        close_below: epoch,
        open: epoch,
        all_closed_below: epoch,
    };
    PeerState {
        vm: vm.to_owned(),
        incarnation: 5,
        config: 10,
        settled,
        entries: BTreeMap::from([(vm.to_owned(), "127.0.0.1:1".parse().unwrap())]),
        services: BTreeMap::from([(SERVICE.to_owned(), service)]),
        demand: BTreeMap::new(),
    }
}

/// Returns an entry that has the settled peers `e1` and `e2` and grants 10.
fn granting() -> Bench {
    let mut bench = Bench::new(&["e1", "e2"]);
    bench.grants(10);
    bench.run(SETTLE_MS, &[peer("e1", 10, true), peer("e2", 10, true)]);
    assert_eq!(bench.grants(10), Some(10));
    bench
}

#[test]
fn lone_entry_waits_out_leases() {
    let mut bench = Bench::new(&[]);
    bench.run(1500, &[]);
    assert_eq!(bench.grants(10), None, "before earlier leases have lapsed");
    bench.run(500, &[]);
    assert_eq!(bench.grants(10), Some(10));
}

#[test]
fn suspended_lone_entry_waits_again() {
    let mut bench = Bench::new(&[]);
    bench.grants(10);
    bench.run(SETTLE_MS, &[]);
    assert_eq!(bench.grants(10), Some(10));
    // Another entry may have started, opened an epoch and ended while this one was suspended.
    bench.now += 10_000;
    assert_eq!(bench.grants(10), None, "before the first round");
    bench.run(500, &[]);
    assert_eq!(
        bench.grants(10),
        None,
        "before the leases of other entries have lapsed"
    );
    bench.run(1500, &[]);
    assert_eq!(bench.grants(10), Some(10));
}

#[test]
fn suspended_entry_needs_all_answers() {
    let mut bench = granting();
    bench.now += 10_000;
    bench.run(500, &[peer("e1", 10, true)]);
    assert_eq!(bench.grants(10), None, "e2 has not answered");
    bench.run(125, &[peer("e1", 10, true), peer("e2", 10, true)]);
    assert_eq!(bench.grants(10), Some(10));
}

#[test]
fn unsettled_peers_need_grace_time() {
    let mut bench = granting();
    bench.now += 10_000;
    let answers = [peer("e1", 10, false), peer("e2", 10, false)];
    bench.run(500, &answers);
    assert_eq!(
        bench.grants(10),
        None,
        "no entry knows which epoch was open"
    );
    bench.run(1500, &answers);
    assert_eq!(bench.grants(10), Some(10));
}

#[test]
fn answer_read_after_suspension() {
    let mut bench = granting();
    let before = bench.at(bench.now);
    bench.now += 10_000;
    let now = bench.at(bench.now);
    bench.opener.on_round(now);
    for vm in ["e1", "e2"] {
        // The answers arrived while the entry was suspended, and are read late.
        bench
            .opener
            .on_peer_answer(now, before, &peer(vm, 10, true));
    }
    assert_eq!(bench.grants(10), None);
}

#[test]
fn answer_after_grant_window() {
    let mut bench = granting();
    bench.now += 10_000;
    let started = bench.at(bench.now);
    bench.opener.on_round(started);
    bench.now += 450;
    bench.opener.on_round(bench.at(bench.now));
    bench.now += 100;
    let now = bench.at(bench.now);
    for vm in ["e1", "e2"] {
        bench
            .opener
            .on_peer_answer(now, started, &peer(vm, 10, true));
    }
    assert_eq!(bench.grants(10), None, "550 ms after the call");
}

#[test]
fn grants_go_on_without_dead_peer() {
    let mut bench = granting();
    // A settled entry renews leases for the open epoch, however long a peer is unreachable.
    for _ in 0..40 {
        bench.run(125, &[peer("e1", 10, true)]);
        assert_eq!(bench.grants(10), Some(10));
    }
}

/// Lets `bench` adopt a close below 20, which `e1` and the agent of `bench` have completed.
fn closing(bench: &mut Bench) {
    bench.run(125, &[peer("e1", 20, true)]);
    assert_eq!(bench.grants(20), None, "e2 may have granted 10");
}

#[rstest]
#[case::listed(&["e1", "e2"])]
#[case::unlisted(&["e1"])]
fn silent_peer_is_waited_out(#[case] listed: &[&str]) {
    let mut bench = granting();
    bench.list(listed);
    closing(&mut bench);
    bench.run(1500, &[peer("e1", 20, true)]);
    assert_eq!(bench.grants(20), None, "leases from e2 may not have lapsed");
    bench.run(500, &[peer("e1", 20, true)]);
    assert_eq!(bench.grants(20), Some(20));
}

#[test]
fn silence_starts_after_last_message() {
    let mut bench = granting();
    let early = bench.at(bench.now);
    bench.run(1000, &[peer("e1", 10, true), peer("e2", 10, true)]);
    // A call that was started before e2's last answer fails only now.
    let now = bench.at(bench.now);
    bench.opener.on_peer_failure(now, early, "e2");
    closing(&mut bench);
    bench.run(1000, &[peer("e1", 20, true)]);
    assert_eq!(bench.grants(20), None, "e2 has been silent for 1125 ms");
}

#[test]
fn own_suspension_proves_no_silence() {
    let mut bench = granting();
    bench.run(125, &[peer("e1", 10, true)]);
    let before = bench.at(bench.now);
    bench.now += 10_000;
    // A call that failed because this entry was suspended does not show that e2 is silent.
    let now = bench.at(bench.now);
    bench.opener.on_round(now);
    bench.opener.on_peer_failure(now, before, "e2");
    bench.run(250, &[peer("e1", 20, true)]);
    assert_eq!(bench.grants(20), None);
}

#[test]
fn entry_learned_from_peer() {
    let mut bench = Bench::new(&["e1"]);
    let mut knows_third = peer("e1", 10, true);
    let third = ("e3".to_owned(), "127.0.0.1:1".parse().unwrap());
    knows_third.entries.extend([third]);
    bench.grants(10);
    bench.run(1500, &[knows_third.clone()]);
    assert_eq!(bench.grants(10), None, "e3 has not answered");
    bench.run(125, &[knows_third, peer("e3", 10, true)]);
    assert_eq!(bench.grants(10), Some(10));
}

#[test]
fn outdated_start_is_ignored() {
    let mut bench = granting();
    let restarted = PeerState {
        incarnation: 6,
        services: BTreeMap::new(),
        ..peer("e2", 0, false)
    };
    bench.run(125, &[peer("e1", 20, true), restarted]);
    assert_eq!(bench.grants(20), None);
    // The state that the earlier start sent arrives late.
    let now = bench.at(bench.now);
    bench.opener.on_peer_call(now, &peer("e2", 20, true));
    assert_eq!(bench.grants(20), None);
}

#[test]
fn new_entry_reports_nothing_closed() {
    let mut bench = Bench::new(&["e1"]);
    bench.grants(20);
    bench.run(250, &[peer("e1", 20, true)]);
    let all_closed = |bench: &Bench| {
        let state = bench.opener.peer_state(bench.at(bench.now));
        assert!(state.settled);
        state.services[SERVICE].all_closed_below
    };
    // An earlier process on this VM may have granted 10 to an agent that has not reported yet.
    assert_eq!((all_closed(&bench), bench.grants(20)), (0, None));
    bench.run(1000, &[peer("e1", 20, true)]);
    assert_eq!((all_closed(&bench), bench.grants(20)), (20, Some(20)));
}

#[test]
fn grants_checked_after_suspension() {
    let mut bench = granting();
    bench.now += 10_000;
    // After a suspension, the epoch granted before is granted again only if all peers have closed
    // below it.
    let restarted = PeerState {
        incarnation: 6,
        services: BTreeMap::new(),
        ..peer("e2", 0, false)
    };
    bench.run(250, &[peer("e1", 10, true), restarted]);
    assert_eq!(bench.grants(10), None);
}

#[test]
fn outdated_report_is_refused() {
    let mut bench = granting();
    let mut report = make_report(&"a0".to_owned(), 1, &world::Agent::default(), 2);
    let now = bench.at(bench.now);
    assert!(!bench.opener.on_report(now, &report), "sequence 0 is late");
    report.sequence = 100;
    report.data_centre = "guayaquil-hall".to_owned();
    assert!(!bench.opener.on_report(now, &report), "another data centre");
    report.data_centre = "quito-hall".to_owned();
    report.incarnation = 0;
    assert!(!bench.opener.on_report(now, &report), "an earlier start");
    assert_eq!(bench.opener.refusal().lease, Duration::ZERO);
}

#[rstest]
#[case::deleted(None)]
#[case::moved_away(Some("guayaquil-hall"))]
fn withdrawn_service_is_closed(#[case] data_centre: Option<&str>) {
    let mut bench = granting();
    let document = data_centre.map(|data_centre| {
        let mut document = document(1);
        data_centre.clone_into(&mut document.places[0].data_centre);
        Box::new(document)
    });
    let state = ServiceState {
        service: SERVICE.to_owned(),
        team: "scribes".to_owned(),
        revision: 30,
        epoch: 30,
        document,
    };
    let view = StateView {
        offset: 30,
        services: BTreeMap::from([(SERVICE.to_owned(), state)]),
    };
    let now = bench.at(bench.now);
    bench.opener.on_state(now, &view);
    assert_eq!(bench.opener.directive(now, "a0").close_below, 30);
    bench.run(125, &[peer("e1", 30, true), peer("e2", 30, true)]);
    assert_eq!(bench.grants(30), None, "there is nothing to serve");
}

/// Returns an entry that lists three agents with space for one bundle each, and has epoch 20 as
/// target, which two of them must have loaded.
fn swapping() -> Bench {
    let mut bench = Bench::new(&[]);
    let names = ["a0", "a1", "a2"].map(str::to_owned);
    let now = bench.at(0);
    let vms = vm_entries(&names, VmRole::Upstream);
    bench.opener.on_vms(now, &vms);
    let state = ServiceState {
        service: SERVICE.to_owned(),
        team: "scribes".to_owned(),
        revision: 20,
        epoch: 20,
        document: Some(Box::new(document(2))),
    };
    let view = StateView {
        offset: 20,
        services: BTreeMap::from([(SERVICE.to_owned(), state)]),
    };
    bench.opener.on_state(now, &view);
    bench
}

/// Sends a report of each of the three agents. Those in `staged` have staged the weights. Returns
/// the agents that are chosen to swap.
fn swaps(bench: &mut Bench, staged: &[&str]) -> Vec<&'static str> {
    let names = ["a0", "a1", "a2"];
    bench.sequence += 1;
    let now = bench.at(bench.now);
    for vm in names {
        let mut report = make_report(&vm.to_owned(), 1, &world::Agent::default(), 1);
        report.sequence = bench.sequence;
        let phase = match staged.contains(&vm) {
            true => WeightsPhase::Staged,
            false => WeightsPhase::Fetching,
        };
        report.weights = BTreeMap::from([(20, phase)]);
        assert!(bench.opener.on_report(now, &report));
    }
    let chosen = |vm: &&str| bench.opener.directive(now, vm).swap_to == Some(20);
    names.into_iter().filter(chosen).collect()
}

/// Two entries with reports of different agents must not choose all three agents between them, since
/// no agent would be left to serve.
#[test]
fn swaps_leave_one_serving() {
    let (mut one, mut two) = (swapping(), swapping());
    let mut chosen = swaps(&mut one, &["a0", "a1"]);
    chosen.extend(swaps(&mut two, &["a1", "a2"]));
    chosen.sort_unstable();
    chosen.dedup();
    assert!(chosen.len() < 3, "no agent is left to serve: {chosen:?}");
    let all = ["a0", "a1", "a2"];
    let first = swaps(&mut one, &all);
    assert_eq!(first.len(), 2);
    assert_eq!(swaps(&mut two, &all), first);
}

/// An agent that does not stage the weights delays the swaps of the others for a limited time only.
#[test]
fn swaps_without_slow_agent() {
    let mut bench = swapping();
    let start = bench.now;
    while swaps(&mut bench, &["a0", "a1"]).is_empty() {
        assert!(bench.now < 10_000, "the swaps of the others never begin");
        bench.run(125, &[]);
    }
    assert!(bench.now > start + 1000, "the third was not waited for");
    assert_eq!(swaps(&mut bench, &["a0", "a1"]), ["a0", "a1"]);
}
