//! Agents tell entries since when weights are named, as far as that is proved.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::time::Duration;

use common::{Fleet, MODEL, ask};
use rstest::rstest;
use tokio::net::UdpSocket;
use wagtailreel_fleet::{NamedWeights, Query, Status};

/// Tells the fleet's agent of weights as an entry does, and returns what it answers.
async fn tell(fleet: &Fleet, socket: &UdpSocket, version: u64, after_ms: Option<u64>) -> Status {
    let query = Query {
        weights: Some(NamedWeights {
            model: MODEL.to_owned(),
            version,
        }),
        weights_after_ms: after_ms,
        ..Query::default()
    };
    ask(socket, fleet.addr(0), query).await
}

/// An agent that started with an older record hears of newer weights from an entry: only what the
/// entry can prove is told on, and a proof that comes later counts.
#[rstest]
#[tokio::test]
async fn word_of_an_entry() {
    let fleet = Fleet::start(43, 1, Some(1)).await;
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    fleet.name(2);
    fleet.until(|engine| engine.version() == Some(2)).await;
    fleet.origin.publish(3);
    tell(&fleet, &socket, 3, None).await;
    fleet.until(|engine| engine.version() == Some(3)).await;
    let status = tell(&fleet, &socket, 3, None).await;
    let told = status.naming.filter(|naming| naming.weights.version == 3);
    assert_eq!(told, None, "nobody knows since when");
    let clock_ms = status.clock_ms.expect("the agent wants to know");
    let ahead = clock_ms + 60_000;
    let status = tell(&fleet, &socket, 3, Some(ahead)).await;
    let told = status.naming.filter(|naming| naming.weights.version == 3);
    assert_eq!(told, None, "of another clock");
    // Each proof says that the naming came after it, so the latest of them counts.
    for after in [clock_ms - 900, clock_ms - 300, clock_ms - 800] {
        tell(&fleet, &socket, 3, Some(after)).await;
    }
    let told = async {
        loop {
            let status = tell(&fleet, &socket, 3, Some(clock_ms - 850)).await;
            let naming = status.naming.filter(|naming| naming.weights.version == 3);
            if let (Some(naming), Some(now_ms)) = (naming, status.clock_ms) {
                let after_ms = now_ms - u64::from(naming.age_ms);
                if after_ms.abs_diff(clock_ms - 300) <= 5 {
                    break;
                }
            }
        }
    };
    let told = tokio::time::timeout(Duration::from_secs(5), told).await;
    assert!(told.is_ok(), "the latest proof is told");
}
