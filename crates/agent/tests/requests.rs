//! The ledger of requests: a request starts at most once, and never after a `not-run` answer.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::time::{Duration, Instant};

use proptest::prelude::*;
use rstest::rstest;
use wagtailreel_agent_core::requests::{
    Accepted, CancelState, Ledger, RETENTION, RequestKey, StartMode, Started,
};

/// Runs a session with one step per line: `<ms> <verb> <request> [resume]`.
fn play(limit: usize, session: &str) -> String {
    let mut ledger = Ledger::new(limit);
    let base = Instant::now();
    let mut out = String::new();
    for line in session.lines().map(str::trim).filter(|l| !l.is_empty()) {
        let words: Vec<&str> = line.split_whitespace().collect();
        let now = base + Duration::from_millis(words[0].parse().unwrap());
        let key = RequestKey::new(words[2]);
        let mode = match words.get(3) {
            Some(&"resume") => StartMode::Resume,
            _ => StartMode::Fresh,
        };
        let answer = match words[1] {
            "accept" => ledger.accept(key, mode, now).to_string(),
            "start" => ledger.start(key, mode).to_string(),
            "cancel" => ledger.cancel(key, now).to_string(),
            verb => {
                match verb {
                    "withdraw" => ledger.withdraw(key, now),
                    "void" => ledger.undo_start(key, mode, now),
                    "finish" => ledger.finish(key, now),
                    _ => panic!("no such verb: {verb}"),
                }
                "ok".to_owned()
            }
        };
        writeln!(out, "{line:<24} -> {answer} ({} kept)", ledger.len()).unwrap();
    }
    out
}

#[test]
fn whole_session() {
    insta::assert_snapshot!(play(
        100,
        "0 accept a
         0 start a
         1 accept a
         2 cancel late
         3 accept late
         4 accept b
         4 withdraw b
         5 accept b
         5 start b
         6 void b
         7 accept b
         7 cancel b
         7 start b
         8 finish a
         9 cancel a
         10 accept c
         10 start c
         11 accept c resume
         12 finish c
         12 start c resume
         13 cancel c
         14 finish c
         15 accept c resume
         600001 accept late
         600002 accept late
         600013 accept c"
    ));
}

#[test]
fn overlapping_resume() {
    // The first attempt's stream is cut, and the agent has not detected the cut yet.
    insta::assert_snapshot!(play(
        100,
        "0 accept a
         0 start a
         1 accept a resume
         1 start a resume
         2 finish a
         3 cancel a
         4 finish a
         5 cancel a"
    ));
}

#[test]
fn full_ledger() {
    insta::assert_snapshot!(play(
        2,
        "0 accept a
         0 start a
         0 cancel b
         1 accept c
         1 cancel c
         2 finish a
         3 accept c
         600000 accept c
         600000 cancel d
         600002 cancel d"
    ));
}

#[rstest]
#[case::fresh(StartMode::Fresh, CancelState::NotRun, Accepted::Cancelled)]
#[case::resumed(StartMode::Resume, CancelState::Done, Accepted::Duplicate)]
fn void_after_cancel(
    #[case] mode: StartMode,
    #[case] state: CancelState,
    #[case] accepted: Accepted,
) {
    let (mut ledger, key, now) = (Ledger::new(10), RequestKey::new("a"), Instant::now());
    assert_eq!(ledger.accept(key, mode, now), Accepted::Pending);
    assert_eq!(ledger.start(key, mode), Started::Go);
    assert_eq!(ledger.cancel(key, now), CancelState::Started);
    ledger.undo_start(key, mode, now);
    assert_eq!(ledger.cancel(key, now), state);
    assert_eq!(ledger.accept(key, StartMode::Fresh, now), accepted);
}

/// One step of a random session.
#[derive(Clone, Copy, Debug)]
enum Step {
    Accept(usize),
    Start(usize),
    Withdraw(usize),
    Void(usize),
    Finish(usize),
    Cancel(usize),
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let id = 0..4_usize;
    prop_oneof![
        id.clone().prop_map(Step::Accept),
        id.clone().prop_map(Step::Start),
        id.clone().prop_map(Step::Withdraw),
        id.clone().prop_map(Step::Void),
        id.clone().prop_map(Step::Finish),
        id.prop_map(Step::Cancel),
        (0..100_u64).prop_map(Step::Pass),
    ]
}

proptest! {
    /// Fresh requests within the retention period of ids. An accepted attempt may be started or withdrawn,
    /// and a started one voided or finished. Cancels and further accepts come at any time.
    #[test]
    fn starts_once(steps in prop::collection::vec(step(), 0..200)) {
        let ids: Vec<RequestKey> = ["a", "b", "c", "d"].map(RequestKey::new).to_vec();
        let mut ledger = Ledger::new(3);
        let mut now = Instant::now();
        let mut pending = BTreeSet::new();
        let mut running = BTreeSet::new();
        let mut starts: BTreeMap<usize, u32> = BTreeMap::new();
        let mut reported_not_run = BTreeSet::new();
        let fresh = StartMode::Fresh;
        for step in steps {
            match step {
                Step::Accept(id) => {
                    let accepted = ledger.accept(ids[id], fresh, now);
                    if accepted == Accepted::Pending {
                        prop_assert!(pending.insert(id), "two attempts pending");
                        prop_assert!(!running.contains(&id), "accepted while it runs");
                    }
                }
                Step::Start(id) if pending.remove(&id) => {
                    let started = ledger.start(ids[id], fresh);
                    if started == Started::Go {
                        prop_assert!(!reported_not_run.contains(&id), "started after not-run");
                        *starts.entry(id).or_default() += 1;
                        prop_assert_eq!(starts[&id], 1, "started twice");
                        running.insert(id);
                    }
                }
                Step::Withdraw(id) if pending.remove(&id) => ledger.withdraw(ids[id], now),
                Step::Void(id) if running.remove(&id) => {
                    ledger.undo_start(ids[id], fresh, now);
                    starts.remove(&id);
                }
                Step::Finish(id) if running.remove(&id) => ledger.finish(ids[id], now),
                Step::Cancel(id) => {
                    let state = ledger.cancel(ids[id], now);
                    if state == CancelState::NotRun {
                        prop_assert!(!starts.contains_key(&id), "not-run after a start");
                        reported_not_run.insert(id);
                    }
                }
                // 200 steps of less than 100 ms stay far below the retention period of ids.
                Step::Pass(ms) => now += Duration::from_millis(ms),
                _ => {}
            }
            prop_assert!(ledger.len() <= 3, "over the limit");
        }
        // At the end all attempts are settled, and their ids expire after the retention period.
        for id in pending {
            ledger.withdraw(ids[id], now);
        }
        for id in running {
            ledger.finish(ids[id], now);
        }
        ledger.cancel(RequestKey::new("other"), now + RETENTION);
        prop_assert_eq!(ledger.len(), 1);
    }
}
