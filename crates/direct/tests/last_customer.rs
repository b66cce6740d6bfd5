//! A configuration takes away the last customer.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::agent::free_port;
use common::caller::{Answer, get};
use common::edits::{Edit, directory as with_edit};
use common::upstream::TestUpstream;
use common::{directory, entry, entry_at, register, until_readiness};
use rstest::rstest;
use wagtailreel_fleet::Directory;
use wagtailreel_standins::RegistryStandin;

const KEYS: Duration = Duration::from_secs(4);

/// Longest wait for a configuration to be in force.
const MAX_WAIT: Duration = Duration::from_secs(10);

async fn call(callers: SocketAddr, path: &str, key: &str) -> Answer {
    get(callers, path, &[("x-id", "r1"), ("x-key", key)]).await
}

/// Waits until the route that version 2 adds is known.
async fn until_second_version(callers: SocketAddr) {
    let known = async {
        // Without an upstream the route answers 503, and 404 before it is known.
        while call(callers, "/v2/", "k1").await.status == 404 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(MAX_WAIT, known).await.unwrap();
}

fn second_version() -> Directory {
    with_edit(2, Edit::Nothing).with_customers(vec![])
}

/// Guards against all routes being open once the list of customers is empty.
#[tokio::test]
async fn revoked_and_unknown_keys() {
    let registry = RegistryStandin::default();
    let upstream = TestUpstream::start(&[]).await;
    registry.config(directory(1));
    register(&registry, "a", upstream.addr);
    let entry = entry(&registry, KEYS).await;
    until_readiness(&entry, 200).await;
    let callers = entry.callers();
    assert_eq!(call(callers, "/read/1", "k1").await.status, 200);
    registry.config(second_version());
    until_second_version(callers).await;
    let ran = upstream.seen().len();
    for key in ["k1", "none", ""] {
        for path in ["/read/1", "/order/1", "/stream/1"] {
            assert_eq!(call(callers, path, key).await.status, 401, "{path} {key}");
        }
    }
    assert_eq!(upstream.seen().len(), ran, "none of them runs");
}

/// Guards against the same at an entry that learns the configuration from a neighbour.
#[rstest]
#[tokio::test]
async fn learned_from_neighbour(#[values(false, true)] starts_later: bool) {
    let registry = RegistryStandin::default();
    let upstream = TestUpstream::start(&[]).await;
    registry.config(directory(1));
    register(&registry, "a", upstream.addr);
    let port = free_port().await;
    let [seed, other] = [1, 2].map(|host| SocketAddr::from(([127, 79, 31, host], port)));
    let seeds = [seed.ip()];
    let first = entry_at(&registry, KEYS, seed, port, &seeds).await;
    until_readiness(&first, 200).await;
    let mut second = None;
    if !starts_later {
        second = Some(entry_at(&registry, KEYS, other, port, &seeds).await);
    }
    registry.config(second_version());
    until_second_version(first.callers()).await;
    let second = match second {
        Some(second) => second,
        None => entry_at(&registry, KEYS, other, port, &seeds).await,
    };
    until_readiness(&second, 200).await;
    until_second_version(second.callers()).await;
    let answer = call(second.callers(), "/read/1", "k1").await;
    assert_eq!(answer.status, 401);
}
