//! Engines with queued prefill when a request arrives.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod lab;

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr};
use std::time::{Duration, Instant};

use rstest::rstest;
use wagtailreel_fleet::{EngineModel, LoadStatus};
use wagtailreel_route::direct::{
    PendingArrivals, Prediction, Requirements, Unavailable, Upstreams,
};

const OBJECTIVE: Duration = Duration::from_millis(400);
const SLOTS: u32 = 12;

/// Returns an engine with a prefill rate of 31.9 tokens per millisecond.
fn engine_model() -> EngineModel {
    EngineModel {
        read_per_second: 31_900.0,
        ..lab::engine_model(SLOTS)
    }
}

fn choose(upstreams: &mut Upstreams, prompt: u32, now: Instant) -> Result<String, Unavailable> {
    let engine = engine_model();
    let needs = Requirements {
        model: Some(lab::MODEL),
        engine: Some(&engine),
        prompt,
        objective: OBJECTIVE,
        ..Requirements::default()
    };
    upstreams.choose(&needs, now).map(|pick| pick.id)
}

/// Returns an entry's view of one engine, as its agent reports it.
fn view(running: u32, prefill_time: Duration, slowdown: f32, now: Instant) -> Upstreams {
    let mut upstreams = Upstreams::new("hall".to_owned(), BTreeMap::new());
    upstreams.update(lab::upstream(0, SLOTS));
    upstreams.status(ip(), &report(running, prefill_time, slowdown), None, now);
    upstreams
}

fn ip() -> IpAddr {
    Ipv4Addr::from(1).into()
}

fn report(running: u32, prefill_time: Duration, slowdown: f32) -> LoadStatus {
    LoadStatus {
        version: Some(1),
        running,
        prefill_ms: u32::try_from(prefill_time.as_millis()).unwrap(),
        slowdown,
        ..LoadStatus::default()
    }
}

#[rstest]
#[case::idle(0, 0, 1.0, true)]
#[case::short_prefill(4, 100, 1.0, true)]
#[case::prefill_bound(4, 300, 1.0, false)]
#[case::slow_by_itself(4, 300, 8.0, true)]
fn free_slot(
    #[case] running: u32,
    #[case] prefill_time: u64,
    #[case] slowdown: f32,
    #[case] accepts: bool,
) {
    let now = Instant::now();
    let mut upstreams = view(running, Duration::from_millis(prefill_time), slowdown, now);
    let chosen = choose(&mut upstreams, 900, now);
    assert_eq!(chosen.is_ok(), accepts, "{chosen:?}");
}

/// A refused caller is told to retry once enough prefill is done for the request to begin in time.
#[rstest]
fn retry_after_prefill() {
    let now = Instant::now();
    let engine = engine_model();
    let free_in = |prefill_time| {
        let needs = Requirements {
            model: Some(lab::MODEL),
            engine: Some(&engine),
            prompt: 900,
            objective: OBJECTIVE,
            ..Requirements::default()
        };
        let upstreams = view(4, Duration::from_millis(prefill_time), 1.0, now);
        upstreams.free_in(&needs, now).unwrap()
    };
    assert_eq!(free_in(100), Duration::ZERO);
    let (sooner, later) = (free_in(300), free_in(400));
    assert!(sooner > Duration::ZERO && sooner < Duration::from_millis(300));
    assert_eq!(later - sooner, Duration::from_millis(100));
}

/// An engine has just loaded, and requests of all entries of its data centre arrive at once. The prefill of
/// the admitted requests ends in time, and leaves the engine work until the next requests arrive.
#[rstest]
fn engine_just_loaded() {
    let prompts = [
        355, 741, 461, 912, 464, 1551, 870, 786, 373, 624, 759, 1234, 881, 1390, 731, 195, 254, 576,
    ];
    let start = Instant::now();
    let engine = engine_model();
    let mut arrivals = PendingArrivals::default();
    let mut total_prefill = Duration::ZERO;
    let mut admitted = 0;
    for (at, prompt) in (0..).zip(prompts) {
        let now = start + Duration::from_millis(at);
        let mut upstreams = view(admitted, arrivals.prefill_left(now), 1.0, now);
        if choose(&mut upstreams, prompt, now).is_ok() {
            let prefill_time = Prediction::prefill_time(&engine, prompt);
            arrivals.add(prefill_time, now);
            total_prefill += prefill_time;
            admitted += 1;
        }
    }
    assert!(
        total_prefill < OBJECTIVE.mul_f64(0.7),
        "{admitted} admitted, prefill {total_prefill:?}"
    );
    assert!(
        total_prefill > OBJECTIVE.mul_f64(0.3),
        "{admitted} admitted, prefill {total_prefill:?}"
    );
    assert!(admitted < SLOTS);
}
