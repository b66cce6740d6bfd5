//! Admission control by rank at an entry whose engine is full.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::time::Duration;

use common::caller::call;
use common::upstream::{Act, TestUpstream};
use common::{directory, engine_record, entry, route, until_readiness};
use rstest::rstest;
use wagtailreel_fleet::RouteKind;
use wagtailreel_standins::RegistryStandin;

/// Time between two requests.
const PAUSE: Duration = Duration::from_millis(20);

const REQUESTS: usize = 100;

/// Once requests find the engine full, less urgent ones are shed without being sent. Where all requests have
/// the same rank nothing is shed.
#[rstest]
#[case::ranks_differ(0, true)]
#[case::one_rank(1, false)]
#[tokio::test]
async fn full_engine(#[case] urgent_rank: u8, #[case] sheds: bool) {
    let registry = RegistryStandin::default();
    let engine = TestUpstream::start(&vec![Act::NoAnswer; REQUESTS]).await;
    let stream = RouteKind::Stream {
        resumable: true,
        gap: None,
    };
    let mut urgent = route("/urgent/", stream);
    urgent.rank = urgent_rank;
    urgent.services = vec![("writers".to_owned(), 1)];
    let directory = directory(1);
    let mut routes = directory.routes().to_vec();
    routes.push(urgent);
    registry.config(directory.with_routes(routes));
    registry.upstream(engine_record("a", &engine, 1));
    let entry = entry(&registry, Duration::from_secs(30)).await;
    until_readiness(&entry, 200).await;
    let addr = entry.callers();
    let mut calls = Vec::new();
    for turn in 0..REQUESTS {
        let path = if turn % 5 == 0 {
            "/urgent/1"
        } else {
            "/written/1"
        };
        calls.push(tokio::spawn(async move {
            let answer = call(addr, "GET", path);
            tokio::time::timeout(Duration::from_secs(1), answer).await
        }));
        tokio::time::sleep(PAUSE).await;
    }
    let mut shed = 0;
    for call in calls {
        let Ok(answer) = call.await.unwrap() else {
            continue;
        };
        assert_eq!(answer.status, 503, "{}", answer.body);
        if answer.body.contains("\"shed\"") {
            let retry_after: f64 = answer.header("retry-after").unwrap().parse().unwrap();
            assert!((0.01..5.0 / 3.0).contains(&retry_after), "{retry_after}");
            assert!(answer.body.contains("has not run"), "{}", answer.body);
            shed += 1;
        }
    }
    println!("{shed} shed, {} sent", engine.seen().len());
    assert_eq!(shed > 2, sheds, "{shed}");
    assert!(sheds || shed == 0, "{shed}");
}
