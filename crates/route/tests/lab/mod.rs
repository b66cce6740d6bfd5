//! A fleet in virtual time that drives the decisions of [`wagtailreel_route::direct`]: entries, agents, and
//! engines that run the prefill of prompts one after the other and decode in batches.
#![allow(dead_code, reason = "each test program uses a part")]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use wagtailreel_fleet::{EngineModel, LoadStatus, LoadedModel, Upstream, UpstreamState};
use wagtailreel_route::direct::{PendingArrivals, Pick, Prediction, Requirements, Upstreams};

pub(crate) mod kinds;
pub(crate) mod ranked;
pub(crate) mod served;
mod simulated_engine;
mod steps;

pub(crate) const MODEL: &str = "epitaph";

/// Interval of an agent's regular load reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Network delay of a datagram between an entry and an agent.
const NETWORK_DELAY: Duration = Duration::from_micros(600);

/// A load pattern, and which mechanisms the entries use.
#[derive(Clone, Debug)]
pub(crate) struct Pattern {
    pub(crate) entries: usize,
    pub(crate) engines: usize,
    pub(crate) slots: u32,
    /// Requests per second.
    pub(crate) rate: f64,
    pub(crate) objective: Duration,
    pub(crate) span: Duration,
    /// Entries announce requests to agents, which report them to all entries at once.
    pub(crate) announces: bool,
    /// Entries correct their predictions.
    pub(crate) corrects: bool,
}

/// Outcome of the requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Outcome {
    pub(crate) in_time: u32,
    pub(crate) late: u32,
    pub(crate) refused: u32,
}

impl Outcome {
    /// Returns the share of the admitted requests that began late.
    pub(crate) fn late_share(&self) -> f64 {
        f64::from(self.late) / f64::from((self.in_time + self.late).max(1))
    }
}

/// An event of the simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrival,
    /// An agent reads its engine's figures and reports to all entries.
    Report(usize),
    /// An agent's report reaches the entries.
    Received(usize),
    /// A request begins: entry, engine, request.
    Begins(usize, usize, usize),
    /// A request ends.
    Ends(usize, usize, usize),
}

/// One engine: prefill runs one prompt at a time, and decoding requests share the steps.
#[derive(Debug, Default)]
struct Engine {
    running: u32,
    waiting: Vec<usize>,
    prefill_until: Duration,
    arrivals: PendingArrivals,
    report: LoadStatus,
}

#[derive(Clone, Debug)]
struct Request {
    entry: usize,
    prompt: u32,
    answer: u32,
    sent: Duration,
    pick: Option<Pick>,
}

/// A fleet in virtual time.
pub(crate) struct Lab {
    pattern: Pattern,
    model: EngineModel,
    rng: StdRng,
    start: Instant,
    now: Duration,
    steps: BinaryHeap<Reverse<(Duration, u64, Step)>>,
    order: u64,
    entries: Vec<Upstreams>,
    engines: Vec<Engine>,
    requests: Vec<Request>,
    outcome: Outcome,
}

/// Returns the timing model of the engines.
pub(crate) fn engine_model(slots: u32) -> EngineModel {
    EngineModel {
        model: MODEL.to_owned(),
        slots,
        memory_tokens: 1_000_000,
        step: Duration::from_micros(8900),
        step_per_request: Duration::from_micros(39),
        step_per_1k_context: Duration::from_micros(23),
        read_per_second: 19_000.0,
        steps_per_pass: 5,
        usual_prompt: 900,
        usual_answer: 95,
        chunks: 1,
        chunk_bytes: 0,
        load_time: Duration::ZERO,
    }
}

pub(crate) fn upstream(engine: usize, slots: u32) -> Upstream {
    let host = u32::try_from(engine).unwrap() + 1;
    Upstream {
        id: format!("e{engine}"),
        started: 0,
        service: "scribes".to_owned(),
        addr: SocketAddr::from((std::net::Ipv4Addr::from(host), 80)),
        data_centre: "hall".to_owned(),
        slots,
        state: UpstreamState::Ready,
        warmup_left: Duration::ZERO,
        models: vec![LoadedModel {
            model: MODEL.to_owned(),
            version: 1,
            whole: true,
        }],
    }
}

impl Lab {
    pub(crate) fn new(pattern: Pattern, seed: u64) -> Self {
        let mut lab = Self {
            model: engine_model(pattern.slots),
            rng: StdRng::seed_from_u64(seed),
            start: Instant::now(),
            now: Duration::ZERO,
            steps: BinaryHeap::new(),
            order: 0,
            entries: Vec::new(),
            engines: Vec::new(),
            requests: Vec::new(),
            outcome: Outcome::default(),
            pattern,
        };
        for _ in 0..lab.pattern.entries {
            let mut upstreams = Upstreams::new("hall".to_owned(), BTreeMap::new());
            for engine in 0..lab.pattern.engines {
                upstreams.update(upstream(engine, lab.pattern.slots));
            }
            lab.entries.push(upstreams);
        }
        for engine in 0..lab.pattern.engines {
            lab.engines.push(Engine::default());
            let first = REPORT_INTERVAL.mul_f64(lab.rng.random());
            lab.at(first, Step::Report(engine));
        }
        lab.at(Duration::ZERO, Step::Arrival);
        lab
    }

