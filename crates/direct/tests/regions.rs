//! Requests that only upstreams of some regions may serve.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use common::caller::{call, get};
use common::upstream::{Act, TestUpstream, body_of};
use common::{TestDialect, directory, entry_of, registered, until_readiness, until_status};
use rstest::rstest;
use tokio::time::sleep;
use wagtailreel_direct::DirectEntry;
use wagtailreel_fleet::{AllowedRegions, Change, Customer, Directory, Upstream};
use wagtailreel_standins::RegistryStandin;

/// Maximum time to the refusal of a request that can't be served.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(250);

/// Maximum wait of a test for the expected event.
const TIMEOUT: Duration = Duration::from_secs(10);

fn allowed(regions: &[&str]) -> AllowedRegions {
    AllowedRegions::new(regions.iter().map(|region| (*region).to_owned()))
}

/// Returns the configuration of the tests with the regions that each route and the customer allow.
fn restricted(version: u64, route: &[&str], customer: &[&str]) -> Directory {
    let directory = directory(version);
    let mut routes = directory.routes().to_vec();
    for it in &mut routes {
        it.regions = allowed(route);
    }
    let customer = Customer {
        regions: allowed(customer),
        ..directory.customer("k1").unwrap().clone()
    };
    directory.with_routes(routes).with_customers(vec![customer])
}

fn register_in(registry: &RegistryStandin, data_centre: &str, upstream: &TestUpstream) {
    registry.upstream(Change::Upstream(Box::new(Upstream {
        data_centre: data_centre.to_owned(),
        ..registered(data_centre, upstream.addr)
    })));
}

/// Starts an entry of the data centre `home`, where `hall` and `quay` are of different regions.
async fn entry_in(registry: &RegistryStandin, home: &str) -> DirectEntry<TestDialect> {
    let regions = [("hall", "sierra"), ("quay", "costa")];
    let regions: BTreeMap<String, String> = regions
        .iter()
        .map(|(place, region)| ((*place).to_owned(), (*region).to_owned()))
        .collect();
    let entry = entry_of(registry, home, regions).await;
    until_readiness(&entry, 200).await;
    entry
}

/// Guards against a request that reaches another region by its first choice, with either restriction or both,
/// and against an entry whose data centre the settings do not list.
#[rstest]
#[case::route(&["costa"], &[], "hall")]
#[case::customer(&[], &["costa"], "hall")]
#[case::both(&["costa", "sierra"], &["costa", "selva"], "quay")]
#[case::unlisted_entry(&["costa"], &[], "cellar")]
#[tokio::test]
async fn first_attempt(#[case] route: &[&str], #[case] customer: &[&str], #[case] home: &str) {
    let (hall, quay) = (
        TestUpstream::start(&[]).await,
        TestUpstream::start(&[]).await,
    );
    let registry = RegistryStandin::default();
    registry.config(restricted(1, route, customer));
    register_in(&registry, "hall", &hall);
    register_in(&registry, "quay", &quay);
    let entry = entry_in(&registry, home).await;
    until_status(entry.callers(), "/read/1", 200).await;
    for _ in 0..8 {
        assert_eq!(call(entry.callers(), "GET", "/read/1").await.status, 200);
    }
    assert_eq!(hall.seen().len(), 0);
    assert_eq!(quay.seen().len(), 9);
}

/// Guards against a public route whose restriction is skipped because its requests have no customer.
#[tokio::test]
async fn public_route() {
    let (hall, quay) = (
        TestUpstream::start(&[]).await,
        TestUpstream::start(&[]).await,
    );
    let registry = RegistryStandin::default();
    registry.config(restricted(1, &["costa"], &["sierra"]));
    register_in(&registry, "hall", &hall);
    register_in(&registry, "quay", &quay);
    let entry = entry_in(&registry, "hall").await;
    let headers = [("x-id", "r1")];
    while get(entry.callers(), "/public/1", &headers).await.status != 200 {}
    assert_eq!((hall.seen().len(), quay.seen().len()), (0, 1));
}

/// Guards against a refusal that comes late, without its reason or without a retry delay.
#[rstest]
#[case::no_common_region(&["costa"], &["sierra"])]
#[case::no_upstream(&["costa"], &[])]
#[tokio::test]
async fn refused_at_once(#[case] route: &[&str], #[case] customer: &[&str]) {
    let hall = TestUpstream::start(&[]).await;
    let registry = RegistryStandin::default();
    registry.config(directory(1));
    register_in(&registry, "hall", &hall);
    let entry = entry_in(&registry, "hall").await;
    until_status(entry.callers(), "/read/1", 200).await;
    registry.config(restricted(2, route, customer));
    until_status(entry.callers(), "/read/1", 503).await;
    let reached = hall.seen().len();
    let sent = Instant::now();
    let answer = call(entry.callers(), "GET", "/stream/1").await;
    assert!(sent.elapsed() < MAX_REFUSAL_TIME, "answered at once");
    assert_eq!(answer.status, 503);
    assert!(
        answer.body.contains("\"reason\":\"region\""),
        "{}",
        answer.body
    );
    assert!(answer.header("retry-after").is_some());
    assert_eq!(hall.seen().len(), reached);
}

/// Guards against a second attempt, or a resumed stream, in another region: it waits for an allowed one.
#[rstest]
#[case::stream_cut("/stream/1", Act::CutEvents(1, 3), Act::Events(4, 6), body_of(1, 6))]
#[case::read_closed("/read/1", Act::Close, Act::Answer(200, "ok"), "ok".to_owned())]
#[tokio::test]
async fn later_attempt(
    #[case] path: &'static str,
    #[case] first: Act,
    #[case] second: Act,
    #[case] body: String,
) {
    let (hall, quay) = (
        TestUpstream::start(&[]).await,
        TestUpstream::start(&[first]).await,
    );
    let other = TestUpstream::start(&[second]).await;
    let registry = RegistryStandin::default();
    registry.config(restricted(1, &["costa"], &[]));
    register_in(&registry, "hall", &hall);
    register_in(&registry, "quay", &quay);
    let entry = entry_in(&registry, "hall").await;
    let addr = entry.callers();
    let calling = tokio::spawn(async move {
        loop {
            let answer = call(addr, "GET", path).await;
            // The upstreams may not be read yet.
            if answer.status != 503 {
                return answer;
            }
        }
    });
    tokio::time::timeout(TIMEOUT, quay.until_seen(1))
        .await
        .unwrap();
    sleep(Duration::from_millis(300)).await;
    assert_eq!(
        hall.seen().len(),
        0,
        "it waits although another region is free"
    );
    registry.upstream(Change::Upstream(Box::new(Upstream {
        data_centre: "quay".to_owned(),
        ..registered("other", other.addr)
    })));
    let answer = calling.await.unwrap();
    assert_eq!((answer.status, answer.body), (200, body));
    assert_eq!((hall.seen().len(), other.seen().len()), (0, 1));
}
