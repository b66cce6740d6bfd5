//! The whole way: document, chunks, load, open, run.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod common;

use common::{Hall, World, eventually};
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
    world.want(9, "2");
    world.opened(9).await;
    let (old, new) = (world.bundle("1"), world.bundle("2"));
    world.run("r1", &[], 8).await.assert_whole("r1", new, 0, 8);

    let pin = old.to_string();
    let answer = world.run("r2", &[("wagtailreel-pin", &pin)], 8).await;
    assert_eq!(answer.refusal(), (503, "not-run", "weights"));
    // The old bundle goes once nothing needs it.
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
    world.want(5, "1");
    world.opened(5).await;
    world.want(9, "2");
    world.opened(9).await;
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
        common::Answer::read(world.hall.send(addr, method, path, &[], "").await).await
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
async fn list_away() {
    // The platform's list is down: the agent reports to the entry that its settings name.
    let hall = Hall::new();
    hall.vms.faults().update(|f| f.common.down = true);
    let seeds = vec![hall.entry.addr()];
    let world = World::within(hall, EngineConfig::default(), |s| s.seeds = seeds).await;
    world.want(5, "1");
    world.opened(5).await;
    // Once the list is back, the agent goes on with the entries that are in it.
    world.hall.vms.faults().clear();
    world.want(9, "2");
    world.opened(9).await;
    let bundle = world.bundle("2");
    let answer = world.run("r1", &[], 8).await;
    answer.assert_whole("r1", bundle, 0, 8);
}
