//! Records that the mirror serves to neighbours.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::time::Duration;

use common::{Entry, upstream};
use rstest::rstest;
use wagtailreel_fleet::{
    BootTime, Change, Keyed, NamedWeights, Page, Position, Registry as _, RegistryError, Snapshot,
    Topic,
};

const TOPIC: Topic = Topic::Upstreams;
const TIMEOUT: Duration = Duration::from_secs(2);

fn place(offset: u64) -> Position {
    Position::new(0, offset)
}

fn keyed(offset: u64, change: Change) -> Keyed {
    let position = place(offset);
    Keyed { position, change }
}

fn snapshot(items: Vec<Keyed>, end: u64) -> Snapshot {
    Snapshot {
        items,
        end: place(end),
        as_of: BootTime::now(),
        is_relayed: false,
    }
}

fn page(items: Vec<Keyed>, next: u64) -> Page {
    Page {
        items,
        next: place(next),
        end: place(next),
        as_of: BootTime::now(),
        is_relayed: false,
    }
}

/// A neighbour gets the newest records that it has not read, one of each key, in order.
#[rstest]
#[tokio::test]
async fn missing_records() {
    let first = Entry::start().await;
    let second = Entry::with_neighbour(&first).await;
    first
        .mirror
        .store_snapshot(TOPIC, &snapshot(vec![keyed(3, upstream("a"))], 5));
    let items = vec![
        keyed(5, upstream("b")),
        keyed(6, Change::Gone("a".to_owned())),
    ];
    first.mirror.store_page(TOPIC, place(5), &page(items, 7));
    let again = vec![keyed(7, upstream("b"))];
    first.mirror.store_page(TOPIC, place(7), &page(again, 8));
    let read = second
        .registry
        .read(TOPIC, place(5), Duration::ZERO, TIMEOUT);
    let read = read.await.unwrap();
    assert!(read.is_relayed);
    let offsets: Vec<u64> = read.items.iter().map(|item| item.position.offset).collect();
    assert_eq!(offsets, vec![6, 7]);
    assert_eq!(read.next, place(8));
    assert_eq!(second.store.calls(), 0);
}

fn evacuation(is_evacuated: bool) -> Change {
    Change::Evacuation {
        data_centre: "quay".to_owned(),
        is_evacuated,
    }
}

fn unreadable() -> Change {
    Change::UnreadableEvacuation {
        data_centre: "quay".to_owned(),
        reason: "no object".to_owned(),
    }
}

/// Guards against neighbours that get an evacuation that was withdrawn, or miss one that is in force: after
/// records `later`, which may be a snapshot with the end 20, a reader that starts gets `expected`.
#[rstest]
#[case::set(&[(12, evacuation(true))], None, &[(12, evacuation(true))])]
#[case::withdrawn(
    &[(12, evacuation(true)), (13, evacuation(false))],
    None,
    &[(13, evacuation(false))]
)]
#[case::set_again(
    &[(12, evacuation(true)), (13, evacuation(false)), (14, evacuation(true))],
    None,
    &[(14, evacuation(true))]
)]
#[case::absent_in_snapshot(&[(12, evacuation(true))], Some(vec![]), &[])]
#[case::listed_in_snapshot(
    &[(12, evacuation(true))],
    Some(vec![(12, evacuation(true))]),
    &[(12, evacuation(true))]
)]
#[case::newer_than_snapshot(&[(25, evacuation(true))], Some(vec![]), &[(25, evacuation(true))])]
#[case::unreadable_in_snapshot(
    &[(12, evacuation(true))],
    Some(vec![(15, unreadable())]),
    &[(12, evacuation(true)), (15, unreadable())]
)]
#[tokio::test]
async fn evacuations(
    #[case] records: &[(u64, Change)],
    #[case] later: Option<Vec<(u64, Change)>>,
    #[case] expected: &[(u64, Change)],
) {
    let settings = Topic::Settings;
    let first = Entry::start().await;
    let second = Entry::with_neighbour(&first).await;
    first.mirror.store_snapshot(settings, &snapshot(vec![], 10));
    let items: Vec<Keyed> = records.iter().map(|it| keyed(it.0, it.1.clone())).collect();
    let next = records.last().unwrap().0 + 1;
    first
        .mirror
        .store_page(settings, place(10), &page(items, next));
    if let Some(later) = later {
        let items = later.into_iter().map(|it| keyed(it.0, it.1)).collect();
        first.mirror.store_snapshot(settings, &snapshot(items, 20));
    }
    let newest = second.registry.newest(settings, TIMEOUT).await.unwrap();
    let expected: Vec<Keyed> = expected
        .iter()
        .map(|it| keyed(it.0, it.1.clone()))
        .collect();
    assert_eq!(newest.items, expected);
    assert_eq!(second.store.calls(), 0);
}

