//! A registry that comes back from an older copy, read through neighbours.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::time::Duration;

use common::records::{keyed, page, place, snapshot};
use common::{Entry, following, report_regularly, upstream};
use rstest::rstest;
use wagtailreel_fleet::{BootTime, Change, NamedWeights, Registry as _, RegistryError, Topic};
use wagtailreel_standins::RegistryStandin;

const TOPIC: Topic = Topic::Upstreams;

const TIMEOUT: Duration = Duration::from_secs(2);

/// Guards against an entry that waits at its neighbour until the restored log has grown back to the offset that it
/// had read to.
#[rstest]
#[tokio::test]
async fn chain_after_restore() {
    let store = RegistryStandin::default();
    let first = Entry::at("127.0.0.1:0", store.clone()).await;
    let second = Entry::at("127.0.0.2:0", store.clone()).await;
    let reporting = report_regularly(&second, vec![first.addr]);
    let (one, a) = following(&first);
    let (two, b) = following(&second);
    for n in 0..10 {
        store.upstream(upstream(&format!("u-{n}")));
    }
    one.until_known("u-9").await;
    two.until_known("u-9").await;
    store.restore(8);
    store.upstream(upstream("new"));
    one.until_known("new").await;
    two.until_known("new").await;
    for task in [reporting, a, b] {
        task.abort();
    }
}

/// Guards against a reader that waits for an offset of a log that is gone: it is answered at once, although no record
/// comes, and reads the neighbour's snapshot.
#[rstest]
#[tokio::test]
async fn reader_of_earlier_era() {
    let first = Entry::start().await;
    let second = Entry::with_neighbour(&first).await;
    let items = vec![keyed(4, 3, upstream("a"))];
    first
        .mirror
        .store_snapshot(TOPIC, &snapshot(items, place(4, 5)));
    let from = place(3, 90);
    let read = second.registry.read(TOPIC, from, Duration::ZERO, TIMEOUT);
    let read = read.await;
    assert!(
        matches!(read, Err(RegistryError::Expired { first: 5 })),
        "{read:?}"
    );
    let newest = second.registry.newest(TOPIC, TIMEOUT).await.unwrap();
    assert_eq!(newest.end, place(4, 5));
    assert_eq!(newest.items[0].position, place(4, 3));
    assert_eq!(second.store.calls(), 0);
}

/// Guards against a reader that waits at a neighbour whose snapshot of the new era comes during the wait.
#[rstest]
#[tokio::test]
async fn era_rises_during_wait() {
    let first = Entry::start().await;
    let second = Entry::with_neighbour(&first).await;
    first
        .mirror
        .store_snapshot(TOPIC, &snapshot(vec![], place(3, 90)));
    let from = place(3, 90);
    let read = second.registry.read(TOPIC, from, Duration::ZERO, TIMEOUT);
    let restore = async {
        while !first.mirror.was_queried_within(TIMEOUT) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let copy = snapshot(vec![], place(4, 5));
        first.mirror.store_snapshot(TOPIC, &copy);
    };
    let (read, ()) = tokio::join!(read, restore);
    assert!(
        matches!(read, Err(RegistryError::Expired { first: 5 })),
        "{read:?}"
    );
}

/// Guards against a data centre that stays on the earlier log while its first entry is cut off: a reader that knows
/// the later era reads the registry itself, and never takes what its neighbour holds.
#[rstest]
#[tokio::test]
async fn reader_of_later_era() {
    let first = Entry::start().await;
    let second = Entry::with_neighbour(&first).await;
    let items = vec![keyed(3, 3, upstream("old"))];
    first
        .mirror
        .store_snapshot(TOPIC, &snapshot(items, place(3, 90)));
    for _ in 0..4 {
        second.store.restore(0);
    }
    second.store.upstream(upstream("new"));
    let read = second
        .registry
        .read(TOPIC, place(4, 0), Duration::ZERO, TIMEOUT);
    assert_eq!(read.await.unwrap().next, place(4, 1));
    let newest = second.registry.newest(TOPIC, TIMEOUT).await.unwrap();
    assert_eq!(newest.items, vec![keyed(4, 0, upstream("new"))]);
    assert_eq!(second.store.calls(), 2);
}

