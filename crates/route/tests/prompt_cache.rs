//! Choice between engines that are assumed to hold a part of the prompt and engines that are less loaded.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod lab;

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr};
use std::time::{Duration, Instant};

use rstest::rstest;
use wagtailreel_fleet::{EngineModel, LoadStatus};
use wagtailreel_route::direct::{Pick, PromptCacheConfig, PromptPrefix, Requirements, Upstreams};

const SLOTS: u32 = 12;
const OBJECTIVE: Duration = Duration::from_secs(1);
const CONFIG: PromptCacheConfig = PromptCacheConfig {
    retention: Duration::from_secs(30),
    max_prefixes: 64,
};

/// A prompt of 4,000 shared tokens and 100 of its own, at 19 tokens per millisecond.
const LONG: u32 = 4100;

/// An entry's view of some engines, with the model that they run.
struct View {
    upstreams: Upstreams,
    engine: EngineModel,
    now: Instant,
}

impl View {
    fn new(engines: usize) -> Self {
        let mut view = Self {
            upstreams: Upstreams::new("hall".to_owned(), BTreeMap::new()).with_prompt_cache(CONFIG),
            engine: lab::engine_model(SLOTS),
            now: Instant::now(),
        };
        for engine in 0..engines {
            view.upstreams.update(lab::upstream(engine, SLOTS));
            view.report(engine, LoadStatus::default());
        }
        view
    }

    /// Applies the report of an engine's agent.
    fn report(&mut self, engine: usize, status: LoadStatus) {
        let status = LoadStatus {
            version: status.version.or(Some(1)),
            slowdown: 1.0,
            ..status
        };
        let ip: IpAddr = Ipv4Addr::from(u32::try_from(engine).unwrap() + 1).into();
        self.upstreams.status(ip, &status, None, self.now);
    }

    fn choose(&mut self, prompt: u32, prefixes: &[PromptPrefix]) -> Pick {
        let needs = needs(&self.engine, prompt, prefixes);
        self.upstreams.choose(&needs, self.now).unwrap()
    }

    /// Chooses an engine, and lets its first event come `late` after it was expected.
    fn serve(&mut self, prompt: u32, prefixes: &[PromptPrefix], late: Duration) -> Pick {
        let pick = self.choose(prompt, prefixes);
        let needs = needs(&self.engine, prompt, prefixes);
        let seen = pick.expected.unwrap() + late;
        self.upstreams.record_prompt(&pick, &needs, seen, self.now);
        pick
    }
}

fn needs<'a>(
    engine: &'a EngineModel,
    prompt: u32,
    prefixes: &'a [PromptPrefix],
) -> Requirements<'a> {
    Requirements {
        model: Some(lab::MODEL),
        engine: Some(engine),
        prompt,
        objective: OBJECTIVE,
        prefixes,
        ..Requirements::default()
    }
}

/// A prompt of a part that many share and one of the request's own.
fn prompt(own: &str) -> Vec<PromptPrefix> {
    PromptPrefix::of_parts([("manual", LONG - 100), (own, 100)])
}

/// A prompt whose beginning is read again at another engine waits 210 ms longer than it has to.
#[rstest]
fn idle_engines() {
    let mut view = View::new(8);
    let first = view.serve(LONG, &prompt("a"), Duration::ZERO);
    assert_eq!(first.held_tokens, 0);
    for own in ["b", "c", "d"] {
        let next = view.serve(LONG, &prompt(own), Duration::ZERO);
        assert_eq!((&next.id, next.held_tokens), (&first.id, LONG - 100));
        assert!(next.expected < first.expected);
    }
}

/// An engine that holds the beginning but is fuller by more than it saves makes callers wait longer.
#[rstest]
#[case::free_slots(2, 0, true)]
#[case::short_queue(2, 150, true)]
#[case::long_queue(2, 300, false)]
#[case::no_slot(SLOTS + 4, 0, false)]
fn loaded_engine(#[case] running: u32, #[case] prefill_ms: u32, #[case] is_chosen: bool) {
    let mut view = View::new(3);
    let first = view.serve(LONG, &prompt("a"), Duration::ZERO);
    let engine: usize = first.id[1..].parse().unwrap();
    view.report(
        engine,
        LoadStatus {
            running,
            prefill_ms,
            ..LoadStatus::default()
        },
    );
    let next = view.choose(LONG, &prompt("b"));
    assert_eq!(next.id == first.id, is_chosen, "{next:?}");
}

