//! Weights that get lost: restarts of the engine or the agent, lost answers to a load.
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
    let drawn = world.origin.stats().bytes;
    world.engine.restart().unwrap();
    assert!(world.engine.held().is_empty());
    // Until it has its weights back, requests are not run.
    let mut refusals = 0;
    let answer = eventually("the engine has its weights back", async || {
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
    assert_eq!(world.origin.stats().bytes, drawn, "loaded from the chunks");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_load() {
    let world = World::new(EngineConfig::default()).await;
    world.engine.faults().update(|f| f.lose_loads = 1);
    world.want(5, "1");
    world.opened(5).await;
    // The status told that the load took effect: it was not ordered again.
    assert_eq!(world.engine.stats().loads, 1);
    assert_eq!(world.report().await.trouble, None);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn failed_loads() {
    let world = World::new(EngineConfig::default()).await;
    world.engine.faults().update(|f| f.fail_loads = 2);
    world.want(5, "1");
    eventually("the agent says what is wrong", async || {
        world.report().await.trouble
    })
    .await;
    world.opened(5).await;
    assert_eq!(world.engine.stats().loads, 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn agent_restarts() {
    let mut world = World::serving(EngineConfig::default()).await;
    let settings = common::settings(
        ServiceKind::Engine,
        world.engine.addr(),
        world.hall.vms.addr(),
        Some(world.origin.addr()),
    );
    world.agent = AgentProcess::start(settings).await.unwrap();
    world.hall.list_agent(&world.agent);
    world.opened(5).await;
    // The bundle in the engine is the wanted one: it was not loaded again.
    assert_eq!(world.engine.stats().loads, 1);
    let answer = world.run("r1", &[], 4).await;
    answer.assert_whole("r1", world.bundle("1"), 0, 4);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stray_bundles() {
    // An engine full of bundles that nobody knows.
    let world = World::new(EngineConfig::default()).await;
    for name in ["a", "b"] {
        world
            .engine
            .hold(wagtailreel_core::Digest::of(name.as_bytes()));
    }
    world.want(5, "1");
    world.opened(5).await;
    let answer = world.run("r1", &[], 4).await;
    answer.assert_whole("r1", world.bundle("1"), 0, 4);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn missing_bundle() {
    let world = World::serving(EngineConfig::default()).await;
    let bundle = world.bundle("1");
    let path = format!("/v1/weights/{bundle}?fence=5");
    let addr = world.engine.addr();
    let dropped = world.hall.send(addr, Method::DELETE, &path, &[], "");
    assert_eq!(dropped.await.status(), 200);
    let refused = world.run("r1", &[], 4).await;
    let (status, outcome, reason) = refused.refusal();
    assert_eq!((status, outcome), (503, "not-run"));
    // `closed` if the agent has noticed by itself already.
    assert!(matches!(reason, "weights" | "closed"), "{reason}");
    // The refused request was never started, so that it may come again.
    eventually("the engine has its weights back", async || {
        let answer = world.run("r1", &[], 4).await;
        (answer.status == 200).then(|| answer.assert_whole("r1", bundle, 0, 4))
    })
    .await;
    assert_eq!(world.engine.stats().loads, 2);
}
