//! Agents tell entries since when weights are named, as far as that is proved.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use common::{Fleet, MODEL, ask};
use rstest::rstest;
use tokio::net::UdpSocket;
use wagtailreel_fleet::{NamedWeights, Query, Status};

/// Tells the fleet's agent of weights as an entry does, and returns what it answers.
async fn tell(fleet: &Fleet, socket: &UdpSocket, version: u64, age_ms: Option<u32>) -> Status {
    let query = Query {
        weights: Some(NamedWeights {
            model: MODEL.to_owned(),
            version,
        }),
        weights_age_ms: age_ms,
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
    let naming = loop {
        let status = tell(&fleet, &socket, 3, Some(3_000)).await;
        let naming = status.naming.filter(|naming| naming.weights.version == 3);
        if let Some(naming) = naming {
            break naming;
        }
    };
    assert!((3_000..6_000).contains(&naming.age_ms), "{naming:?}");
}
