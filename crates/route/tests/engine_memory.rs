//! Engines whose memory is nearly used get no request that it can't hold.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rstest::rstest;
use wagtailreel_fleet::{EngineModel, LoadStatus, LoadedModel, Upstream, UpstreamState};
use wagtailreel_route::direct::{Requirements, Unavailable, Upstreams};

fn addr() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 80))
}

fn engine() -> EngineModel {
    EngineModel {
        model: "epitaph".to_owned(),
        slots: 12,
        memory_tokens: 10_000,
        step: Duration::from_millis(7),
        step_per_request: Duration::ZERO,
        step_per_1k_context: Duration::ZERO,
        read_per_second: 30_000.0,
        steps_per_pass: 1,
        usual_prompt: 300,
        usual_answer: 100,
        chunks: 4,
        chunk_bytes: 0,
        load_time: Duration::from_millis(300),
    }
}

/// Returns an engine with 12 slots whose agent reports that `memory` of it is used.
fn upstreams(memory: f32, now: Instant) -> Upstreams {
    let mut upstreams = Upstreams::new("hall".to_owned(), BTreeMap::new());
    upstreams.update(Upstream {
        id: "e1".to_owned(),
        started: 0,
        service: "scribes".to_owned(),
        addr: addr(),
        data_centre: "hall".to_owned(),
        slots: 12,
        state: UpstreamState::Ready,
        warmup_left: Duration::ZERO,
        models: vec![LoadedModel {
            model: "epitaph".to_owned(),
            version: 1,
            whole: true,
        }],
    });
    let status = LoadStatus {
        version: Some(1),
        memory,
        slowdown: 1.0,
        ..LoadStatus::default()
    };
    upstreams.status(addr().ip(), &status, None, now);
    upstreams
}

fn choose(upstreams: &mut Upstreams, prompt: u32, now: Instant) -> Result<(), Unavailable> {
    let engine = engine();
    let needs = Requirements {
        model: Some("epitaph"),
        engine: Some(&engine),
        prompt,
        objective: Duration::from_secs(2),
        ..Requirements::default()
    };
    upstreams.choose(&needs, now).map(|_| ())
}

/// Guards against engines that crash because their requests exceed their memory, and against refusals where
/// memory is ample.
#[rstest]
#[case::ample(0.5, 9_900, true)]
#[case::just_below(0.9, 9_900, true)]
#[case::fits(0.92, 699, true)]
#[case::overflows(0.92, 701, false)]
#[case::used(1.0, 1, false)]
fn one_request(#[case] memory: f32, #[case] prompt: u32, #[case] is_chosen: bool) {
    let now = Instant::now();
    let chosen = choose(&mut upstreams(memory, now), prompt, now);
    assert_eq!(
        chosen,
        if is_chosen {
            Ok(())
        } else {
            Err(Unavailable::Full)
        }
    );
}

/// Guards against requests of this entry that the agent's report does not include yet.
#[rstest]
fn own_requests() {
    let now = Instant::now();
    let mut upstreams = upstreams(0.92, now);
    let start = upstreams.started("e1", 600);
    assert_eq!(choose(&mut upstreams, 100, now), Err(Unavailable::Full));
    upstreams.prefilled("e1", start, 600);
    upstreams.finished("e1", start);
    assert_eq!(choose(&mut upstreams, 100, now), Ok(()));
}

/// An old report says nothing.
#[rstest]
fn old_report() {
    let now = Instant::now();
    let mut upstreams = upstreams(1.0, now);
    assert_eq!(
        choose(&mut upstreams, 100, now + Duration::from_secs(3)),
        Ok(())
    );
}
