//! An entry whose registry comes back from an older copy.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::time::Duration;

use common::caller::{call, get};
use common::upstream::TestUpstream;
use common::{TestDialect, directory, ready_entry, until_status};
use wagtailreel_direct::DirectEntry;
use wagtailreel_fleet::{AllowedRegions, Customer, Directory};
use wagtailreel_standins::RegistryStandin;

/// Maximum wait of a test for the expected line.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Makes a configuration in which the key of the tests is revoked.
fn without_key(version: u64) -> Directory {
    let customer = Customer {
        name: "quay".to_owned(),
        rank: None,
        keys: vec!["k2".to_owned()],
        regions: AllowedRegions::default(),
    };
    directory(version).with_customers(vec![customer])
}

async fn until_metric(entry: &DirectEntry<TestDialect>, line: &str) {
    let waiting = async {
        loop {
            let metrics = get(entry.status(), "/metrics", &[]).await.body;
            if metrics.lines().any(|it| it == line) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let waited = tokio::time::timeout(TIMEOUT, waiting).await;
    waited.unwrap_or_else(|_| panic!("no line {line}"));
}

/// Guards against a revoked key that a restored copy makes valid again, and against metrics that don't tell of it.
#[tokio::test]
async fn lost_configuration() {
    let registry = RegistryStandin::default();
    let upstream = TestUpstream::start(&[]).await;
    let entry = ready_entry(&registry, &[("a", upstream.addr)]).await;
    until_status(entry.callers(), "/read/1", 200).await;
    registry.config(without_key(2));
    until_status(entry.callers(), "/read/1", 401).await;
    registry.restore(1);
    for topic in ["settings", "upstreams"] {
        let line = format!("wagtailreel_registry_restored_total{{topic=\"{topic}\"}} 1");
        until_metric(&entry, &line).await;
    }
    until_metric(&entry, "wagtailreel_settings_kept 1").await;
    assert_eq!(call(entry.callers(), "GET", "/read/1").await.status, 401);
    registry.config(without_key(2));
    until_metric(&entry, "wagtailreel_settings_kept 0").await;
    assert_eq!(call(entry.callers(), "GET", "/read/1").await.status, 401);
    registry.config(directory(3));
    until_status(entry.callers(), "/read/1", 200).await;
}
