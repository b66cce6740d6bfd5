//! Graceful shutdown.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod common;

use std::time::{Duration, Instant};

use common::{Answer, World, eventually};
use http_body_util::BodyExt as _;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use wagtailreel_standins::EngineConfig;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn long_stream() {
    let cfg = EngineConfig {
        between_tokens: Duration::from_millis(20),
        ..EngineConfig::default()
    };
    let world = World::serving(cfg).await;
    let bundle = world.bundle("1");
    let addr = world.agent.data_addr();
    let mut running = world.start("long", &[], 100).await;
    // The first part of the body is read and the rest is not, so the request is still running.
    assert_eq!(running.status(), 200);
    let first = running.body_mut().frame().await.unwrap().unwrap();
    let first = first.into_data().unwrap();

    let World {
        env,
        origin,
        engine,
        agent,
    } = world;
    let shutdown = tokio::spawn(agent.shutdown());
    let mut agents = env.entry.agents();
    eventually("the entry knows that the agent is leaving", async || {
        let views = agents.borrow_and_update().clone();
        let view = views.get(common::VM)?;
        view.report.leaving.then_some(())
    })
    .await;
    let body = r#"{"prompt": "late", "max_tokens": 4}"#;
    let late = env.send(addr, http::Method::POST, "/run/late", &[], body);
    let late = Answer::read(late.await).await;
    assert_eq!(late.refusal(), (503, "not-run", "leaving"));
    assert!(!shutdown.is_finished());

    let mut answer = Answer::read(running).await;
    let mut decoder = wagtailreel_adapters::SseDecoder::new();
    decoder.push(&first);
    let mut before = Vec::new();
    while let Some(event) = decoder.next_event().unwrap() {
        before.push(event);
    }
    answer.events.splice(0..0, before);
    answer.assert_whole("long", bundle, 0, 100);
    tokio::time::timeout(common::MAX_WAIT, shutdown)
        .await
        .unwrap()
        .unwrap();
    assert!(engine.request("late").is_none());
    drop((origin, engine));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idle_agent() {
    let world = World::serving(EngineConfig::default()).await;
    let shutdown = world.agent.shutdown();
    tokio::time::timeout(common::MAX_WAIT, shutdown)
        .await
        .unwrap();
}

/// Guards against closing an idle connection too early: an entry that does not know of the shutdown
/// uses the connection for as long as its `keep-alive` header allows.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keep_alive_after_shutdown() {
    let world = World::serving(EngineConfig::default()).await;
    let mut stream = TcpStream::connect(world.agent.data_addr()).await.unwrap();
    let req = "HEAD /no/such/route HTTP/1.1\r\nhost: agent\r\n\r\n";
    stream.write_all(req.as_bytes()).await.unwrap();
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.unwrap());
    }
    let head = String::from_utf8(head).unwrap();
    assert!(head.contains("keep-alive: timeout=2"), "{head}");
    let since = Instant::now();
    let shutdown = tokio::spawn(world.agent.shutdown());
    assert_eq!(stream.read(&mut [0]).await.unwrap(), 0);
    let after = since.elapsed();
    assert!(after > Duration::from_secs(2), "closed after {after:?}");
    tokio::time::timeout(common::MAX_WAIT, shutdown)
        .await
        .unwrap()
        .unwrap();
}
