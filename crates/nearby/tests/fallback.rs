//! Fallback reads beside neighbours that are slow to read.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::time::Duration;

use common::{Entry, following, report_regularly, upstream};
use rstest::rstest;
use wagtailreel_fleet::{BootTime, Topic};
use wagtailreel_nearby::FallbackRead;
use wagtailreel_standins::RegistryStandin;

const AFTER: Duration = Duration::from_millis(350);

fn at(ms: u64) -> BootTime {
    BootTime::new(Duration::from_millis(ms))
}

#[rstest]
#[case::early(1_349, false)]
#[case::due(1_350, true)]
fn due_after(#[case] now: u64, #[case] is_due: bool) {
    let mut fallback = FallbackRead::new(AFTER);
    assert!(!fallback.is_due(Topic::Settings, None, at(1_000)));
    assert_eq!(fallback.is_due(Topic::Settings, None, at(now)), is_due);
}

/// A sufficiently recent answer ends the wait; the next one starts from zero.
#[rstest]
fn fresh_answer_restarts_wait() {
    let mut fallback = FallbackRead::new(AFTER);
    assert!(!fallback.is_due(Topic::Settings, None, at(1_000)));
    fallback.note_fresh_answer(Topic::Settings);
    assert!(!fallback.is_due(Topic::Settings, None, at(9_000)));
    assert!(!fallback.is_due(Topic::Upstreams, None, at(9_000)));
}

/// Newer records from a reader restart the wait, however old the records are.
#[rstest]
fn newer_records_restart_wait() {
    let mut fallback = FallbackRead::new(AFTER);
    for read in 0..20 {
        let now = 2_000 + 300 * read;
        assert!(!fallback.is_due(Topic::Settings, Some(at(now - 1_900)), at(now)));
    }
    let last = Some(at(2_000 + 300 * 19 - 1_900));
    assert!(fallback.is_due(Topic::Settings, last, at(2_000 + 300 * 19 + 350)));
}

/// When the reader of eight entries needs 0.9 s per read, only a few others read beside it. The rest use the
/// relayed records although these are old.
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
    let mut sink = Vec::new();
    for entry in &entries {
        tasks.push(report_regularly(entry, addrs.clone()));
        let (one, task) = following(entry);
        tasks.push(task);
        sink.push(one);
    }
    store.upstream(upstream("a"));
    for one in &sink {
        one.until_known("a").await;
    }
    // A reader's records count as too old 0.6 s after its read started.
    store.set_delay(Duration::from_millis(900));
    let before = store.calls();
    while store.calls() < before + 4 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let (before, slow) = (store.calls(), std::time::Instant::now());
    for name in ["b", "c", "d"] {
        store.upstream(upstream(name));
        for one in &sink {
            one.until_known(name).await;
        }
    }
    let calls = u128::try_from(store.calls() - before).unwrap();
    let rounds = slow.elapsed().as_millis() / 900 + 1;
    assert!(calls <= 5 * rounds, "{calls} calls in {rounds} rounds");
    for task in tasks {
        task.abort();
    }
}