/// A beginning that all requests share must not send them all to the engine that read it first.
#[rstest]
fn hot_beginning() {
    let mut view = View::new(8);
    let mut requests: BTreeMap<String, u32> = BTreeMap::new();
    for n in 0..64 {
        let pick = view.serve(LONG, &prompt(&format!("p{n}")), Duration::ZERO);
        view.upstreams.started(&pick.id, LONG - pick.held_tokens);
        *requests.entry(pick.id).or_default() += 1;
    }
    let most = requests.values().max().unwrap();
    assert!(*most <= SLOTS, "{requests:?}");
    assert!(requests.len() >= 6, "{requests:?}");
}

/// What an engine held is gone after a restart, a change of its weights, under memory pressure, and with time.
#[rstest]
#[case::restart(LoadStatus { started: 5, ..LoadStatus::default() }, 0)]
#[case::weights(LoadStatus { version: Some(2), ..LoadStatus::default() }, 0)]
#[case::memory(LoadStatus { memory: 0.95, ..LoadStatus::default() }, 0)]
#[case::unused(LoadStatus::default(), 31)]
fn forgotten(#[case] status: LoadStatus, #[case] later: u64) {
    let mut view = View::new(1);
    view.serve(LONG, &prompt("a"), Duration::ZERO);
    assert!(view.choose(LONG, &prompt("b")).held_tokens > 0);
    view.now += Duration::from_secs(later);
    view.report(0, status);
    assert_eq!(view.choose(LONG, &prompt("b")).held_tokens, 0);
}

/// An engine that retains nothing is assumed to hold a prompt only a few times.
#[rstest]
fn wrong_assumption() {
    let mut view = View::new(1);
    let read_again = Duration::from_millis(250);
    let mut assumed = 0;
    for n in 0..40 {
        let pick = view.serve(LONG, &prompt(&format!("p{n}")), read_again);
        assumed += u32::from(pick.held_tokens > 0);
    }
    assert_eq!(assumed, 3);
    view.now += CONFIG.retention;
    view.report(0, LoadStatus::default());
    view.serve(LONG, &prompt("a"), Duration::ZERO);
    assert!(
        view.choose(LONG, &prompt("b")).held_tokens > 0,
        "trusted again"
    );
}

/// A beginning of 40 tokens, which takes 2 ms to read, must not decide between engines.
#[rstest]
fn short_beginning() {
    let beginning = |own: &str| PromptPrefix::of_parts([("greeting", 40), (own, 860)]);
    let mut view = View::new(4);
    let mut plain = View::new(4);
    for n in 0..32 {
        let with = view.serve(900, &beginning(&format!("p{n}")), Duration::ZERO);
        let without = plain.choose(900, &[]);
        assert_eq!((with.id, with.held_tokens), (without.id, 0));
    }
}

/// The memory for assumptions is bounded, and the prompts that were used last are kept.
#[rstest]
fn bounded() {
    let mut view = View::new(1);
    let own = |n: usize| format!("p{n}");
    for n in 0..200 {
        let prefixes = PromptPrefix::of_parts([(own(n).as_str(), 4000)]);
        view.serve(LONG, &prefixes, Duration::ZERO);
        view.now += Duration::from_millis(10);
    }
    let held: Vec<usize> = (0..200)
        .filter(|n| {
            let prefixes = PromptPrefix::of_parts([(own(*n).as_str(), 4000)]);
            view.choose(LONG, &prefixes).held_tokens > 0
        })
        .collect();
    let kept: Vec<usize> = (200 - CONFIG.max_prefixes..200).collect();
    assert_eq!(held, kept);
}
