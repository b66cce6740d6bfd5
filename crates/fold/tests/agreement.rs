//! All folds of one log agree and never revert, whatever the source of their state.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use proptest::prelude::*;
use support::{Log, edit};
use wagtailreel_core::{Offset, StateView};
use wagtailreel_fold::ConfigFold;

const SERVICES: [&str; 2] = ["wagtail-scribes", "proof-desk"];
const TEAMS: [&str; 2] = ["scribes", "proofs"];
const VERSIONS: [&str; 3] = ["", "1", "2"];

/// A record to append to the log.
#[derive(Clone, Debug)]
enum Append {
    Edit {
        id: usize,
        team: usize,
        service: usize,
        /// `None` for the service's revision at that time.
        base: Option<Offset>,
        version: usize,
    },
    /// A snapshot of the state as of `late` records ago.
    Snapshot { late: usize },
}

/// An event in the life of a process.
#[derive(Clone, Debug)]
enum Step {
    Read { records: usize },
    ReadAgain { records_back: usize },
    Restore { at: usize },
    MergeService { at: usize, service: usize },
    DropRecords { first: usize },
}

fn append() -> impl Strategy<Value = Append> {
    let base = prop_oneof![3 => Just(None), 1 => (0..12_u64).prop_map(Some)];
    let team = prop_oneof![4 => Just(0_usize), 1 => Just(1)];
    let edit = (0..4_usize, team, 0..2_usize, base, 0..3_usize).prop_map(
        |(id, team, service, base, version)| Append::Edit {
            id,
            team,
            service,
            base,
            version,
        },
    );
    prop_oneof![5 => edit, 1 => (0..4_usize).prop_map(|late| Append::Snapshot { late })]
}

fn step() -> impl Strategy<Value = Step> {
    let index = 0..40_usize;
    prop_oneof![
        4 => (1..6_usize).prop_map(|records| Step::Read { records }),
        1 => (0..6_usize).prop_map(|records_back| Step::ReadAgain { records_back }),
        1 => index.clone().prop_map(|at| Step::Restore { at }),
        1 => (index.clone(), 0..2_usize).prop_map(|(at, service)| Step::MergeService { at, service }),
        1 => index.prop_map(|first| Step::DropRecords { first }),
    ]
}

/// Returns the log, and a list whose element n is a fold that has read the first n records.
fn history(appends: &[Append]) -> (Log, Vec<ConfigFold>) {
    let mut log = Log::default();
    let mut folds = vec![ConfigFold::new()];
    for append in appends {
        let newest = folds.last().unwrap();
        let record = match append {
            Append::Edit {
                id,
                team,
                service,
                base,
                version,
            } => {
                let service = SERVICES[*service];
                let current = newest.state().services.get(service);
                let base = base.unwrap_or(current.map_or(0, |state| state.revision));
                let id = format!("e-{id}");
                edit(&id, TEAMS[*team], service, base, VERSIONS[*version])
            }
            Append::Snapshot { late } => {
                let index = (folds.len() - 1).saturating_sub(*late);
                match folds[index].snapshot() {
                    Some(record) => record,
                    None => continue,
                }
            }
        };
        let offset = log.append(&record);
        let mut fold = newest.clone();
        log.feed(&mut fold, offset).unwrap();
        folds.push(fold);
    }
    (log, folds)
}

/// Checks the state of each service against the fold that has read the log up to the offset that the
/// state reflects.
fn check_exact(fold: &ConfigFold, truth: &[ConfigFold]) {
    let offset = fold.offset() as usize;
    for state in fold.state().services.values() {
        let reflected = offset.max(state.revision as usize);
        let expected = truth[reflected].state().services.get(&state.service);
        assert_eq!(Some(state), expected);
    }
    for name in truth[offset].state().services.keys() {
        assert!(
            fold.state().services.contains_key(name),
            "{name} is missing"
        );
    }
}

fn check_not_reverted(before: &StateView, after: &StateView) {
    assert!(after.offset >= before.offset);
    for (name, state) in &before.services {
        assert!(after.services[name].revision >= state.revision);
        assert!(after.services[name].epoch >= state.epoch);
    }
}

fn apply_step(
    step: &Step,
    fold: &mut ConfigFold,
    first: &mut Offset,
    log: &Log,
    truth: &[ConfigFold],
) {
    let head = truth.len() - 1;
    match step {
        Step::Read { records } => {
            for _ in 0..*records {
                read(fold, *first, log);
            }
        }
        Step::ReadAgain { records_back } => {
            let offset = fold.next().saturating_sub(*records_back as Offset);
            if offset >= *first && offset < fold.next() {
                assert!(log.feed(fold, offset).unwrap().is_empty());
            }
        }
        Step::Restore { at } => {
            fold.restore(truth[at % truth.len()].state());
        }
        Step::MergeService { at, service } => {
            let state = truth[at % truth.len()].state();
            if let Some(state) = state.services.get(SERVICES[*service]) {
                fold.merge_service(state);
            }
        }
        Step::DropRecords { first: dropped } => {
            *first = (*first).max((dropped % (head + 1)) as Offset + 1);
        }
    }
}

/// Reads one record as a process does; records before `first` are dropped and can't be read.
fn read(fold: &mut ConfigFold, first: Offset, log: &Log) {
    if fold.next() < first {
        fold.start_from(first);
    }
    if fold.next() < log.next() {
        log.feed(fold, fold.next()).unwrap();
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    #[test]
    fn folds_agree(
        appends in prop::collection::vec(append(), 1..40),
        steps in prop::collection::vec(step(), 0..25),
    ) {
        let (log, truth) = history(&appends);
        let mut fold = ConfigFold::new();
        let mut first = 1;
        for step in &steps {
            let before = fold.state().clone();
            apply_step(step, &mut fold, &mut first, &log, &truth);
            check_not_reverted(&before, fold.state());
            check_exact(&fold, &truth);
        }
        let whole = truth.last().unwrap();
        for _ in 0..log.next() {
            read(&mut fold, first, &log);
        }
        if !fold.is_ready() {
            fold.restore(whole.state());
        }
        prop_assert!(fold.is_ready());
        prop_assert_eq!(fold.state(), whole.state());
        prop_assert_eq!(fold.next(), log.next());
    }

    #[test]
    fn merge_any_order(
        appends in prop::collection::vec(append(), 1..30),
        picks in prop::collection::vec((0..40_usize, prop::option::of(0..2_usize)), 1..6),
    ) {
        let (_, truth) = history(&appends);
        // A whole state as of some offset, or one service of it, as held by an agent.
        let view = |(at, service): &(usize, Option<usize>)| {
            let mut view = truth[at % truth.len()].state().clone();
            if let Some(service) = service {
                view.offset = 0;
                view.services.retain(|name, _| name == SERVICES[*service]);
            }
            view
        };
        let views: Vec<StateView> = picks.iter().map(view).collect();
        let merged = |views: &[&StateView]| {
            let mut all = StateView::default();
            views.iter().for_each(|view| all.merge(view));
            all
        };
        let forward: Vec<&StateView> = views.iter().collect();
        let reversed: Vec<&StateView> = views.iter().rev().collect();
        let twice: Vec<&StateView> = views.iter().chain(&views).collect();
        prop_assert_eq!(merged(&forward), merged(&reversed));
        prop_assert_eq!(merged(&forward), merged(&twice));
    }
}
