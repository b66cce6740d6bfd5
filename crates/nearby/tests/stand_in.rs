//! Who reads beside neighbours that are slow to read.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::time::Duration;

use common::{Entry, following, keep_told, upstream};
use rstest::rstest;
use wagtailreel_fleet::{BootTime, Topic};
use wagtailreel_nearby::StandIn;
use wagtailreel_standins::RegistryStandin;

const STEP: Duration = Duration::from_millis(350);

fn at(ms: u64) -> BootTime {
    BootTime::new(Duration::from_millis(ms))
}

#[rstest]
#[case::first(0, 1_349, false)]
#[case::first_due(0, 1_350, true)]
#[case::third(2, 2_049, false)]
#[case::third_due(2, 2_050, true)]
fn one_by_one(#[case] ahead: usize, #[case] now: u64, #[case] is_due: bool) {
    let mut stand_in = StandIn::new(STEP);
    assert!(!stand_in.is_due(Topic::Settings, ahead, at(1_000)));
    assert_eq!(stand_in.is_due(Topic::Settings, ahead, at(now)), is_due);
}

/// Who heard what is young enough begins to wait anew.
#[rstest]
fn heard_again() {
    let mut stand_in = StandIn::new(STEP);
    assert!(!stand_in.is_due(Topic::Settings, 0, at(1_000)));
    stand_in.heard(Topic::Settings);
    assert!(!stand_in.is_due(Topic::Settings, 0, at(9_000)));
    assert!(!stand_in.is_due(Topic::Upstreams, 0, at(9_000)));
}

/// Of eight entries whose reader's read takes 1.2 s, three read beside it in that time and not all.
#[rstest]
#[tokio::test]
async fn slow_reader() {
    let store = RegistryStandin::default();
    let mut entries = Vec::new();
    for host in 1..=8 {
        entries.push(Entry::at(&format!("127.0.0.{host}:0"), store.clone()).await);
    }
    let addrs: Vec<_> = entries.iter().map(|entry| entry.addr).collect();
    let mut tasks = Vec::new();
    let mut told = Vec::new();
    for entry in &entries {
        tasks.push(keep_told(entry, addrs.clone()));
        let (one, task) = following(entry);
        tasks.push(task);
        told.push(one);
    }
    store.upstream(upstream("a"));
    for one in &told {
        one.until_known("a").await;
    }
    // What the reader knows is too old 0.6 s after its read, so that each read is waited for.
    store.set_delay(Duration::from_millis(1_200));
    store.upstream(upstream("b"));
    let before = store.calls();
    let slow = std::time::Instant::now();
    for one in &told {
        one.until_known("b").await;
    }
    let calls = store.calls() - before;
    // In each 1.2 s the reader, who stands in for it, and those whose step has come.
    let rounds = slow.elapsed().as_millis() / 1_200 + 1;
    assert!(calls as u128 <= 5 * rounds, "{calls} in {rounds} rounds");
    for task in tasks {
        task.abort();
    }
}
