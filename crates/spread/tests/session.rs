//! Snapshots of whole sessions of one planner: its input events and its actions.
#![allow(
    clippy::unwrap_used,
    reason = "a panic while a session is written fails the test"
)]

mod model;

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::time::{Duration, Instant};

use model::{digests, entries};
use wagtailreel_core::{SpreadGoal, SpreadPolicy, SpreadSettings};
use wagtailreel_spread::{
    Action, ChunkSet, Event, Failure, Fetch, FetchId, Planner, PlannerConfig, Site, Source,
};

/// The planner of `vm-000` with a transcript.
struct Session {
    planner: Planner,
    now: Instant,
    at: Duration,
    chunks: u32,
    fetches: BTreeMap<FetchId, Fetch>,
    text: String,
}

impl Session {
    /// Starts a session of one of `vms` VMs over two data centres.
    fn new(vms: usize, chunks: u32, weigh: SpreadGoal, policy: SpreadPolicy) -> Self {
        let now = Instant::now();
        let entries = entries(vms, 2);
        let cfg = PlannerConfig {
            own: Site::of(&entries[0]),
            chunks: digests(chunks, 1),
            have: ChunkSet::new(chunks),
            settings: SpreadSettings {
                weigh,
                policy,
                rate: None,
            },
            seed: 1,
        };
        let mut session = Self {
            planner: Planner::new(cfg, now),
            now,
            at: Duration::ZERO,
            chunks,
            fetches: BTreeMap::new(),
            text: String::new(),
        };
        session.apply(&format!("{vms} VMs"), Event::Peers(entries));
        session
    }

    /// Applies an event, and appends it and the actions to the transcript.
    fn apply(&mut self, what: &str, event: Event) {
        let actions = self.planner.apply(event, self.now + self.at);
        writeln!(self.text, "{:>6} ms  {what}", self.at.as_millis()).unwrap();
        for action in actions {
            let line = match action {
                Action::Cancel { id } => format!("cancel {id}"),
                Action::Fetch(fetch) => {
                    let Fetch {
                        id,
                        chunk,
                        from,
                        reason,
                    } = &fetch;
                    let line = format!("fetch {id}: chunk {chunk} from {from} ({reason})");
                    self.fetches.insert(*id, fetch);
                    line
                }
            };
            writeln!(self.text, "             -> {line}").unwrap();
        }
    }

    fn have(&mut self, vm: &str, chunks: &[u32]) {
        let mut have = ChunkSet::new(self.chunks);
        for chunk in chunks {
            have.insert(*chunk);
        }
        let vm = vm.to_owned();
        self.apply(&format!("{vm} has {chunks:?}"), Event::Have { vm, have });
    }

    fn lost(&mut self, vm: &str) {
        let vm = vm.to_owned();
        self.apply(&format!("{vm} is lost"), Event::Lost { vm });
    }

    fn fetched(&mut self, id: FetchId) {
        let chunk = self.fetches[&id].chunk;
        self.apply(&format!("fetched {id}"), Event::Fetched { id, chunk });
    }

    fn failed(&mut self, id: FetchId, failure: Failure) {
        self.apply(
            &format!("failed {id}: {failure}"),
            Event::Failed { id, failure },
        );
    }

    /// Advances the time in steps of 50 ms, and appends the steps that cause actions.
    fn wait(&mut self, length: u64) {
        for _ in 0..length / 50 {
            self.at += Duration::from_millis(50);
            let before = self.text.len();
            self.apply("", Event::Tick);
            if self.text[before..].lines().count() == 1 {
                self.text.truncate(before);
            }
        }
    }
}

/// Returns the failure of a busy source that requests a delay.
const fn busy(millis: u64) -> Failure {
    Failure::Busy {
        retry_after: Some(Duration::from_millis(millis)),
    }
}

#[test]
fn draws_and_spreads() {
    let mut session = Session::new(3, 6, SpreadGoal::OriginBytes, SpreadPolicy::Balanced);
    session.have("vm-001", &[]);
    session.have("vm-002", &[]);
    session.wait(100);
    session.fetched(1);
    session.have("vm-001", &[0, 1]);
    session.have("vm-002", &[0, 3]);
    session.wait(50);
    for id in [2, 3, 4, 5] {
        if session.fetches.contains_key(&id) {
            session.fetched(id);
        }
    }
    insta::assert_snapshot!(session.text);
}

#[test]
fn second_copies() {
    let mut session = Session::new(4, 6, SpreadGoal::Time, SpreadPolicy::Balanced);
    for vm in ["vm-001", "vm-002", "vm-003"] {
        session.have(vm, &[]);
    }
    session.wait(50);
    for id in 1..=6 {
        if session.fetches.contains_key(&id) {
            session.fetched(id);
            session.wait(50);
        }
    }
    insta::assert_snapshot!(session.text);
}

#[test]
fn takes_over() {
    let mut session = Session::new(3, 6, SpreadGoal::OriginBytes, SpreadPolicy::Balanced);
    session.have("vm-001", &[]);
    session.lost("vm-002");
    for id in 1..=4 {
        session.wait(300);
        session.fetched(id);
    }
    // vm-001 is alive, but draws none of the chunks that it ranks first for.
    session.wait(3000);
    insta::assert_snapshot!(session.text);
}

#[test]
fn corrupt_source() {
    let mut session = Session::new(3, 2, SpreadGoal::OriginBytes, SpreadPolicy::Balanced);
    session.have("vm-001", &[0, 1]);
    session.have("vm-002", &[]);
    session.failed(1, Failure::Corrupt);
    session.have("vm-001", &[0, 1]);
    session.failed(2, Failure::Corrupt);
    session.have("vm-002", &[0, 1]);
    session.wait(1000);
    insta::assert_snapshot!(session.text);
}

#[test]
fn refusing_origin() {
    let mut session = Session::new(1, 2, SpreadGoal::Time, SpreadPolicy::Balanced);
    session.wait(300);
    session.failed(1, busy(2000));
    session.failed(2, Failure::Broken);
    session.wait(3000);
    session.failed(3, Failure::Broken);
    session.wait(3000);
    insta::assert_snapshot!(session.text);
}

#[test]
fn stalled_source() {
    let mut session = Session::new(3, 1, SpreadGoal::OriginBytes, SpreadPolicy::Balanced);
    session.have("vm-001", &[0]);
    session.have("vm-002", &[]);
    session.wait(2000);
    session.have("vm-002", &[0]);
    session.wait(2000);
    session.fetched(2);
    insta::assert_snapshot!(session.text);
}

#[test]
fn always_busy() {
    let mut session = Session::new(2, 1, SpreadGoal::OriginBytes, SpreadPolicy::Balanced);
    session.have("vm-001", &[0]);
    for id in 1..30 {
        let asked = session.fetches.get(&id).map(|fetch| fetch.from.clone());
        if asked == Some(Source::Origin) {
            session.fetched(id);
            break;
        }
        session.failed(id, busy(400));
        session.wait(600);
    }
    assert!(session.planner.is_done(), "{}", session.text);
    insta::assert_snapshot!(session.text);
}

#[test]
fn broken_chain() {
    let mut session = Session::new(4, 2, SpreadGoal::Time, SpreadPolicy::Chain);
    let parents: Vec<String> = session.planner.watched().iter().cloned().collect();
    let parent = parents.first().cloned().unwrap_or_default();
    session.have(&parent, &[0]);
    session.lost(&parent);
    session.failed(1, Failure::Broken);
    session.wait(2000);
    let watched = session.planner.watched().clone();
    session.apply(&format!("watches {watched:?}"), Event::Tick);
    insta::assert_snapshot!(session.text);
}