/// A snapshot from a neighbour has no removed keys.
#[rstest]
#[tokio::test]
async fn newest_records() {
    let first = Entry::start().await;
    let second = Entry::with_neighbour(&first).await;
    first
        .mirror
        .store_snapshot(TOPIC, &snapshot(vec![keyed(3, upstream("a"))], 5));
    let items = vec![
        keyed(5, upstream("b")),
        keyed(6, Change::Gone("a".to_owned())),
    ];
    first.mirror.store_page(TOPIC, place(5), &page(items, 7));
    let newest = second.registry.newest(TOPIC, TIMEOUT).await.unwrap();
    assert_eq!(newest.items, vec![keyed(5, upstream("b"))]);
    assert_eq!(newest.end, place(7));
}

/// If a neighbour no longer holds the single records that an entry lacks, the entry reads the neighbour's
/// snapshot and not the registry.
#[rstest]
#[tokio::test]
async fn unknown_records() {
    let first = Entry::start().await;
    let second = Entry::with_neighbour(&first).await;
    let items = vec![keyed(3, upstream("a"))];
    first.mirror.store_snapshot(TOPIC, &snapshot(items, 5));
    let read = second
        .registry
        .read(TOPIC, place(0), Duration::ZERO, TIMEOUT);
    let read = read.await;
    assert!(
        matches!(read, Err(RegistryError::Expired { first: 5 })),
        "{read:?}"
    );
    let newest = second.registry.newest(TOPIC, TIMEOUT).await.unwrap();
    assert_eq!(newest.items.len(), 1);
    assert_eq!(second.store.calls(), 0);
}

/// A page that would leave a gap is not relayed.
#[rstest]
#[tokio::test]
async fn gap_in_pages() {
    let first = Entry::start().await;
    let second = Entry::with_neighbour(&first).await;
    first.mirror.store_snapshot(TOPIC, &snapshot(Vec::new(), 5));
    first
        .mirror
        .store_page(TOPIC, place(9), &page(vec![keyed(9, upstream("c"))], 10));
    let read = second
        .registry
        .read(TOPIC, place(5), Duration::ZERO, TIMEOUT);
    let read = read.await.unwrap();
    assert_eq!((read.items.len(), read.next), (0, place(5)));
}

/// A page with more records to follow does not make the mirror look fresh.
#[rstest]
#[tokio::test]
async fn partial_page() {
    let first = Entry::start().await;
    let second = Entry::with_neighbour(&first).await;
    let old = BootTime::now().minus(Duration::from_secs(60));
    let mut snapshot = snapshot(Vec::new(), 5);
    snapshot.as_of = old;
    first.mirror.store_snapshot(TOPIC, &snapshot);
    let mut partial = page(vec![keyed(5, upstream("c"))], 6);
    partial.end = place(90);
    first.mirror.store_page(TOPIC, place(5), &partial);
    second.store.set_away(true);
    let read = second
        .registry
        .read(TOPIC, place(5), Duration::ZERO, TIMEOUT);
    let read = read.await;
    assert!(
        matches!(read, Err(RegistryError::Unreachable { .. })),
        "{read:?}"
    );
}

/// A late record of an older version doesn't replace a newer one, in pages and snapshots.
#[rstest]
#[case::page(false)]
#[case::snapshot(true)]
#[tokio::test]
async fn older_version(#[case] is_snapshot: bool) {
    let first = Entry::start().await;
    let second = Entry::with_neighbour(&first).await;
    let named = |version| {
        let model = "epitaph".to_owned();
        Change::Weights(NamedWeights { model, version })
    };
    let topic = Topic::Settings;
    let items = vec![keyed(3, named(3))];
    first.mirror.store_snapshot(topic, &snapshot(items, 5));
    let late = vec![keyed(5, named(2))];
    if is_snapshot {
        first.mirror.store_snapshot(topic, &snapshot(late, 6));
    } else {
        first.mirror.store_page(topic, place(5), &page(late, 6));
    }
    let newest = second.registry.newest(topic, TIMEOUT).await.unwrap();
    assert_eq!(newest.items, vec![keyed(3, named(3))]);
    assert_eq!(newest.end, place(6));
}