/// Guards against a first entry whose read is held by the registry while its neighbours know of a later era.
#[rstest]
#[tokio::test]
async fn neighbour_names_later_era() {
    let first = Entry::start().await;
    let second = Entry::with_neighbour(&first).await;
    let start = first.registry.newest(TOPIC, TIMEOUT).await.unwrap();
    let hold = Duration::from_secs(600);
    let held = first.registry.read(TOPIC, start.end, hold, TIMEOUT);
    let asked = second
        .registry
        .read(TOPIC, place(1, 0), Duration::ZERO, TIMEOUT);
    let both = async { tokio::join!(held, asked) };
    let both = tokio::time::timeout(TIMEOUT, both).await;
    let (held, _) = both.expect("the read that is held ends");
    assert!(
        matches!(held, Err(RegistryError::Restored { era: 1 })),
        "{held:?}"
    );
    // The registry's own answer is older than what the neighbour knows.
    let stale = first.registry.newest(TOPIC, TIMEOUT).await;
    assert!(
        matches!(stale, Err(RegistryError::Stale { era: 0, known: 1 })),
        "{stale:?}"
    );
}

/// Guards against late answers of an earlier era that replace the records of the later one.
#[rstest]
#[tokio::test]
async fn late_answers() {
    let first = Entry::start().await;
    let second = Entry::with_neighbour(&first).await;
    let items = vec![keyed(4, 3, upstream("a"))];
    let mirror = &first.mirror;
    mirror.store_snapshot(TOPIC, &snapshot(items.clone(), place(4, 5)));
    let late = vec![keyed(3, 3, upstream("late"))];
    mirror.store_snapshot(TOPIC, &snapshot(late, place(3, 90)));
    let late = vec![keyed(3, 90, upstream("late"))];
    mirror.store_page(TOPIC, place(3, 90), &page(late, place(3, 91)));
    let newest = second.registry.newest(TOPIC, TIMEOUT).await.unwrap();
    assert_eq!((newest.items, newest.end), (items, place(4, 5)));
}

/// Guards against a process that starts with an older setting than its neighbours have in force: of the settings the
/// mirror keeps the newer version until it is written again, of all else only what the copy lists.
#[rstest]
#[tokio::test]
async fn kept_versions() {
    let named = |version| {
        let model = "epitaph".to_owned();
        Change::Weights(NamedWeights { model, version })
    };
    let settings = Topic::Settings;
    let first = Entry::start().await;
    let second = Entry::with_neighbour(&first).await;
    let evacuation = Change::Evacuation {
        data_centre: "quay".to_owned(),
        is_evacuated: true,
    };
    let known = vec![keyed(3, 70, evacuation), keyed(3, 80, named(6))];
    let mirror = &first.mirror;
    mirror.store_snapshot(settings, &snapshot(known, place(3, 90)));
    let copy = vec![keyed(4, 20, named(5))];
    mirror.store_snapshot(settings, &snapshot(copy, place(4, 50)));
    let newest = second.registry.newest(settings, TIMEOUT).await.unwrap();
    assert_eq!(newest.items, vec![keyed(3, 80, named(6))]);
    assert_eq!(newest.end, place(4, 50));
    let again = vec![keyed(4, 50, named(6))];
    mirror.store_page(settings, place(4, 50), &page(again.clone(), place(4, 51)));
    let newest = second.registry.newest(settings, TIMEOUT).await.unwrap();
    assert_eq!(newest.items, again);
}

