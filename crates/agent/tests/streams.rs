//! Cut streams and answers from wrong weights.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod common;

use std::time::Duration;

use common::{Answer, World, eventually};
use http::Method;
use http_body_util::BodyExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use wagtailreel_core::Digest;
use wagtailreel_standins::{EngineConfig, RequestState};

fn slow_engine() -> EngineConfig {
    EngineConfig {
        between_tokens: Duration::from_millis(20),
        ..EngineConfig::default()
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cut_stays_cut() {
    let world = World::serving(EngineConfig::default()).await;
    world.engine.faults().update(|f| f.cut_after = Some(5));
    let answer = world.run("r1", &[], 20).await;
    assert!(answer.is_cut, "{answer:?}");
    assert!(answer.tokens().len() <= 5);
    assert!(answer.events.iter().all(|event| event.name == "token"));
    world.engine.faults().clear();
    let from = answer.tokens().len() as u32;
    let resumed = world
        .run("r1", &[("wagtailreel-resume-from", &from.to_string())], 20)
        .await;
    resumed.assert_whole("r1", world.bundle("1"), from, 20);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn engine_killed() {
    let world = World::serving(slow_engine()).await;
    let mut running = world.start("r1", &[], 500).await;
    running.body_mut().frame().await.unwrap().unwrap();
    world.engine.crash();
    let answer = Answer::read(running).await;
    assert!(answer.is_cut, "{answer:?}");
    eventually("the request is no longer counted", async || {
        (world.report().await.in_flight == 0).then_some(())
    })
    .await;
    assert_eq!(world.cancel("r1").await, "done");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn wrong_weights() {
    // The engine reports the bundle's digest but has loaded other bytes.
    let world = World::new(EngineConfig::default()).await;
    world.engine.faults().update(|f| f.accept_anything = true);
    let (named, other) = (world.bundle("1"), b"other bytes");
    let path = format!("/v1/weights/{named}?fence=1");
    let parts = format!("{}:{}", Digest::of(other), other.len());
    let headers = [("wagtailreel-parts", parts.as_str())];
    let body = str::from_utf8(other).unwrap();
    let addr = world.engine.addr();
    let loaded = world.env.send(addr, Method::POST, &path, &headers, body);
    assert_eq!(loaded.await.status(), 200);
    world.set_document(5, "1");
    world.wait_open(5).await;
    let answer = world.run("r1", &[], 4).await;
    let (name, data) = answer.last();
    assert_eq!(name, "error");
    assert_eq!(data["outcome"], "unknown");
    assert!(answer.events.iter().all(|event| event.name != "end"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn caller_gone() {
    let world = World::serving(slow_engine()).await;
    let mut running = world.start("r1", &[], 1000).await;
    running.body_mut().frame().await.unwrap().unwrap();
    assert_eq!(world.report().await.in_flight, 1);
    drop(running);
    eventually("the engine has cancelled the request", async || {
        let stats = world.engine.request("r1")?;
        (stats.state == RequestState::Cancelled).then_some(())
    })
    .await;
    eventually("the request is no longer counted", async || {
        (world.report().await.in_flight == 0).then_some(())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn caller_gone_early() {
    // The caller disconnects while the frozen engine has not answered yet.
    let world = World::serving(EngineConfig::default()).await;
    world.engine.faults().update(|f| f.common.frozen = true);
    let addr = world.agent.data_addr();
    let body = r#"{"prompt": "a name", "max_tokens": 4}"#;
    let head = format!(
        "POST /run/r1 HTTP/1.1\r\nhost: agent\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut caller = TcpStream::connect(addr).await.unwrap();
    caller.write_all(head.as_bytes()).await.unwrap();
    eventually("the request runs", async || {
        (world.report().await.in_flight == 1).then_some(())
    })
    .await;
    drop(caller);
    eventually("the request is no longer counted", async || {
        (world.report().await.in_flight == 0).then_some(())
    })
    .await;
    assert_eq!(world.cancel("r1").await, "done");
}
