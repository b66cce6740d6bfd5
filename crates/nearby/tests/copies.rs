//! Copies of large configurations for neighbours.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::time::Duration;

use common::Entry;
use http::Request;
use rstest::rstest;
use wagtailreel_adapters::{Body, HttpClient, collect_body};
use wagtailreel_fleet::{
    AllowedRegions, Change, ClientLimits, Directory, Position, Registry as _, Route, RouteKind,
    Topic,
};

const TIMEOUT: Duration = Duration::from_secs(2);

/// Number of routes of a large configuration.
const ROUTES: u32 = 1_500;

fn large_directory(version: u64) -> Directory {
    let limits = ClientLimits {
        header_bytes: 16_384,
        body_bytes: 1 << 20,
        header_timeout: Duration::from_secs(2),
        idle_timeout: Duration::from_secs(9),
    };
    let route = |n| Route {
        name: format!("route-{n}"),
        host: format!("host-{}.example", n % 40),
        prefix: format!("/desk/{n}/"),
        kind: RouteKind::NonIdempotent,
        timeout: Duration::from_millis(1_200 + u64::from(n)),
        objective: Duration::from_millis(120),
        rank: 2,
        services: vec![("desk".to_owned(), 1)],
        max_attempts: 1,
        is_public: false,
        regions: AllowedRegions::default(),
    };
    Directory::new(version, limits).with_routes((0..ROUTES).map(route).collect())
}

async fn config_at(entry: &Entry) -> Change {
    let newest = entry.registry.newest(Topic::Settings, TIMEOUT).await;
    newest.unwrap().items.into_iter().next().unwrap().change
}

/// Returns the size of the copy that `entry` serves to a neighbour that has read nothing.
async fn copy_size(entry: &Entry) -> usize {
    let url = format!(
        "http://{}/v1/registry/settings/newest?wait_ms=0",
        entry.addr
    );
    let req = Request::get(&url).body(Body::default()).unwrap();
    let answer = HttpClient::new().request(req).await.unwrap();
    let body = collect_body(&url, answer.into_body(), 1 << 24, TIMEOUT).await;
    body.unwrap().len()
}

/// A neighbour gets the same configuration, compressed to less than a tenth.
#[rstest]
#[tokio::test]
async fn packed_copy() {
    let first = Entry::start().await;
    let second = Entry::with_neighbour(&first).await;
    let directory = large_directory(7);
    let plain = serde_json::to_vec(&directory).unwrap().len();
    first.store.config(directory.clone());
    let expected = Change::Config(Box::new(directory));
    assert_eq!(config_at(&first).await, expected);
    second.note_entry(&first);
    assert_eq!(config_at(&second).await, expected);
    assert_eq!(second.store.calls(), 0, "by the neighbour");
    let packed = copy_size(&first).await;
    assert!(packed * 10 < plain, "{packed} of {plain} bytes");
}

/// A snapshot for a neighbour has the newest records, even if older copies were cached.
#[rstest]
#[tokio::test]
async fn newest_after_change() {
    let first = Entry::start().await;
    let second = Entry::with_neighbour(&first).await;
    for version in [7, 8] {
        let directory = large_directory(version);
        first.store.config(directory.clone());
        let expected = Change::Config(Box::new(directory));
        assert_eq!(config_at(&first).await, expected);
        for _ in 0..2 {
            second.note_entry(&first);
            assert_eq!(config_at(&second).await, expected);
        }
    }
    assert_eq!(second.store.calls(), 0, "by the neighbour");
}

/// A page for a neighbour has the newest records, even if an older copy was cached.
#[rstest]
#[tokio::test]
async fn changed_copy() {
    let first = Entry::start().await;
    let second = Entry::with_neighbour(&first).await;
    let read = |entry: &Entry, from| {
        let registry = entry.registry.clone();
        async move {
            let page = registry.read(
                Topic::Settings,
                Position::new(0, from),
                Duration::ZERO,
                TIMEOUT,
            );
            page.await.unwrap()
        }
    };
    for version in [7, 8] {
        let directory = large_directory(version);
        first.store.config(directory.clone());
        read(&first, version - 7).await;
        second.note_entry(&first);
        let page = read(&second, 0).await;
        let newest = page.items.last().map(|item| item.change.clone());
        assert_eq!(newest, Some(Change::Config(Box::new(directory))));
        assert_eq!(page.next, Position::new(0, version - 6));
    }
}