    /// Runs the pattern and returns the outcome of the requests.
    pub(crate) fn run(mut self) -> Outcome {
        while let Some(Reverse((at, _, step))) = self.steps.pop() {
            if at > self.pattern.span {
                break;
            }
            self.now = at;
            match step {
                Step::Arrival => self.arrival(),
                Step::Report(engine) => self.load_report(engine),
                Step::Received(engine) => self.receive_report(engine),
                Step::Begins(entry, engine, request) => self.begins(entry, engine, request),
                Step::Ends(entry, engine, request) => self.ends(entry, engine, request),
            }
        }
        self.outcome
    }

    fn at(&mut self, at: Duration, step: Step) {
        self.order += 1;
        self.steps.push(Reverse((at, self.order, step)));
    }

    fn instant(&self) -> Instant {
        self.start + self.now
    }

    /// Draws a length with a long tail, as of prompts and answers.
    fn length(&mut self, mean: f64, most: f64) -> u32 {
        let drawn = -mean * (1.0 - self.rng.random::<f64>()).ln();
        // Lengths are small and positive.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let length = drawn.clamp(mean / 10.0, most) as u32;
        length
    }

    fn arrival(&mut self) {
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / self.pattern.rate;
        self.at(self.now + Duration::from_secs_f64(gap), Step::Arrival);
        let entry = self.rng.random_range(0..self.pattern.entries);
        let mut request = Request {
            entry,
            prompt: self.length(900.0, 3900.0),
            answer: self.length(95.0, 260.0),
            sent: self.now,
            pick: None,
        };
        let needs = Requirements {
            model: Some(MODEL),
            engine: Some(&self.model),
            prompt: request.prompt,
            objective: self.pattern.objective,
            ..Requirements::default()
        };
        let now = self.start + self.now;
        let Ok(pick) = self.entries[entry].choose(&needs, now) else {
            self.outcome.refused += 1;
            return;
        };
        let engine: usize = pick.id[1..].parse().unwrap();
        let prefill_time = Prediction::prefill_time(&self.model, request.prompt);
        self.entries[entry].started(&pick.id, request.prompt);
        self.entries[entry].add_prefill(&pick.id, prefill_time, now);
        request.pick = Some(pick);
        let id = self.requests.len();
        self.requests.push(request);
        if self.pattern.announces {
            self.engines[engine].arrivals.add(prefill_time, now);
            self.send_report(engine);
        }
        self.admit(engine, id);
    }

    /// Adds a request to the batch, or queues it for a slot.
    fn admit(&mut self, engine: usize, id: usize) {
        let slots = self.pattern.slots;
        let now = self.now;
        let it = &mut self.engines[engine];
        if it.running >= slots {
            it.waiting.push(id);
            return;
        }
        it.running += 1;
        let request = self.requests[id].clone();
        let prefill_time = Prediction::prefill_time(&self.model, request.prompt);
        it.prefill_until = it.prefill_until.max(now) + prefill_time;
        let step = self.model.step + self.model.step_per_request * it.running;
        let pass = step * self.model.steps_per_pass;
        let begins = it.prefill_until + pass.mul_f64(0.5 + self.rng.random::<f64>());
        // Prefill takes its share of the steps of decoding requests.
        let share = (self.pattern.rate / self.pattern.engines as f64) * 0.047;
        let writing = step.mul_f64(f64::from(request.answer) / (1.0 - share.min(0.6)));
        self.at(begins, Step::Begins(request.entry, engine, id));
        self.at(begins + writing, Step::Ends(request.entry, engine, id));
    }

    fn begins(&mut self, entry: usize, _engine: usize, id: usize) {
        let request = self.requests[id].clone();
        let seen = self.now.saturating_sub(request.sent);
        if seen <= self.pattern.objective {
            self.outcome.in_time += 1;
        } else {
            self.outcome.late += 1;
        }
        let pick = request.pick.unwrap();
        self.entries[entry].prefilled(&pick.id, 0, request.prompt);
        if self.pattern.corrects {
            let now = self.instant();
            self.entries[entry].record_first_event(&pick, seen, now);
        }
    }

    fn ends(&mut self, entry: usize, engine: usize, _id: usize) {
        self.entries[entry].finished(&format!("e{engine}"), 0);
        let it = &mut self.engines[engine];
        it.running -= 1;
        if !it.waiting.is_empty() {
            let next = it.waiting.remove(0);
            self.admit(engine, next);
        }
    }

    fn load_report(&mut self, engine: usize) {
        let now = self.instant();
        self.engines[engine].arrivals.figures_read(now);
        self.send_report(engine);
        self.at(self.now + REPORT_INTERVAL, Step::Report(engine));
    }

    /// Reports the load of an engine to all entries, from the figures that its agent read last.
    fn send_report(&mut self, engine: usize) {
        let now = self.instant();
        let it = &mut self.engines[engine];
        let waiting = u32::try_from(it.waiting.len()).unwrap();
        it.report = LoadStatus {
            version: Some(1),
            running: it.running,
            queued: waiting + it.arrivals.pending(now).min(1),
            prefill_ms: u32::try_from(it.arrivals.prefill_left(now).as_millis()).unwrap(),
            slowdown: 1.0,
            ..LoadStatus::default()
        };
        self.at(self.now + NETWORK_DELAY, Step::Received(engine));
    }

    fn receive_report(&mut self, engine: usize) {
        let now = self.instant();
        let report = self.engines[engine].report.clone();
        let ip = std::net::Ipv4Addr::from(u32::try_from(engine).unwrap() + 1).into();
        for entry in &mut self.entries {
            entry.status(ip, &report, None, now);
        }
    }
}
