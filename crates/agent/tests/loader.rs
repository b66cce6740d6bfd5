//! Snapshot tests of the loader's orders to an engine.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::time::{Duration, Instant};

use wagtailreel_agent_core::loader::{Action, EngineView, Loader, Staged, View};
use wagtailreel_core::{Digest, Epoch};

/// A session, which feeds the events of a text script to the loader.
struct Session {
    loader: Loader,
    start: Instant,
    now: Duration,
    epoch: Epoch,
    wanted: bool,
    closed_below: Epoch,
    may_swap: bool,
    droppable: Vec<Epoch>,
    staged: BTreeMap<Epoch, Staged>,
    running: BTreeMap<Epoch, u32>,
    names: BTreeMap<Digest, String>,
}

impl Session {
    fn new(max_bundles: u32) -> Self {
        Self {
            loader: Loader::new(max_bundles, 7),
            start: Instant::now(),
            now: Duration::ZERO,
            epoch: 0,
            wanted: false,
            closed_below: 0,
            may_swap: false,
            droppable: Vec::new(),
            staged: BTreeMap::new(),
            running: BTreeMap::new(),
            names: BTreeMap::new(),
        }
    }

    fn digest(&mut self, name: &str) -> Digest {
        let digest = Digest::of(name.as_bytes());
        self.names.insert(digest, name.to_owned());
        digest
    }

    /// Applies one line of the script: `<verb> <arguments>`.
    fn apply(&mut self, line: &str) {
        let words: Vec<&str> = line.split_whitespace().collect();
        let number = |at: usize| words[at].parse::<u64>().unwrap();
        let now = self.start + self.now;
        match words[0] {
            "wait" => self.now += Duration::from_millis(number(1)),
            "document" => (self.epoch, self.wanted) = (number(1), words[2] == "wanted"),
            "chunks" => {
                let bundle = Some(self.digest(words[2]));
                let staged = Staged {
                    bundle,
                    complete: words[3] == "complete",
                    failed: words[3] == "failed",
                };
                self.staged.insert(number(1), staged);
            }
            "chunks-gone" => drop(self.staged.remove(&number(1))),
            "engine" if words[1] == "silent" => self.loader.on_status(None),
            "engine" => {
                let names = words[2..].to_vec();
                let bundles: BTreeSet<Digest> = names.iter().map(|n| self.digest(n)).collect();
                self.loader.on_status(Some(EngineView { bundles }));
            }
            "gate" => {
                self.closed_below = number(2);
                self.may_swap = words.contains(&"swap");
                self.droppable = words[3..].iter().filter_map(|w| w.parse().ok()).collect();
            }
            "running" => drop(self.running.insert(number(1), number(2) as u32)),
            "loaded" => {
                let digest = self.digest(words[1]);
                self.loader.on_load_result(now, Ok(digest));
            }
            "load-failed" => self.loader.on_load_result(now, Err(words[1..].join(" "))),
            "unloaded" => self.loader.on_unload_result(now, Ok(())),
            "missing" => self.loader.on_bundle_missing(number(1)),
            verb => panic!("no such verb: {verb}"),
        }
    }

    fn decide(&mut self) -> Vec<String> {
        let actions = self.loader.decide(&View {
            now: self.start + self.now,
            epoch: self.epoch,
            wanted: self.wanted,
            closed_below: self.closed_below,
            staged: &self.staged,
            droppable: &self.droppable,
            may_swap: self.may_swap,
            running: &self.running,
        });
        for action in &actions {
            if let Action::RemoveEpoch { epoch } = action {
                self.staged.remove(epoch);
                self.droppable.retain(|e| e != epoch);
            }
        }
        actions.iter().map(|action| self.describe(action)).collect()
    }

    fn describe(&self, action: &Action) -> String {
        let name = |digest: &Digest| self.names[digest].clone();
        match action {
            Action::SetPhase { epoch, phase, .. } => format!("epoch {epoch} is {phase:?}"),
            Action::StopAdmission { epoch } => format!("give up epoch {epoch}"),
            Action::Load {
                epoch,
                bundle,
                fence,
            } => format!("load {} for epoch {epoch}, fence {fence}", name(bundle)),
            Action::AbortLoad => "break off the load".to_owned(),
            Action::Unload { bundle, fence } => format!("unload {}, fence {fence}", name(bundle)),
            Action::RemoveEpoch { epoch } => format!("forget epoch {epoch}"),
        }
    }
}

