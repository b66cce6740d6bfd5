//! Upstreams on VMs that are slow for a while get fewer requests.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::ready_upstream;
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use rstest::rstest;
use wagtailreel_fleet::{EngineModel, LoadStatus, Upstream};
use wagtailreel_route::direct::{Requirements, Upstreams};

const UPSTREAMS: u8 = 12;
const SLOW: u8 = 2;

/// Time that an answer usually takes.
const USUAL: Duration = Duration::from_millis(40);

fn id(number: u8) -> String {
    format!("u{number:02}")
}

fn addr(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 80))
}

fn upstreams() -> Upstreams {
    let mut upstreams = Upstreams::new("hall".to_owned(), BTreeMap::new());
    for number in 0..UPSTREAMS {
        upstreams.update(Upstream {
            slots: 6,
            addr: addr(number),
            ..ready_upstream(&id(number), 0, "desk")
        });
    }
    upstreams
}

/// What came of the requests of a span.
#[derive(Debug, Default)]
struct Outcome {
    total: Duration,
    requests: u32,
    at_slow: u32,
}

impl Outcome {
    fn mean(&self) -> Duration {
        self.total / self.requests
    }
}

/// Sends 250 requests a second to plain upstreams, of which a sixth are `factor` times as slow for `span`. The
/// answers tell the pace if `tells_pace`.
fn plain(factor: f64, span: Duration, tells_pace: bool) -> Outcome {
    let mut upstreams = upstreams();
    let start = Instant::now();
    let mut rng = StdRng::seed_from_u64(5);
    let mut ends: BTreeMap<(Instant, u64), u8> = BTreeMap::new();
    let mut outcome = Outcome::default();
    let mut now = start;
    for sequence in 0.. {
        now += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / 250.0);
        if now > start + span {
            break;
        }
        while let Some(entry) = ends.first_entry().filter(|it| it.key().0 <= now) {
            let ((at, _), number) = entry.remove_entry();
            upstreams.finished(&id(number), 0);
            let pace = if number < SLOW { factor } else { 1.0 };
            upstreams.record_pace(&id(number), tells_pace.then_some(pace), at);
        }
        let pick = upstreams.choose(&Requirements::default(), now).unwrap();
        let number = (0..UPSTREAMS).find(|it| id(*it) == pick.id).unwrap();
        upstreams.started(&pick.id, 0);
        let took = USUAL.mul_f64(if number < SLOW { factor } else { 1.0 });
        ends.insert((now + took, sequence), number);
        outcome.total += took;
        outcome.requests += 1;
        outcome.at_slow += u32::from(number < SLOW);
    }
    outcome
}

/// Guards against as many requests to slow upstreams as without the figure.
#[rstest]
#[case::short(2.5, 600, 0.75)]
#[case::long(5.0, 7000, 0.5)]
fn plain_upstreams(#[case] factor: f64, #[case] span_ms: u64, #[case] most: f64) {
    let span = Duration::from_millis(span_ms);
    let (with, without) = (plain(factor, span, true), plain(factor, span, false));
    println!("with the figure: {with:?}, without: {without:?}");
    assert!(f64::from(with.at_slow) < most * f64::from(without.at_slow));
    assert!(with.mean() < without.mean());
}

fn model() -> EngineModel {
    EngineModel {
        model: "epitaph".to_owned(),
        slots: 6,
        memory_tokens: 100_000,
        step: Duration::from_millis(9),
        step_per_request: Duration::ZERO,
        step_per_1k_context: Duration::ZERO,
        read_per_second: 20_000.0,
        steps_per_pass: 4,
        usual_prompt: 800,
        usual_answer: 20,
        chunks: 4,
        chunk_bytes: 0,
        load_time: Duration::from_millis(300),
    }
}

fn status(running: u32, slowdown: f32) -> LoadStatus {
    LoadStatus {
        version: Some(1),
        running,
        slowdown,
        ..LoadStatus::default()
    }
}

/// An engine on a slow VM comes after a busier one, for as long as the figure is used.
#[rstest]
#[case::slow(Some(5.0), 0, false)]
#[case::no_figure(None, 0, true)]
#[case::usual(Some(1.0), 0, true)]
#[case::faster(Some(0.2), 0, true)]
#[case::still_used(Some(5.0), 500, false)]
#[case::stale(Some(5.0), 501, true)]
#[case::not_a_number(Some(f64::NAN), 0, true)]
#[case::infinite(Some(f64::INFINITY), 0, true)]
#[case::zero(Some(0.0), 0, true)]
#[case::negative(Some(-2.0), 0, true)]
#[case::too_large(Some(f64::MAX), 0, false)]
fn engines(#[case] pace: Option<f64>, #[case] age_ms: u64, #[case] is_chosen: bool) {
    let mut upstreams = upstreams();
    let now = Instant::now();
    let told = now.checked_sub(Duration::from_millis(age_ms)).unwrap();
    for number in 0..UPSTREAMS {
        let running = if number == 0 { 0 } else { 3 };
        upstreams.status(addr(number).ip(), &status(running, 1.0), None, now);
    }
    upstreams.record_pace(&id(0), pace, told);
    let model = model();
    let needs = Requirements {
        model: Some("epitaph"),
        engine: Some(&model),
        prompt: 800,
        objective: Duration::from_millis(400),
        ..Requirements::default()
    };
    let pick = upstreams.choose(&needs, now).unwrap();
    assert_eq!(pick.id == id(0), is_chosen, "{pick:?}");
}

/// The greater of the agent's pace and the figure counts.
#[rstest]
#[case::agent(3.0, Some(1.0))]
#[case::figure(1.0, Some(3.0))]
#[case::both(3.0, Some(3.0))]
#[case::agent_alone(3.0, None)]
fn greater_counts(#[case] slowdown: f32, #[case] pace: Option<f64>) {
    let expected = |slowdown, pace| {
        let mut upstreams = upstreams();
        let now = Instant::now();
        upstreams.status(addr(0).ip(), &status(0, slowdown), None, now);
        upstreams.record_pace(&id(0), pace, now);
        let model = model();
        let needs = Requirements {
            model: Some("epitaph"),
            engine: Some(&model),
            prompt: 800,
            objective: Duration::from_secs(2),
            ..Requirements::default()
        };
        upstreams.choose(&needs, now).unwrap().expected.unwrap()
    };
    assert_eq!(expected(slowdown, pace), expected(3.0, None));
    assert!(expected(slowdown, pace) > expected(1.0, None) * 2);
}

/// An idle slow upstream does not get its turn among idle ones, and a stale figure no longer counts.
#[rstest]
fn idle_upstreams() {
    let mut upstreams = upstreams();
    let now = Instant::now();
    for number in 0..SLOW {
        upstreams.record_pace(&id(number), Some(2.5), now);
    }
    let mut turns = |at| {
        let picks = (0..100).map(|_| upstreams.choose(&Requirements::default(), at).unwrap().id);
        picks.filter(|it| *it < id(SLOW)).count()
    };
    assert_eq!(turns(now), 0);
    assert!(turns(now + Duration::from_millis(501)) > 5);
}