/// Guards against a call to the registry by each reader of the later era while one neighbour has it.
#[rstest]
#[tokio::test]
async fn another_neighbour_has_era() {
    let first = Entry::start().await;
    let second = Entry::at("127.0.0.2:0", RegistryStandin::default()).await;
    let third = Entry::at("127.0.0.3:0", RegistryStandin::default()).await;
    let both = [first.addr, second.addr];
    third.neighbours.note_entries(&both, BootTime::now());
    let old = vec![keyed(3, 3, upstream("old"))];
    first
        .mirror
        .store_snapshot(TOPIC, &snapshot(old, place(3, 90)));
    let new = vec![keyed(4, 3, upstream("new"))];
    second
        .mirror
        .store_snapshot(TOPIC, &snapshot(new.clone(), place(4, 3)));
    second
        .mirror
        .store_page(TOPIC, place(4, 3), &page(new.clone(), place(4, 4)));
    let read = third
        .registry
        .read(TOPIC, place(4, 3), Duration::ZERO, TIMEOUT);
    assert_eq!(read.await.unwrap().items, new);
    assert_eq!(third.store.calls(), 0);
}

/// Guards against a data centre whose first entry learns of the restoration late, as its link is down: the second goes
/// on without it, and the first takes up the new log when the link is back.
#[rstest]
#[tokio::test]
async fn first_entry_cut_off() {
    let cut = RegistryStandin::default();
    let store = RegistryStandin::default();
    let first = Entry::at("127.0.0.1:0", cut.clone()).await;
    let second = Entry::at("127.0.0.2:0", store.clone()).await;
    let reporting = report_regularly(&second, vec![first.addr]);
    let (one, a) = following(&first);
    let (two, b) = following(&second);
    for link in [&cut, &store] {
        for n in 0..10 {
            link.upstream(upstream(&format!("u-{n}")));
        }
    }
    one.until_known("u-9").await;
    two.until_known("u-9").await;
    cut.set_away(true);
    for link in [&cut, &store] {
        link.restore(8);
        link.upstream(upstream("new"));
    }
    two.until_known("new").await;
    cut.set_away(false);
    one.until_known("new").await;
    for link in [&cut, &store] {
        link.upstream(upstream("later"));
    }
    one.until_known("later").await;
    two.until_known("later").await;
    for task in [reporting, a, b] {
        task.abort();
    }
}

/// Guards against a first entry that never reads the registry again, as a neighbour knows an era that no answer to it
/// names.
#[rstest]
#[tokio::test]
async fn era_that_is_not_named() {
    let store = RegistryStandin::default();
    store.hide_era();
    let first = Entry::at("127.0.0.1:0", store.clone()).await;
    let second = Entry::with_neighbour(&first).await;
    store.upstream(upstream("a"));
    first.registry.newest(TOPIC, TIMEOUT).await.unwrap();
    let read = second
        .registry
        .read(TOPIC, place(4, 0), Duration::ZERO, TIMEOUT);
    let _ = read.await;
    let newest = first.registry.newest(TOPIC, TIMEOUT).await.unwrap();
    assert_eq!(newest.items, vec![keyed(4, 0, upstream("a"))]);
}

/// Guards against a large configuration that all entries of a data centre read at once over one link: they learned of
/// the era by the other topic, and the first entry is still reading.
#[rstest]
#[tokio::test]
async fn first_reads_new_era() {
    let first = Entry::start().await;
    let second = Entry::at("127.0.0.2:0", RegistryStandin::default()).await;
    let third = Entry::at("127.0.0.3:0", RegistryStandin::default()).await;
    let both = [first.addr, second.addr];
    first.registry.newest(TOPIC, TIMEOUT).await.unwrap();
    third.neighbours.note_entries(&both, BootTime::now());
    let reporting = report_regularly(&third, both.to_vec());
    first.store.restore(0);
    first.store.set_delay(Duration::from_millis(200));
    let reading = first.registry.newest(TOPIC, TIMEOUT);
    let asking = async {
        while first.store.calls() < 2 {
            tokio::task::yield_now().await;
        }
        let from = place(1, 0);
        third
            .registry
            .read(TOPIC, from, Duration::ZERO, TIMEOUT)
            .await
    };
    let (read, asked) = tokio::join!(reading, asking);
    assert!(matches!(asked, Err(RegistryError::Pending)), "{asked:?}");
    assert_eq!(read.unwrap().end, place(1, 0));
    let newest = third.registry.newest(TOPIC, TIMEOUT).await.unwrap();
    assert!(newest.is_relayed);
    assert_eq!((newest.end, third.store.calls()), (place(1, 0), 0));
    reporting.abort();
}
