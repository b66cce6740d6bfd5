//! Entries of builds that know no eras, on either side.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::time::Duration;

use axum::Router;
use axum::routing::get;
use common::records::{keyed, page, place, snapshot};
use common::{Entry, upstream};
use http::Request;
use rstest::rstest;
use serde::Deserialize;
use serde_json::json;
use tokio::net::TcpListener;
use wagtailreel_adapters::{Body, HttpClient, collect_body};
use wagtailreel_fleet::{BootTime, Change, Era, Registry as _, Topic};
use wagtailreel_standins::RegistryStandin;

const TOPIC: Topic = Topic::Upstreams;

const TIMEOUT: Duration = Duration::from_secs(2);

/// Guards against an entry of an older build, which names no era, that is refused or can't read the answer.
#[rstest]
#[tokio::test]
async fn older_build_reads() {
    let entry = Entry::start().await;
    let items = vec![keyed(4, 3, upstream("a"))];
    entry
        .mirror
        .store_snapshot(TOPIC, &snapshot(items, place(4, 3)));
    let items = vec![keyed(4, 3, upstream("b"))];
    entry
        .mirror
        .store_page(TOPIC, place(4, 3), &page(items, place(4, 4)));
    for query in ["?from=3&wait_ms=0", "/newest?wait_ms=0"] {
        let url = format!("http://{}/v1/registry/{TOPIC}{query}", entry.addr);
        let req = Request::get(&url).body(Body::default()).unwrap();
        let answer = HttpClient::new().request(req).await.unwrap();
        let body = collect_body(&url, answer.into_body(), 1 << 20, TIMEOUT);
        let body: OlderRecords = serde_json::from_slice(&body.await.unwrap()).unwrap();
        assert_eq!(body.next, 4);
        assert_eq!(body.items.last().unwrap().offset, 3);
    }
}

/// A copy as older builds read it.
#[derive(Debug, Deserialize)]
struct OlderRecords {
    items: Vec<OlderKeyed>,
    next: u64,
}

#[derive(Debug, Deserialize)]
struct OlderKeyed {
    offset: u64,
    #[allow(dead_code, reason = "must be readable")]
    change: Change,
}

/// Guards against a copy of an older build, which names no era, that is unreadable, or that is taken where an era is
/// known.
#[rstest]
#[case::no_era_known(0, true)]
#[case::era_known(4, false)]
#[tokio::test]
async fn older_build_serves(#[case] known: Era, #[case] is_taken: bool) {
    let change = serde_json::to_value(upstream("a")).unwrap();
    let copy = json!({"items": [{"offset": 3, "change": change}], "next": 5}).to_string();
    let answer = move || {
        let copy = copy.clone();
        async move { ([("wagtailreel-age-us", "0")], copy) }
    };
    let routes = Router::new().route("/v1/registry/{topic}", get(answer));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let serving = tokio::spawn(async move { axum::serve(listener, routes).await.unwrap() });
    let second = Entry::at("127.0.0.2:0", RegistryStandin::default()).await;
    second.neighbours.note_entries(&[addr], BootTime::now());
    for _ in 0..known {
        second.store.restore(0);
    }
    let from = place(known, 0);
    let read = second.registry.read(TOPIC, from, Duration::ZERO, TIMEOUT);
    let read = read.await.unwrap();
    if is_taken {
        assert_eq!(read.items, vec![keyed(0, 3, upstream("a"))]);
        assert_eq!(read.next, place(0, 5));
    } else {
        assert!(!read.is_relayed, "read from the registry itself");
        assert_eq!(read.next, place(known, 0));
    }
    serving.abort();
}
