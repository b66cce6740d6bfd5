//! Agents bring weights to their engines, whatever happens on the way.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::time::Duration;

use common::{CHUNKS, Fleet, MODEL, OrderFault, TestEngine, ask};
use rstest::rstest;
use tokio::net::UdpSocket;
use wagtailreel_fleet::Query;
use wagtailreel_spread::ChunkSet;

/// How long a test waits at most for what it waits for.
const PATIENCE: Duration = Duration::from_secs(20);

async fn until_version(fleet: &Fleet, version: u64) {
    let all = fleet.until(|engine| engine.version() == Some(version));
    tokio::time::timeout(PATIENCE, all)
        .await
        .expect("all engines hold it");
    assert!(
        fleet.all_whole(),
        "no engine ever loaded spoilt or mixed chunks"
    );
}

#[tokio::test]
async fn new_engines() {
    let fleet = Fleet::start(1, 4, None).await;
    until_version(&fleet, 1).await;
    let given = fleet.origin.given();
    assert!(
        given <= 2 * CHUNKS,
        "{given} chunks: most come from each other"
    );
}

#[tokio::test]
async fn named_weights() {
    let fleet = Fleet::start(2, 3, Some(1)).await;
    fleet.name(2);
    until_version(&fleet, 2).await;
    fleet.name(3);
    until_version(&fleet, 3).await;
}

#[tokio::test]
async fn two_names_in_a_row() {
    let fleet = Fleet::start(3, 3, Some(1)).await;
    fleet.name(2);
    fleet.name(3);
    until_version(&fleet, 3).await;
}

#[tokio::test]
async fn staged_by_others() {
    let fleet = Fleet::start(4, 2, Some(1)).await;
    fleet.until_heard(1).await;
    fleet.origin.set_away(true);
    let newcomer = fleet.add(None).await;
    let here = fleet.until(|engine| engine.version() == Some(1));
    tokio::time::timeout(PATIENCE, here)
        .await
        .expect("from the engines that hold it");
    assert!(newcomer.version().is_some());
    assert!(fleet.all_whole());
}

/// Chunks are fetched from others before the added engine answers, and none from the origin.
#[tokio::test]
async fn fetched_ahead() {
    let fleet = Fleet::start(44, 2, Some(1)).await;
    fleet.until_heard(1).await;
    let before = fleet.origin.given();
    let engine = TestEngine::new(None);
    engine.set_silent(true);
    let engine = fleet.add_beside(engine, "hall").await;
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let all_there = async {
        loop {
            let chunks = Some((MODEL.to_owned(), 1));
            let query = Query {
                chunks,
                ..Query::default()
            };
            let held = ask(&socket, fleet.addr(2), query).await.chunks;
            let held = held.and_then(|held| ChunkSet::from_hex(&held.chunks, CHUNKS));
            if held.is_some_and(|held| held.is_full()) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(PATIENCE, all_there)
        .await
        .expect("all chunks beside the silent engine");
    assert_eq!(fleet.origin.given(), before, "from the others");
    engine.set_silent(false);
    until_version(&fleet, 1).await;
}

#[tokio::test]
async fn restarted_engine() {
    let fleet = Fleet::start(5, 2, Some(1)).await;
    fleet.name(2);
    until_version(&fleet, 2).await;
    fleet.origin.set_away(true);
    fleet.engine(0).restart();
    fleet.engine(0).spoil_staged();
    until_version(&fleet, 2).await;
}

#[tokio::test]
async fn spoilt_at_origin() {
    let fleet = Fleet::start(6, 2, Some(1)).await;
    fleet.origin.spoil_next(5);
    fleet.name(2);
    until_version(&fleet, 2).await;
}

#[rstest]
#[case::taken(7, OrderFault::LostButTaken)]
#[case::not_taken(8, OrderFault::LostAndNotTaken)]
#[case::unfit(9, OrderFault::Unfit)]
#[tokio::test]
async fn lost_order(#[case] net: u8, #[case] fault: OrderFault) {
    let fleet = Fleet::start(net, 2, Some(1)).await;
    fleet.engine(0).set_fault(fault);
    fleet.name(2);
    until_version(&fleet, 2).await;
    let orders = fleet.engine(0).orders();
    assert_eq!(orders, 1, "an order that was taken isn't given again");
}

#[tokio::test]
async fn registry_away() {
    let fleet = Fleet::start(10, 2, Some(1)).await;
    fleet.name(2);
    fleet.until_heard(2).await;
    fleet.registry.set_away(true);
    until_version(&fleet, 2).await;
}

#[tokio::test]
async fn named_by_entry() {
    let fleet = Fleet::start(11, 2, Some(1)).await;
    fleet.until_heard(1).await;
    fleet.registry.set_away(true);
    fleet.origin.publish(2);
    fleet.tell(2).await;
    until_version(&fleet, 2).await;
}

/// A data centre in which nobody got the manifest from the origin gets it from another one.
#[tokio::test]
async fn manifest_from_afar() {
    let fleet = Fleet::start(14, 1, Some(1)).await;
    fleet.until_heard(1).await;
    fleet.origin.set_away(true);
    for _ in 0..4 {
        fleet.add_in("yard", None).await;
    }
    until_version(&fleet, 1).await;
}

/// Agents that all want a manifest at once don't all ask the origin for it.
#[tokio::test]
async fn few_manifests() {
    let fleet = Fleet::start(15, 8, Some(1)).await;
    fleet.until_heard(1).await;
    let before = fleet.origin.manifests();
    fleet.name(2);
    fleet.tell(2).await;
    until_version(&fleet, 2).await;
    let given = fleet.origin.manifests() - before;
    assert!(given <= 4, "{given}");
}

/// A read of the registry that never ends doesn't hold up chunks.
#[tokio::test]
async fn registry_without_answer() {
    let fleet = Fleet::start(17, 3, Some(1)).await;
    fleet.name(2);
    until_version(&fleet, 2).await;
    fleet.registry.set_delay(Duration::from_secs(3600));
    fleet.origin.publish(3);
    let told = async {
        // What an entry tells may be lost, and it tells it again.
        loop {
            fleet.tell(3).await;
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::select! {
        () = told => {}
        () = until_version(&fleet, 3) => {}
    }
}
