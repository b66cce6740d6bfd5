//! Agents bring weights to their engines despite faults of engines, the origin and the registry.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::time::Duration;

use common::{CHUNKS, Fleet, MODEL, OrderFault, TestEngine, ask};
use rstest::rstest;
use tokio::net::UdpSocket;
use wagtailreel_fleet::Query;
use wagtailreel_spread::ChunkSet;

/// How long a test waits for its condition.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

async fn until_version(fleet: &Fleet, version: u64) {
    let all = fleet.until(|engine| engine.version() == Some(version));
    tokio::time::timeout(TEST_TIMEOUT, all)
        .await
        .expect("all engines hold the version");
    assert!(
        fleet.all_whole(),
        "no engine ever loaded corrupt or mixed chunks"
    );
}

#[tokio::test]
async fn new_engines() {
    let fleet = Fleet::start(1, 4, None).await;
    until_version(&fleet, 1).await;
    let served = fleet.origin.served();
    assert!(
        served <= 2 * CHUNKS,
        "{served} chunks from the origin: most must come from other agents"
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
async fn two_namings_in_a_row() {
    let fleet = Fleet::start(3, 3, Some(1)).await;
    fleet.name(2);
    fleet.name(3);
    until_version(&fleet, 3).await;
}

#[tokio::test]
async fn chunks_from_other_agents() {
    let fleet = Fleet::start(4, 2, Some(1)).await;
    fleet.until_manifest_requested(1).await;
    fleet.origin.set_unreachable(true);
    let newcomer = fleet.add(None).await;
    let here = fleet.until(|engine| engine.version() == Some(1));
    tokio::time::timeout(TEST_TIMEOUT, here)
        .await
        .expect("the added engine loads from the engines that hold the version");
    assert!(newcomer.version().is_some());
    assert!(fleet.all_whole());
}

/// An agent fetches chunks from other agents, not the origin, before its added engine answers.
#[tokio::test]
async fn fetched_before_engine_answers() {
    let fleet = Fleet::start(44, 2, Some(1)).await;
    fleet.until_manifest_requested(1).await;
    let before = fleet.origin.served();
    let engine = TestEngine::new(None);
    engine.set_silent(true);
    let engine = fleet.add_beside(engine, "hall").await;
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let all_stored = async {
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
    tokio::time::timeout(TEST_TIMEOUT, all_stored)
        .await
        .expect("all chunks are stored while the engine is silent");
    assert_eq!(fleet.origin.served(), before, "no chunk from the origin");
    engine.set_silent(false);
    until_version(&fleet, 1).await;
}

#[tokio::test]
async fn restarted_engine() {
    let fleet = Fleet::start(5, 2, Some(1)).await;
    fleet.name(2);
    until_version(&fleet, 2).await;
    fleet.origin.set_unreachable(true);
    fleet.engine(0).restart();
    fleet.engine(0).corrupt_staged();
    until_version(&fleet, 2).await;
}

#[tokio::test]
async fn corrupt_at_origin() {
    let fleet = Fleet::start(6, 2, Some(1)).await;
    fleet.origin.corrupt_next(5);
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
    assert_eq!(
        orders, 1,
        "an order that the engine received is not repeated"
    );
}

#[tokio::test]
async fn unreachable_registry() {
    let fleet = Fleet::start(10, 2, Some(1)).await;
    fleet.name(2);
    fleet.until_manifest_requested(2).await;
    fleet.registry.set_away(true);
    until_version(&fleet, 2).await;
}

#[tokio::test]
async fn naming_from_entry() {
    let fleet = Fleet::start(11, 2, Some(1)).await;
    fleet.until_manifest_requested(1).await;
    fleet.registry.set_away(true);
    fleet.origin.publish(2);
    fleet.report_naming(2).await;
    until_version(&fleet, 2).await;
}

/// If no agent of a data centre gets the manifest from the origin, they get it from another data centre.
#[tokio::test]
async fn manifest_from_other_data_centre() {
    let fleet = Fleet::start(14, 1, Some(1)).await;
    fleet.until_manifest_requested(1).await;
    fleet.origin.set_unreachable(true);
    for _ in 0..4 {
        fleet.add_in("yard", None).await;
    }
    until_version(&fleet, 1).await;
}

/// Agents that need a manifest at the same time do not all request it from the origin.
#[tokio::test]
async fn few_manifest_requests() {
    let fleet = Fleet::start(15, 8, Some(1)).await;
    fleet.until_manifest_requested(1).await;
    let before = fleet.origin.manifests();
    fleet.name(2);
    fleet.report_naming(2).await;
    until_version(&fleet, 2).await;
    let served = fleet.origin.manifests() - before;
    assert!(served <= 4, "{served}");
}

/// Guards against a wrong digest in a manifest that keeps all agents from a version, since they hand it on.
#[rstest]
#[case::one_manifest(20, &[3])]
#[case::same_digest_twice(21, &[3, 3])]
#[case::two_digests(22, &[3, 5])]
#[case::each_another(23, &[0, 1, 2, 3])]
#[tokio::test]
async fn spoilt_digests(#[case] net: u8, #[case] chunks: &[u32]) {
    let fleet = Fleet::start(net, 3, Some(1)).await;
    fleet.until_manifest_requested(1).await;
    fleet.origin.spoil_digests(chunks);
    fleet.name(2);
    until_version(&fleet, 2).await;
}

/// The same where no engine holds weights.
#[rstest]
#[case::one_manifest(24, &[3])]
#[case::two_digests(25, &[3, 5])]
#[tokio::test]
async fn spoilt_digests_at_start(#[case] net: u8, #[case] chunks: &[u32]) {
    let fleet = Fleet::start(net, 0, None).await;
    fleet.origin.spoil_digests(chunks);
    for _ in 0..3 {
        fleet.add(None).await;
    }
    until_version(&fleet, 1).await;
}

/// A read of the registry that never ends does not delay chunks.
#[tokio::test]
async fn registry_without_answer() {
    let fleet = Fleet::start(17, 3, Some(1)).await;
    fleet.name(2);
    until_version(&fleet, 2).await;
    fleet.registry.set_delay(Duration::from_secs(3600));
    fleet.origin.publish(3);
    let reported = async {
        // An entry repeats its reports, since a datagram may be lost.
        loop {
            fleet.report_naming(3).await;
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::select! {
        () = reported => {}
        () = until_version(&fleet, 3) => {}
    }
}
