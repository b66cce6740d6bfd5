//! Evacuation of data centres.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::caller::{call, get};
use common::upstream::{Act, TestUpstream, body_of};
use common::{TestDialect, directory, entry_of, registered, until_readiness, until_status};
use rstest::rstest;
use tokio::time::sleep;
use wagtailreel_direct::DirectEntry;
use wagtailreel_fleet::{Change, Upstream};
use wagtailreel_standins::RegistryStandin;

/// Maximum wait of a test for the expected event.
const TIMEOUT: Duration = Duration::from_secs(10);

fn register_in(registry: &RegistryStandin, data_centre: &str, upstream: &TestUpstream) {
    registry.upstream(Change::Upstream(Box::new(Upstream {
        data_centre: data_centre.to_owned(),
        ..registered(data_centre, upstream.addr)
    })));
}

/// Starts an entry of the data centre `hall`.
async fn entry_of_hall(registry: &RegistryStandin) -> DirectEntry<TestDialect> {
    let entry = entry_of(registry, "hall", BTreeMap::new()).await;
    until_readiness(&entry, 200).await;
    entry
}

/// Waits until the metrics of the entry list the evacuation of `hall`, or no longer do.
async fn until_evacuated(entry: &DirectEntry<TestDialect>, is_evacuated: bool) {
    let line = "wagtailreel_evacuated{data_centre=\"hall\"} 1";
    let waiting = async {
        while get(entry.status(), "/metrics", &[])
            .await
            .body
            .contains(line)
            != is_evacuated
        {
            sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, waiting).await.unwrap();
}

/// Guards against requests to an evacuated data centre, also of an entry there, and against an evacuation that
/// stays after it was withdrawn, or is lost while the registry is away or by an unreadable record.
#[tokio::test]
async fn set_and_withdrawn() {
    let (hall, quay) = (
        TestUpstream::start(&[]).await,
        TestUpstream::start(&[]).await,
    );
    let registry = RegistryStandin::default();
    registry.config(directory(1));
    register_in(&registry, "hall", &hall);
    register_in(&registry, "quay", &quay);
    let entry = entry_of_hall(&registry).await;
    until_status(entry.callers(), "/read/1", 200).await;
    registry.evacuate("hall", true);
    until_evacuated(&entry, true).await;
    registry.setting(Change::UnreadableEvacuation {
        data_centre: "hall".to_owned(),
        reason: "no object".to_owned(),
    });
    let (reached, elsewhere) = (hall.seen().len(), quay.seen().len());
    for _ in 0..8 {
        assert_eq!(call(entry.callers(), "GET", "/read/1").await.status, 200);
    }
    registry.set_away(true);
    sleep(Duration::from_millis(300)).await;
    assert_eq!(call(entry.callers(), "GET", "/read/1").await.status, 200);
    assert_eq!(
        (hall.seen().len(), quay.seen().len()),
        (reached, elsewhere + 9)
    );
    registry.evacuate("hall", false);
    registry.set_away(false);
    until_evacuated(&entry, false).await;
    assert_eq!(call(entry.callers(), "GET", "/read/1").await.status, 200);
    assert_eq!(hall.seen().len(), reached + 1, "its own data centre first");
}

/// Guards against an entry that starts during an evacuation and sends requests there before it has read it.
#[tokio::test]
async fn known_at_start() {
    let (hall, quay) = (
        TestUpstream::start(&[]).await,
        TestUpstream::start(&[]).await,
    );
    let registry = RegistryStandin::default();
    registry.evacuate("hall", true);
    registry.config(directory(1));
    register_in(&registry, "hall", &hall);
    register_in(&registry, "quay", &quay);
    let entry = entry_of_hall(&registry).await;
    until_status(entry.callers(), "/read/1", 200).await;
    assert_eq!((hall.seen().len(), quay.seen().len()), (0, 1));
}

/// Guards against an evacuation that ends running streams, and against one whose broken streams are resumed
/// where they ran.
#[rstest]
#[case::completes(Act::DelayedEvents(600, 1, 6), body_of(1, 6), 0)]
#[case::breaks(Act::CutEvents(1, 3), body_of(1, 6), 1)]
#[tokio::test]
async fn running_stream(#[case] act: Act, #[case] body: String, #[case] resumed: usize) {
    let hall = TestUpstream::start(&[act]).await;
    let registry = RegistryStandin::default();
    registry.config(directory(1));
    register_in(&registry, "hall", &hall);
    let entry = entry_of_hall(&registry).await;
    let addr = entry.callers();
    let calling = tokio::spawn(async move {
        loop {
            let answer = call(addr, "GET", "/stream/1").await;
            // The upstream may not be read yet.
            if answer.status != 503 {
                return answer;
            }
        }
    });
    tokio::time::timeout(TIMEOUT, hall.until_seen(1))
        .await
        .unwrap();
    registry.evacuate("hall", true);
    until_evacuated(&entry, true).await;
    let quay = TestUpstream::start(&[Act::Events(4, 6)]).await;
    register_in(&registry, "quay", &quay);
    // A second upstream in the evacuated data centre, where the stream has not run yet.
    let other = TestUpstream::start(&[]).await;
    registry.upstream(Change::Upstream(Box::new(registered("other", other.addr))));
    let answer = calling.await.unwrap();
    assert_eq!((answer.status, answer.body), (200, body));
    assert_eq!((quay.seen().len(), other.seen().len()), (resumed, 0));
}

/// Guards against a caller that waits, where all upstreams are evacuated.
#[tokio::test]
async fn all_evacuated() {
    let hall = TestUpstream::start(&[]).await;
    let registry = RegistryStandin::default();
    registry.config(directory(1));
    register_in(&registry, "hall", &hall);
    let entry = entry_of_hall(&registry).await;
    until_status(entry.callers(), "/read/1", 200).await;
    registry.evacuate("hall", true);
    until_evacuated(&entry, true).await;
    let answer = call(entry.callers(), "GET", "/read/1").await;
    assert_eq!(answer.status, 503);
    assert!(answer.body.contains("no-upstream"), "{}", answer.body);
    assert!(answer.header("retry-after").is_some());
}
