//! The complete path from a document through chunks, load and opening to a request.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod common;

use common::{Environment, World, eventually};
use wagtailreel_core::WeightsPhase;
use wagtailreel_standins::EngineConfig;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn load_and_run() {
    let world = World::serving(EngineConfig::default()).await;
    let bundle = world.bundle("1");
    assert_eq!(world.engine.held().get(&bundle), Some(&bundle));

    let answer = world.run("r1", &[], 32).await;
    answer.assert_whole("r1", bundle, 0, 32);
    assert_eq!(answer.header("wagtailreel-weights"), bundle.to_string());
    assert_eq!(answer.header("wagtailreel-epoch"), "5");
    assert_eq!(answer.header("content-type"), "text/event-stream");
    assert_eq!(answer.last().1["epoch"], 5);

    let resumed = world
        .run("r2", &[("wagtailreel-resume-from", "20")], 32)
        .await;
    resumed.assert_whole("r2", bundle, 20, 32);
    let report = world.report().await;
    assert_eq!((report.config, report.in_flight), (5, 0));
    assert_eq!(report.chunks.0, report.chunks.1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn next_version() {
    let world = World::serving(EngineConfig::default()).await;
    world.set_document(9, "2");
    world.wait_open(9).await;
    let (old, new) = (world.bundle("1"), world.bundle("2"));
    world.run("r1", &[], 8).await.assert_whole("r1", new, 0, 8);

    let pin = old.to_string();
    let answer = world.run("r2", &[("wagtailreel-pin", &pin)], 8).await;
    assert_eq!(answer.refusal(), (503, "not-run", "weights"));
    // The old bundle is dropped when no request needs it.
    eventually("the old bundle is dropped", async || {
        let held: Vec<_> = world.engine.held().into_keys().collect();
        (held == [new]).then_some(())
    })
    .await;
    let report = world.report().await;
    assert_eq!(report.weights.get(&9), Some(&WeightsPhase::Loaded));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn room_for_one() {
    let cfg = EngineConfig {
        bundles: 1,
        ..EngineConfig::default()
    };
    let world = World::with_settings(cfg, |settings| settings.upstream.bundles = 1).await;
    world.set_document(5, "1");
    world.wait_open(5).await;
    world.set_document(9, "2");
    world.wait_open(9).await;
    let new = world.bundle("2");
    world.run("r1", &[], 8).await.assert_whole("r1", new, 0, 8);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn operators_routes() {
    let world = World::serving(EngineConfig::default()).await;
    world.run("r1", &[], 4).await;
    let addr = world.agent.data_addr();
    let get = async |path: &str| {
        let method = http::Method::GET;
        common::Answer::read(world.env.send(addr, method, path, &[], "").await).await
    };
    assert_eq!(get("/healthz").await.status, 200);
    let metrics = String::from_utf8(get("/metrics").await.body.to_vec()).unwrap();
    for line in [
        "wagtailreel_agent_requests_total{outcome=\"answered\",reason=\"\"} 1",
        "wagtailreel_agent_tokens_total 4",
        "wagtailreel_agent_in_flight 0",
        "wagtailreel_agent_epochs{phase=\"loaded\"} 1",
    ] {
        assert!(metrics.contains(line), "{line} is not in {metrics}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn vm_list_unreachable() {
    // The platform's list is down, so the agent reports to the seed entry of its settings.
    let env = Environment::new();
    env.vms.faults().update(|f| f.common.down = true);
    let seeds = vec![env.entry.addr()];
    let world = World::with_env(env, EngineConfig::default(), |s| s.seeds = seeds).await;
    world.set_document(5, "1");
    world.wait_open(5).await;
    // When the list is reachable again, the agent continues with the listed entries.
    world.env.vms.faults().clear();
    world.set_document(9, "2");
    world.wait_open(9).await;
    let bundle = world.bundle("2");
    let answer = world.run("r1", &[], 8).await;
    answer.assert_whole("r1", bundle, 0, 8);
}
