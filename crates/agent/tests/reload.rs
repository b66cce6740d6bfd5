//! Recovery of weights after restarts of the engine or the agent and after lost answers to a load.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod common;

use common::{World, eventually};
use http::Method;
use wagtailreel_agent_core::AgentProcess;
use wagtailreel_core::ServiceKind;
use wagtailreel_standins::EngineConfig;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn engine_restarts() {
    let world = World::serving(EngineConfig::default()).await;
    let bundle = world.bundle("1");
    let fetched = world.origin.stats().bytes;
    world.engine.restart().unwrap();
    assert!(world.engine.held().is_empty());
    // Requests are not run until the engine has its weights again.
    let mut refusals = 0;
    let answer = eventually("the engine has its weights again", async || {
        let request = format!("r{refusals}");
        let answer = world.run(&request, &[], 4).await;
        if answer.status == 200 {
            return Some((request, answer));
        }
        refusals += 1;
        assert_eq!(answer.refusal().1, "not-run");
        None
    })
    .await;
    answer.1.assert_whole(&answer.0, bundle, 0, 4);
    assert_eq!(world.engine.stats().loads, 2);
    assert_eq!(
        world.origin.stats().bytes,
        fetched,
        "loaded from the chunks"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_load() {
    let world = World::new(EngineConfig::default()).await;
    world.engine.faults().update(|f| f.lose_loads = 1);
    world.set_document(5, "1");
    world.wait_open(5).await;
    // The engine's status shows that the load took effect, so the load is not ordered again.
    assert_eq!(world.engine.stats().loads, 1);
    assert_eq!(world.report().await.trouble, None);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn failed_loads() {
    let world = World::new(EngineConfig::default()).await;
    world.engine.faults().update(|f| f.fail_loads = 2);
    world.set_document(5, "1");
    eventually("the agent reports the trouble", async || {
        world.report().await.trouble
    })
    .await;
    world.wait_open(5).await;
    assert_eq!(world.engine.stats().loads, 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn agent_restarts() {
    let mut world = World::serving(EngineConfig::default()).await;
    let settings = common::settings(
        ServiceKind::Engine,
        world.engine.addr(),
        world.env.vms.addr(),
        Some(world.origin.addr()),
    );
    world.agent = AgentProcess::start(settings).await.unwrap();
    world.env.add_agent(&world.agent);
    world.wait_open(5).await;
    // The engine already holds the wanted bundle, so the bundle is not loaded again.
    assert_eq!(world.engine.stats().loads, 1);
    let answer = world.run("r1", &[], 4).await;
    answer.assert_whole("r1", world.bundle("1"), 0, 4);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unknown_bundles() {
    // The engine is full of bundles that the agent does not know.
    let world = World::new(EngineConfig::default()).await;
    for name in ["a", "b"] {
        world
            .engine
            .hold(wagtailreel_core::Digest::of(name.as_bytes()));
    }
    world.set_document(5, "1");
    world.wait_open(5).await;
    let answer = world.run("r1", &[], 4).await;
    answer.assert_whole("r1", world.bundle("1"), 0, 4);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn missing_bundle() {
    let world = World::serving(EngineConfig::default()).await;
    let bundle = world.bundle("1");
    let path = format!("/v1/weights/{bundle}?fence=5");
    let addr = world.engine.addr();
    let dropped = world.env.send(addr, Method::DELETE, &path, &[], "");
    assert_eq!(dropped.await.status(), 200);
    let refused = world.run("r1", &[], 4).await;
    let (status, outcome, reason) = refused.refusal();
    assert_eq!((status, outcome), (503, "not-run"));
    // `closed` if the agent's own check has already found the loss.
    assert!(matches!(reason, "weights" | "closed"), "{reason}");
    // The refused request was never started, so its id is accepted again.
    eventually("the engine has its weights again", async || {
        let answer = world.run("r1", &[], 4).await;
        (answer.status == 200).then(|| answer.assert_whole("r1", bundle, 0, 4))
    })
    .await;
    assert_eq!(world.engine.stats().loads, 2);
}
