//! A plain service: its echo and its faults, through the adapter.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::net::SocketAddr;

use http::{Method, Request};
use http_body_util::BodyExt as _;
use serde_json::{Value, json};
use wagtailreel_adapters::{Body, Effect, HttpPlainService, PlainService as _, PlatformError};
use wagtailreel_standins::{PlainConfig, PlainStandin};

fn start() -> (PlainStandin, HttpPlainService) {
    let local = SocketAddr::from(([127, 0, 0, 1], 0));
    let standin = PlainStandin::start(PlainConfig::default(), local).unwrap();
    let service = HttpPlainService::new(standin.addr());
    (standin, service)
}

fn call() -> Request<Body> {
    Request::builder()
        .method(Method::PUT)
        .uri("/slabs/7?cut=deep")
        .header("wagtailreel-request", "r1")
        .body(Body::from("granite"))
        .unwrap()
}

#[tokio::test]
async fn echoes_call() {
    let (standin, service) = start();
    service.healthy().await.unwrap();
    service.call(call()).await.unwrap();
    let answer = service.call(call()).await.unwrap();
    let body = answer.into_body().collect().await.unwrap().to_bytes();
    let body: Value = serde_json::from_slice(&body).unwrap();
    let echo = json!({"method": "PUT", "path": "/slabs/7?cut=deep", "body": "granite", "run": 2});
    assert_eq!(body, echo);
    assert_eq!(standin.runs("r1"), 2);
}

#[tokio::test]
async fn lost_answer() {
    let (standin, service) = start();
    standin.faults().update(|faults| faults.lose_answers = 1);
    let err = service.call(call()).await.unwrap_err();
    assert!(matches!(err, PlatformError::Lost { .. }), "{err}");
    assert_eq!(err.took_effect(), Effect::Maybe);
    assert_eq!(standin.runs("r1"), 1);
}

#[tokio::test]
async fn down_runs_nothing() {
    let (standin, service) = start();
    standin.faults().update(|faults| faults.common.down = true);
    assert_eq!(service.call(call()).await.unwrap().status(), 503);
    assert_eq!(
        service.healthy().await.unwrap_err().took_effect(),
        Effect::No
    );
    assert_eq!(standin.runs("r1"), 0);
}

#[tokio::test]
async fn status_passes_through() {
    let (standin, service) = start();
    standin.faults().update(|faults| faults.status = 418);
    assert_eq!(service.call(call()).await.unwrap().status(), 418);
    assert_eq!(standin.runs("r1"), 1);
}