/// Runs a script and returns each line followed by the actions that it caused.
fn play(max_bundles: u32, script: &str) -> String {
    let mut session = Session::new(max_bundles);
    let mut out = String::new();
    for line in script.lines().map(str::trim).filter(|l| !l.is_empty()) {
        session.apply(line);
        writeln!(out, "{line}").unwrap();
        for action in session.decide() {
            writeln!(out, "    {action}").unwrap();
        }
        if let Some(trouble) = session.loader.trouble() {
            writeln!(out, "    trouble: {trouble}").unwrap();
        }
    }
    out
}

#[test]
fn room_for_two() {
    insta::assert_snapshot!(play(
        2,
        "engine holds
         document 5 wanted
         chunks 5 a partial
         chunks 5 a complete
         loaded a
         engine holds a
         gate closed 5
         document 9 wanted
         chunks 9 b complete
         running 5 2
         loaded b
         engine holds a b
         gate closed 9 drop 5
         running 5 0
         unloaded
         engine holds b"
    ));
}

#[test]
fn room_for_one() {
    insta::assert_snapshot!(play(
        1,
        "document 5 wanted
         chunks 5 a complete
         engine holds a
         gate closed 5
         running 5 1
         document 9 wanted
         chunks 9 b complete
         gate closed 5 swap
         running 5 0
         unloaded
         engine holds
         loaded b
         engine holds b"
    ));
}

#[test]
fn lost_answers() {
    insta::assert_snapshot!(play(
        2,
        "engine holds
         document 5 wanted
         chunks 5 a complete
         load-failed the answer is lost
         engine holds
         wait 300
         load-failed the answer is lost
         engine holds a
         engine silent
         engine silent
         engine silent
         engine holds a
         missing 5
         engine holds
         loaded c
         engine holds c
         wait 1000"
    ));
}

#[test]
fn superseded_load() {
    insta::assert_snapshot!(play(
        2,
        "engine holds a
         document 5 wanted
         chunks 5 a complete
         gate closed 5
         document 7 wanted
         chunks 7 b complete
         document 9 wanted
         chunks 9 c partial
         gate closed 5 drop 7
         load-failed broken off
         engine holds a
         chunks 9 c complete
         loaded c
         engine holds a c"
    ));
}

#[test]
fn restarts() {
    // The agent restarts and finds an unknown bundle; then the engine restarts during a rollout.
    insta::assert_snapshot!(play(
        2,
        "engine holds x a
         document 5 wanted
         chunks 5 a partial
         chunks 5 a complete
         gate closed 5
         document 9 wanted
         chunks 9 b partial
         engine holds
         loaded a
         engine holds a
         chunks 9 b complete
         loaded b
         engine holds a b
         document 11 not-named
         gate closed 11 drop 5 9
         unloaded
         engine holds b
         unloaded
         engine holds"
    ));
}

#[test]
fn same_bundle() {
    insta::assert_snapshot!(play(
        1,
        "engine holds a
         document 5 wanted
         chunks 5 a complete
         document 9 wanted
         chunks 9 a partial
         gate closed 9 drop 5"
    ));
}

#[test]
fn chunks_replaced() {
    // The engine serves epoch 5, whose chunks were dropped in favour of those of epoch 9.
    insta::assert_snapshot!(play(
        1,
        "engine holds a
         document 5 wanted
         chunks 5 a partial
         gate closed 5
         running 5 1
         document 9 wanted
         chunks-gone 5
         chunks 9 b partial
         chunks 9 b complete
         gate closed 5 swap
         running 5 0
         unloaded
         engine holds
         loaded b
         engine holds b"
    ));
}

#[test]
fn bad_chunks() {
    insta::assert_snapshot!(play(
        2,
        "engine holds
         document 5 wanted
         chunks 5 a failed
         chunks 5 a partial
         document 9 wanted
         chunks-gone 5
         chunks 9 b complete"
    ));
}
