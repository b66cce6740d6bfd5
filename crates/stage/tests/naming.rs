//! Agents report the time of a naming to entries only as far as that time is proved.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::time::Duration;

use common::{Fleet, MODEL, ask};
use rstest::rstest;
use tokio::net::UdpSocket;
use wagtailreel_fleet::{NamedWeights, Query, Status};

/// Reports named weights to the fleet's agent as an entry does, and returns the agent's answer.
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

/// An agent that knows an older naming gets reports of a newer one from an entry. The agent reports the
/// newer naming only with a time that the entry proved, and uses the latest proof.
#[rstest]
#[tokio::test]
async fn naming_reported_by_an_entry() {
    let fleet = Fleet::start(43, 1, Some(1)).await;
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    fleet.name(2);
    fleet.until(|engine| engine.version() == Some(2)).await;
    fleet.origin.publish(3);
    tell(&fleet, &socket, 3, None).await;
    fleet.until(|engine| engine.version() == Some(3)).await;
    let status = tell(&fleet, &socket, 3, None).await;
    let reported = status.naming.filter(|naming| naming.weights.version == 3);
    assert_eq!(reported, None, "its time is not proved");
    let clock_ms = status.clock_ms.expect("the agent asks for proofs");
    let ahead = clock_ms + 60_000;
    let status = tell(&fleet, &socket, 3, Some(ahead)).await;
    let reported = status.naming.filter(|naming| naming.weights.version == 3);
    assert_eq!(reported, None, "the proof is from another clock");
    // The naming came after each proved moment, so the latest proof counts.
    for after in [clock_ms - 900, clock_ms - 300, clock_ms - 800] {
        tell(&fleet, &socket, 3, Some(after)).await;
    }
    let reported = async {
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
    let reported = tokio::time::timeout(Duration::from_secs(5), reported).await;
    assert!(reported.is_ok(), "the latest proof is reported");
}
