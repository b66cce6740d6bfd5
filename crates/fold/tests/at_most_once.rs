//! An order is dispatched at most once under any interleaving of entries, clock steps, repeated records
//! and a truncated log.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime};

use proptest::prelude::*;
use serde_json::Value;
use support::{START, time};
use wagtailreel_core::{ClaimRecord, Offset, OrderRecord};
use wagtailreel_fold::{Claimant, OrderApplied, OrderFold, encode_orders};

const SERVICE: &str = "order-desk";
const WINDOW: Duration = Duration::from_secs(100);
const ENTRIES: [&str; 3] = ["ub-e1", "ub-e2", "dk-e1"];

#[derive(Clone, Debug)]
enum Step {
    /// A caller sends a key that is `age` seconds old. Few distinct keys exist, so that claims collide.
    Order { entry: usize, age: i64 },
    /// A caller sends an earlier key again. The entry may have been suspended since its check of the key.
    Again { entry: usize, key: usize },
    /// A late copy of a record is appended.
    Copy { record: usize },
    /// The entry reads further records.
    Read { entry: usize, records: usize },
    /// The entry dispatches or releases the oldest claim that it won, however long ago.
    Decide { entry: usize, dispatch: bool },
    /// The entry releases the oldest claim whose result it has not read.
    Release { entry: usize },
    /// The log's clock moves, mostly forward.
    Time { seconds: i64 },
    /// The entry is replaced, and the log has dropped all but the last `kept` records.
    Replace { entry: usize, kept: usize },
}

fn step() -> impl Strategy<Value = Step> {
    let entry = 0..ENTRIES.len();
    let e = || entry.clone();
    prop_oneof![
        3 => (e(), -130..120_i64).prop_map(|(entry, age)| Step::Order { entry, age }),
        4 => (e(), 0..9_usize).prop_map(|(entry, key)| Step::Again { entry, key }),
        1 => (0..40_usize).prop_map(|record| Step::Copy { record }),
        5 => (e(), 1..9_usize).prop_map(|(entry, records)| Step::Read { entry, records }),
        4 => (e(), prop::bool::weighted(0.6)).prop_map(|(entry, dispatch)| Step::Decide { entry, dispatch }),
        1 => e().prop_map(|entry| Step::Release { entry }),
        2 => (-50..90_i64).prop_map(|seconds| Step::Time { seconds }),
        1 => (e(), 0..12_usize).prop_map(|(entry, kept)| Step::Replace { entry, kept }),
    ]
}

struct Entry {
    fold: OrderFold,
    incarnation: u64,
    /// Claims whose result the entry has not read.
    open: Vec<Claimant>,
    /// Claims that were won and neither dispatched nor released yet, with their keys.
    won: Vec<(Claimant, String)>,
}

struct Cluster {
    log: Vec<(SystemTime, Value)>,
    now: i64,
    latest: i64,
    keys: Vec<String>,
    requests: usize,
    entries: Vec<Entry>,
    dispatched: BTreeMap<String, Vec<Claimant>>,
}

impl Cluster {
    fn new() -> Self {
        let entry = |_: &&str| Entry {
            fold: OrderFold::new(WINDOW),
            incarnation: 1,
            open: Vec::new(),
            won: Vec::new(),
        };
        Self {
            log: Vec::new(),
            now: 1000,
            latest: 1000,
            keys: Vec::new(),
            requests: 0,
            entries: ENTRIES.iter().map(entry).collect(),
            dispatched: BTreeMap::new(),
        }
    }

    fn append(&mut self, record: &OrderRecord) {
        let buf = encode_orders(record).unwrap();
        let now = time(self.now as u64);
        self.log.push((now, serde_json::from_slice(&buf).unwrap()));
    }

    fn claim(&mut self, entry: usize, key: &str) {
        self.requests += 1;
        let claimant = Claimant {
            holder: ENTRIES[entry].to_owned(),
            incarnation: self.entries[entry].incarnation,
            request: format!("r-{}", self.requests),
        };
        self.append(&OrderRecord::Claims {
            holder: claimant.holder.clone(),
            incarnation: claimant.incarnation,
            claims: vec![ClaimRecord {
                service: SERVICE.to_owned(),
                key: key.to_owned(),
                request: claimant.request.clone(),
                at: time(self.now as u64),
            }],
        });
        self.entries[entry].open.push(claimant);
    }

    fn release(&mut self, claimant: Claimant) {
        self.append(&OrderRecord::Releases {
            holder: claimant.holder,
            incarnation: claimant.incarnation,
            requests: vec![claimant.request],
        });
    }

    fn read(&mut self, entry: usize, records: usize) {
        let entry = &mut self.entries[entry];
        for _ in 0..records {
            let offset = entry.fold.next();
            let Some((at, data)) = self.log.get(offset as usize - 1) else {
                return;
            };
            for applied in entry.fold.apply(offset, *at, data).unwrap() {
                let OrderApplied::Won { key, claimant, .. } = applied else {
                    continue;
                };
                let open = entry.open.iter().position(|open| *open == claimant);
                if let Some(open) = open {
                    entry.won.push((entry.open.remove(open), key));
                }
            }
        }
    }

    fn apply_step(&mut self, step: &Step) {
        match step {
            Step::Order { entry, age } => {
                let key = format!("{}.k", (START as i64 + self.now - age) / 20 * 20);
                self.claim(*entry, &key);
                self.keys.push(key);
            }
            Step::Again { entry, key } => {
                if let Some(key) = self.keys.iter().rev().nth(*key).cloned() {
                    self.claim(*entry, &key);
                }
            }
            Step::Copy { record } => {
                if let Some((_, data)) = self.log.iter().rev().nth(*record).cloned() {
                    self.log.push((time(self.now as u64), data));
                }
            }
            Step::Read { entry, records } => self.read(*entry, *records),
            Step::Decide { entry, dispatch } => self.decide(*entry, *dispatch),
            Step::Release { entry } => {
                if !self.entries[*entry].open.is_empty() {
                    let claimant = self.entries[*entry].open.remove(0);
                    self.release(claimant);
                }
            }
            Step::Time { seconds } => {
                // The log's clock steps back by at most 60 seconds in total.
                self.now = (self.now + seconds).max(self.latest - 60);
                self.latest = self.latest.max(self.now);
            }
            Step::Replace { entry, kept } => self.replace(*entry, *kept),
        }
    }

    fn decide(&mut self, entry: usize, dispatch: bool) {
        if self.entries[entry].won.is_empty() {
            return;
        }
        let (claimant, key) = self.entries[entry].won.remove(0);
        if dispatch {
            self.dispatched.entry(key).or_default().push(claimant);
        } else {
            self.release(claimant);
        }
    }

    fn replace(&mut self, entry: usize, kept: usize) {
        let first = self.log.len().saturating_sub(kept) as Offset + 1;
        let entry = &mut self.entries[entry];
        entry.incarnation += 1;
        entry.open.clear();
        entry.won.clear();
        entry.fold = OrderFold::new(WINDOW);
        entry.fold.start_from(first);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1000, ..ProptestConfig::default() })]

    #[test]
    fn dispatched_once(steps in prop::collection::vec(step(), 1..120)) {
        let mut cluster = Cluster::new();
        for step in &steps {
            cluster.apply_step(step);
        }
        for entry in 0..ENTRIES.len() {
            cluster.read(entry, usize::MAX);
            while !cluster.entries[entry].won.is_empty() {
                cluster.decide(entry, true);
            }
        }
        for (key, claimants) in &cluster.dispatched {
            prop_assert!(claimants.len() == 1, "{key}: {claimants:?}");
        }
    }
}
