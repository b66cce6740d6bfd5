//! What peers are told and given, and the limits of the link.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::time::{Duration, Instant};

use common::{CHUNK, Vm, model, origin};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use serde_json::Value;
use wagtailreel_adapters::{Body, HttpClient, collect_body, retry_after};
use wagtailreel_core::{Bundle, Digest, SpreadSettings};
use wagtailreel_standins::OriginModel;

/// How long a test waits for an answer.
const BOUND: Duration = Duration::from_secs(30);

async fn ask(client: &HttpClient, vm: &Vm, path: &str) -> Response<Incoming> {
    let req = Request::get(format!("http://{}{path}", vm.entry.data));
    let req = req.body(Body::empty()).unwrap();
    client.request_within(req, BOUND).await.unwrap()
}

async fn ask_json(client: &HttpClient, vm: &Vm, path: &str) -> Value {
    let response = ask(client, vm, path).await;
    let body = collect_body("vm", response.into_body(), 1 << 20, BOUND).await;
    serde_json::from_slice(&body.unwrap()).unwrap()
}

/// A question waits for news: first for the bundle, then for its last chunk.
#[tokio::test]
async fn long_poll() {
    let scribe = model("1", 12);
    let origin = origin(&[&scribe], 0);
    let parts = vec![origin.manifest(&scribe.part()).unwrap()];
    let bundle = Bundle { parts }.digest();
    let vm = Vm::start("vm-1", &origin).await;
    let client = HttpClient::new();
    let path = format!("/weights/{bundle}/have?wait_ms=20000");
    let unknown = ask_json(&client, &vm, &path).await;
    assert_eq!(unknown["version"], 0);
    vm.want(3, scribe.part());
    let mut answer = unknown;
    let mut questions = 0;
    while answer["have"] != "ff0f" {
        let path = format!("{path}&since={}", answer["version"]);
        let next = ask_json(&client, &vm, &path).await;
        assert_ne!(next["version"], answer["version"], "an answer without news");
        assert_eq!(next["chunks"], 12);
        answer = next;
        questions += 1;
    }
    assert!(questions <= 13, "{questions} questions for 12 chunks");
}

#[tokio::test]
async fn chunk_bytes() {
    let scribe = model("1", 3);
    let origin = origin(&[&scribe], 0);
    let vm = Vm::start("vm-1", &origin).await;
    vm.want(3, scribe.part());
    vm.staged(3).await;
    let client = HttpClient::new();
    for meta in origin.manifest(&scribe.part()).unwrap().chunks {
        let response = ask(&client, &vm, &format!("/chunks/{}", meta.digest)).await;
        assert_eq!(response.headers()["content-length"], CHUNK.to_string());
        let body = collect_body("vm", response.into_body(), CHUNK, BOUND).await;
        assert_eq!(Digest::of(&body.unwrap()), meta.digest);
    }
    assert_eq!(vm.metric("bytes_out_total", ""), (3 * CHUNK) as u64);
    let absent = format!("/chunks/{}", Digest::of(b"another"));
    let absent = ask(&client, &vm, &absent).await;
    assert_eq!(absent.status(), StatusCode::NOT_FOUND);
    let bad = ask(&client, &vm, "/chunks/abc").await;
    assert_eq!(bad.status(), StatusCode::BAD_REQUEST);
}

/// With enough chunks on their way the next peer is sent away, until one gives up its place.
#[tokio::test]
async fn busy_link() {
    let scribe = OriginModel::new("scribe", "1", 2_000_000, 2_000_000);
    let origin = origin(&[&scribe], 0);
    let vm = Vm::start_with("vm-1", &origin, |cfg| cfg.egress = 100_000).await;
    vm.want(3, scribe.part());
    vm.staged(3).await;
    let chunk = origin.manifest(&scribe.part()).unwrap().chunks[0].digest;
    let path = format!("/chunks/{chunk}");
    let client = HttpClient::new();
    let mut given = Vec::new();
    let refused = loop {
        let response = ask(&client, &vm, &path).await;
        match response.status() {
            StatusCode::OK => given.push(response),
            status => break (status, retry_after(response.headers())),
        }
        assert!(given.len() <= 4, "there is no bound");
    };
    assert_eq!(refused.0, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refused.1, Some(Duration::from_secs(2)));
    given.pop();
    let begin = Instant::now();
    while ask(&client, &vm, &path).await.status() != StatusCode::OK {
        assert!(begin.elapsed() < BOUND, "the place stays taken");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// A rate is a bound from below on the time, whatever the machine does.
#[tokio::test]
async fn rate_of_document() {
    let scribe = model("1", 20);
    let origin = origin(&[&scribe], 0);
    let vm = Vm::start("vm-1", &origin).await;
    let settings = SpreadSettings {
        rate: Some(400_000),
        ..SpreadSettings::default()
    };
    let begin = Instant::now();
    vm.want_with(3, vec![scribe.part()], settings);
    vm.staged(3).await;
    // 400 kB at 400 kB/s, but for the last chunk, the next one and what may be caught up on.
    assert!(begin.elapsed() >= Duration::from_millis(880));
}

/// Under full pressure a transfer keeps a twentieth of its rate, and so still ends.
#[tokio::test]
async fn live_pressure() {
    let scribe = model("1", 10);
    let origin = origin(&[&scribe], 0);
    let vm = Vm::start_with("vm-1", &origin, |cfg| cfg.ingress = 4_000_000).await;
    vm.transfer.set_live_pressure(1.0);
    let begin = Instant::now();
    vm.want(3, scribe.part());
    vm.staged(3).await;
    // 200 kB at 200 kB/s, with the same allowance.
    assert!(begin.elapsed() >= Duration::from_millis(780));
}
