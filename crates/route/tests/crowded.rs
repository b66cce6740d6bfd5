//! Engines that read others' prompts when a request comes.
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

/// Returns an engine that reads 31.9 tokens a millisecond.
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

/// Makes an entry's view of one engine, as its agent tells.
fn view(running: u32, prefill_time: Duration, pace: f32, now: Instant) -> Upstreams {
    let mut upstreams = Upstreams::new("hall".to_owned(), BTreeMap::new());
    upstreams.update(lab::upstream(0, SLOTS));
    upstreams.status(ip(), &word(running, prefill_time, pace), None, now);
    upstreams
}

fn ip() -> IpAddr {
    Ipv4Addr::from(1).into()
}

fn word(running: u32, prefill_time: Duration, pace: f32) -> LoadStatus {
    LoadStatus {
        version: Some(1),
        running,
        reading_ms: u32::try_from(prefill_time.as_millis()).unwrap(),
        pace,
        ..LoadStatus::default()
    }
}

#[rstest]
#[case::idle(0, 0, 1.0, true)]
#[case::others_are_read(4, 100, 1.0, true)]
#[case::crowded(4, 300, 1.0, false)]
#[case::slow_by_itself(4, 300, 8.0, true)]
fn free_slot(
    #[case] running: u32,
    #[case] prefill_time: u64,
    #[case] pace: f32,
    #[case] takes: bool,
) {
    let now = Instant::now();
    let mut upstreams = view(running, Duration::from_millis(prefill_time), pace, now);
    let chosen = choose(&mut upstreams, 900, now);
    assert_eq!(chosen.is_ok(), takes, "{chosen:?}");
}

/// Who is refused comes back when so much is read that it would begin in time.
#[rstest]
fn back_when_read() {
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

/// An engine has just loaded, and the requests of all entries of its data centre come at once. Those that are let in
/// are read in time, and there is work for the engine until the next ones come.
#[rstest]
fn opened_engine() {
    let prompts = [
        355, 741, 461, 912, 464, 1551, 870, 786, 373, 624, 759, 1234, 881, 1390, 731, 195, 254, 576,
    ];
    let start = Instant::now();
    let engine = engine_model();
    let mut arrivals = PendingArrivals::default();
    let mut read = Duration::ZERO;
    let mut taken = 0;
    for (at, prompt) in (0..).zip(prompts) {
        let now = start + Duration::from_millis(at);
        let mut upstreams = view(taken, arrivals.prefill_left(now), 1.0, now);
        if choose(&mut upstreams, prompt, now).is_ok() {
            let prefill_time = Prediction::prefill_time(&engine, prompt);
            arrivals.add(prefill_time, now);
            read += prefill_time;
            taken += 1;
        }
    }
    assert!(read < OBJECTIVE.mul_f64(0.7), "{taken} read in {read:?}");
    assert!(read > OBJECTIVE.mul_f64(0.3), "{taken} read in {read:?}");
    assert!(taken < SLOTS);
}
