//! Switching faults over HTTP.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::{Method, Request, StatusCode};
use rstest::rstest;
use serde_json::{Value, json};
use tokio::net::TcpStream;
use wagtailreel_adapters::{BaseUrl, Body, HttpClient, collect_body};
use wagtailreel_standins::{EngineConfig, EngineStandin, LogConfig, LogStandin};

/// Longer than any test may take.
const LONG: Duration = Duration::from_secs(30);

fn local() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn call(addr: SocketAddr, method: Method, path: &str, body: &Value) -> (StatusCode, Value) {
    let req = Request::builder()
        .method(method)
        .uri(format!("{}{path}", BaseUrl::from(addr)))
        .header("content-type", "application/json")
        .body(Body::from(body.to_string()))
        .unwrap();
    let response = HttpClient::new().request(req).await.unwrap();
    let status = response.status();
    let bytes = collect_body("standin", response.into_body(), 1 << 20, LONG).await;
    let body = serde_json::from_slice(&bytes.unwrap()).unwrap_or(Value::Null);
    (status, body)
}

#[tokio::test]
async fn patch_keeps_rest() {
    let standin = LogStandin::start(LogConfig::default(), local()).unwrap();
    let addr = standin.addr();
    let faults = json!({"down": true, "retain_ms": 500});
    let (status, _) = call(addr, Method::POST, "/standin/faults", &faults).await;
    assert_eq!(status, 200);
    // Down, it still takes orders about its faults.
    let (_, body) = call(
        addr,
        Method::POST,
        "/standin/faults",
        &json!({"down": false}),
    )
    .await;
    assert_eq!(body["retain_ms"], 500);
    let faults = standin.faults().get();
    assert!(!faults.common.down);
    assert_eq!(faults.retain, Some(Duration::from_millis(500)));
}

#[rstest]
#[case::unknown(json!({"dwon": true}))]
#[case::wrong_type(json!({"down": 3}))]
#[case::no_object(json!([]))]
#[tokio::test]
async fn bad_patch(#[case] patch: Value) {
    let standin = LogStandin::start(LogConfig::default(), local()).unwrap();
    let (status, _) = call(standin.addr(), Method::POST, "/standin/faults", &patch).await;
    assert_eq!(status, 400);
    assert_eq!(standin.faults().get(), Default::default());
}

#[tokio::test]
async fn stats_and_changes() {
    let standin = LogStandin::start(LogConfig::default(), local()).unwrap();
    let addr = standin.addr();
    for number in 0..4 {
        standin.append("config", &json!(number));
    }
    let change = json!({"truncate": {"next": 4}});
    call(addr, Method::POST, "/standin/streams/config", &change).await;
    let change = json!({"drop_before": {"first": 2}});
    call(addr, Method::POST, "/standin/streams/config", &change).await;
    let (_, stats) = call(addr, Method::GET, "/standin/stats", &Value::Null).await;
    assert_eq!(
        (&stats["appends"], &stats["streams"]["config"]),
        (&json!(4), &json!([2, 4]))
    );
}

#[tokio::test]
async fn crash_for_a_while() {
    let standin = LogStandin::start(LogConfig::default(), local()).unwrap();
    let addr = standin.addr();
    let (status, _) = call(
        addr,
        Method::POST,
        "/standin/crash",
        &json!({"for_ms": 200}),
    )
    .await;
    assert_eq!(status, 204);
    let reaches = async |wanted: bool| {
        let begin = Instant::now();
        while TcpStream::connect(addr).await.is_ok() != wanted {
            assert!(begin.elapsed() < LONG);
        }
    };
    reaches(false).await;
    reaches(true).await;
}

#[tokio::test]
async fn restart_engine() {
    let standin = EngineStandin::start(EngineConfig::default(), local()).unwrap();
    standin.hold(wagtailreel_core::Digest::of(b"weights"));
    let (status, _) = call(
        standin.addr(),
        Method::POST,
        "/standin/restart",
        &Value::Null,
    )
    .await;
    assert_eq!(status, 204);
    let begin = Instant::now();
    while !standin.held().is_empty() || TcpStream::connect(standin.addr()).await.is_err() {
        assert!(begin.elapsed() < LONG);
        tokio::task::yield_now().await;
    }
}
