//! A fleet of several data centres in virtual time, with kinds of requests that differ in rank, length and
//! objective, and callers that come back once after a refusal.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use wagtailreel_fleet::{EngineModel, LoadStatus, Upstream};
use wagtailreel_route::direct::{
    Admission, Class, Offer, Pick, Prediction, RefusalRate, Requirements, Unavailable, Upstreams,
    choice_objective,
};

use super::kinds::RankedPattern;
use super::served::Served;
use super::simulated_engine::SimulatedEngine;
use super::steps::{Request, Step};
use super::{MODEL, engine_model, upstream};

/// Interval of an agent's regular reports to the entries of its data centre.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Reports of this number of intervals reach the entries of other data centres.
const REMOTE_ROUNDS: u32 = 5;

/// Agents of another data centre that an entry queries in a round, on average.
const REMOTE_AGENTS: f64 = 2.0;

/// Remote agents that are queried before a request goes to another data centre.
const REMOTE_QUERIES: usize = 3;

/// Round trip to an agent of another data centre.
const REMOTE_RTT: Duration = Duration::from_millis(2);

/// Pause of a caller that comes back at once.
const AT_ONCE: Duration = Duration::from_millis(1);

/// Longest time for a request.
const TIMEOUT: Duration = Duration::from_secs(6);

struct Entry {
    upstreams: Upstreams,
    admission: Admission,
    refusal_rate: RefusalRate,
}

/// A fleet in virtual time.
pub(crate) struct RankedLab {
    pattern: RankedPattern,
    model: EngineModel,
    rng: StdRng,
    start: Instant,
    now: Duration,
    steps: BinaryHeap<Reverse<(Duration, u64, Step)>>,
    order: u64,
    entries: Vec<Entry>,
    engines: Vec<SimulatedEngine>,
    requests: Vec<Request>,
    served: Served,
}

fn data_centre(place: usize) -> String {
    format!("d{place}")
}

impl RankedLab {
    pub(crate) fn new(pattern: RankedPattern, seed: u64) -> Self {
        let start = Instant::now();
        let model = EngineModel {
            step: Duration::from_micros(9270),
            step_per_request: Duration::ZERO,
            step_per_1k_context: Duration::ZERO,
            read_per_second: 20_700.0,
            ..engine_model(pattern.slots)
        };
        let mut lab = Self {
            model,
            rng: StdRng::seed_from_u64(seed),
            start,
            now: Duration::ZERO,
            steps: BinaryHeap::new(),
            order: 0,
            entries: Vec::new(),
            engines: Vec::new(),
            requests: Vec::new(),
            served: Served::default(),
            pattern,
        };
        let centres = lab.pattern.data_centres.len();
        let all = centres * lab.pattern.engines;
        for place in 0..centres * lab.pattern.entries {
            let home = data_centre(place / lab.pattern.entries);
            let regions = (0..centres).map(|it| (data_centre(it), data_centre(it)));
            let mut upstreams = Upstreams::new(home, regions.collect());
            for engine in 0..all {
                upstreams.update(Upstream {
                    data_centre: data_centre(engine / lab.pattern.engines),
                    ..upstream(engine, lab.pattern.slots)
                });
            }
            lab.entries.push(Entry {
                upstreams,
                admission: Admission::new(start),
                refusal_rate: RefusalRate::new(start),
            });
        }
        for engine in 0..all {
            lab.engines.push(SimulatedEngine::new(lab.pattern.slots));
            let first = REPORT_INTERVAL.mul_f64(lab.rng.random());
            lab.at(first, Step::Report(engine, 0));
        }
        for entry in 0..lab.entries.len() {
            let first = REPORT_INTERVAL.mul_f64(lab.rng.random());
            if lab.pattern.exchanges_levels {
                lab.at(first, Step::Query(entry, 0));
            }
        }
        for kind in 0..lab.pattern.kinds.len() {
            lab.at(Duration::ZERO, Step::Arrival(kind));
        }
        lab
    }

    /// Runs the pattern and returns what was served.
    pub(crate) fn run(mut self) -> Served {
        while let Some(Reverse((at, _, step))) = self.steps.pop() {
            // Requests that were sent before the end get their outcome.
            if at > self.pattern.span + TIMEOUT {
                break;
            }
            self.now = at;
            match step {
                Step::Arrival(kind) => self.arrival(kind),
                Step::Return(id) => self.offer(id),
                Step::Report(engine, round) => self.report(engine, round),
                Step::Query(entry, round) => self.query(entry, round),
                Step::Begins(engine, id) => self.begins(engine, id),
                Step::Ends(engine, id) => self.ends(engine, id),
            }
        }
        self.served
    }

    fn at(&mut self, at: Duration, step: Step) {
        self.order += 1;
        self.steps.push(Reverse((at, self.order, step)));
    }

    fn arrival(&mut self, kind: usize) {
        let spec = self.pattern.kinds[kind];
        let now = self.now;
        let factor = self.pattern.burst.map_or(1.0, |it| {
            let is_on = it.kind == kind && now >= it.from && now < it.to;
            if is_on { it.factor } else { 1.0 }
        });
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / (spec.rate * factor);
        let next = self.now + Duration::from_secs_f64(gap);
        if next < self.pattern.span {
            self.at(next, Step::Arrival(kind));
        }
        let mut draw = self.rng.random::<f64>() * self.pattern.data_centres.iter().sum::<f64>();
        let mut centre = 0;
        while draw > self.pattern.data_centres[centre] {
            draw -= self.pattern.data_centres[centre];
            centre += 1;
        }
        let place = self.rng.random_range(0..self.pattern.entries);
        let request = Request {
            kind,
            entry: centre * self.pattern.entries + place,
            rank: spec.rank,
            prompt: self.length(spec.prompt),
            answer: self.length(spec.answer),
            first_sent: self.now,
            sent: self.now,
            is_repeat: false,
            pick: None,
        };
        self.served.offered(kind, centre, self.now);
        self.requests.push(request);
        self.offer(self.requests.len() - 1);
    }

    /// Draws a length between half and one and a half of the mean.
    fn length(&mut self, mean: u32) -> u32 {
        mean / 2 + self.rng.random_range(0..=mean)
    }

    /// Offers a request to its entry, which sends it to an engine or refuses it.
    fn offer(&mut self, id: usize) {
        self.requests[id].sent = self.now;
        let request = self.requests[id].clone();
        let now = self.start + self.now;
        let kind = self.pattern.kinds[request.kind];
        let left = (request.first_sent + TIMEOUT).saturating_sub(self.now);
        let before = self.pattern.kinds.iter();
        let before = before
            .filter(|it| it.rank < kind.rank)
            .map(|it| it.objective)
            .min();
        let objective = if self.pattern.is_controlled {
            choice_objective(kind.objective, before)
        } else {
            kind.objective
        };
        let model = self.model.clone();
        let needs = Requirements {
            model: Some(MODEL),
            engine: Some(&model),
            prompt: request.prompt,
            objective,
            ..Requirements::default()
        };
        if self.pattern.is_controlled {
            let entry = &mut self.entries[request.entry];
            let overview = entry.upstreams.overview(&needs, now);
            let first_event = TIMEOUT - left + overview.least_first_event.unwrap_or_default();
            let offer = Offer {
                class: Class {
                    rank: request.rank,
                    is_late: first_event > kind.objective,
                },
                engine_time: Prediction::engine_time(&model, request.prompt, request.answer),
                load: overview.load,
                draw: self.rng.random(),
            };
            let decision = entry.admission.decide(offer, now);
            if !decision.is_admitted {
                entry.refusal_rate.count(true, now);
                let retry_in = decision.retry_after(self.rng.random(), left);
                return self.refused(id, retry_in);
            }
        }
        let chosen = self.choose(id, needs, now);
        let entry = &mut self.entries[request.entry];
        entry.refusal_rate.count(chosen.is_none(), now);
        if self.pattern.is_controlled {
            entry
                .admission
                .record_choice(request.rank, chosen.is_none(), now);
        }
        if chosen.is_none() {
            let free_in = Duration::from_millis(30);
            let stretch = 1.0 + 0.3 * self.rng.random::<f64>();
            let retry_in = entry
                .refusal_rate
                .retry_after(free_in, left)
                .mul_f64(stretch);
            self.refused(id, retry_in);
        }
    }

    /// Chooses an engine as `direct::choosing` does, and sends the request to it. Returns `None` if there is
    /// none.
    fn choose(&mut self, id: usize, needs: Requirements<'_>, now: Instant) -> Option<()> {
        let request = self.requests[id].clone();
        let mut needs = needs;
        for _ in 0..2 {
            let upstreams = &mut self.entries[request.entry].upstreams;
            let mut pick = upstreams.choose(&needs, now);
            if pick.as_ref().is_ok_and(|pick| pick.is_unconfirmed) {
                let ips = upstreams.unconfirmed(&needs, REMOTE_QUERIES, self.rng.random(), now);
                for ip in &ips {
                    let report = self.engines[engine_at(*ip)].report(now);
                    upstreams.status(*ip, &report, Some(REMOTE_RTT), now);
                }
                needs.reported_since = Some(now - Duration::from_micros(1));
                pick = upstreams.choose(&needs, now);
                needs.reported_since = None;
            }
            let pick: Result<Pick, Unavailable> = pick;
            let pick = pick.ok()?;
            let engine: usize = pick.id[1..].parse().unwrap();
            if self.engines[engine].is_full() {
                // The engine refuses the request, which is tried once more elsewhere.
                upstreams.full(&pick.id, now);
                needs.tried = BTreeSet::from([pick.id]);
                continue;
            }
            let prefill_time = Prediction::prefill_time(&self.model, request.prompt);
            upstreams.started(&pick.id, request.prompt);
            upstreams.add_prefill(&pick.id, prefill_time, now);
            self.requests[id].pick = Some(pick);
            self.engines[engine].arrivals.add(prefill_time, now);
            self.engines[engine].push(id, request.rank);
            self.report_to(engine, false);
            self.fill(engine);
            return Some(());
        }
        None
    }

    fn refused(&mut self, id: usize, retry_in: Duration) {
        if self.requests[id].is_repeat {
            return;
        }
        self.requests[id].is_repeat = true;
        let pause = if self.rng.random::<f64>() < self.pattern.impatient {
            AT_ONCE
        } else {
            retry_in
        };
        self.at(self.now + pause, Step::Return(id));
    }

    /// Starts requests on the free slots of an engine.
    fn fill(&mut self, engine: usize) {
        while let Some(id) = self.engines[engine].pop() {
            let request = self.requests[id].clone();
            let phase = 0.5 + self.rng.random::<f64>();
            let it = &mut self.engines[engine];
            let (begins, ends) =
                it.start(&self.model, request.prompt, request.answer, phase, self.now);
            self.at(begins, Step::Begins(engine, id));
            self.at(ends, Step::Ends(engine, id));
        }
    }

    fn begins(&mut self, _engine: usize, id: usize) {
        let now = self.start + self.now;
        let request = &self.requests[id];
        let objective = self.pattern.kinds[request.kind].objective;
        let is_in_time = self.now.saturating_sub(request.first_sent) <= objective;
        let centre = request.entry / self.pattern.entries;
        self.served
            .served(request.kind, centre, request.first_sent, is_in_time);
        let seen = self.now.saturating_sub(request.sent);
        let pick = request.pick.clone().unwrap();
        let upstreams = &mut self.entries[request.entry].upstreams;
        upstreams.prefilled(&pick.id, 0, request.prompt);
        upstreams.record_first_event(&pick, seen, now);
    }

    fn ends(&mut self, engine: usize, id: usize) {
        let entry = self.requests[id].entry;
        let upstreams = &mut self.entries[entry].upstreams;
        upstreams.finished(&format!("e{engine}"), 0);
        self.engines[engine].end();
        self.fill(engine);
    }

    /// An agent reads its engine's figures and reports them.
    fn report(&mut self, engine: usize, round: u32) {
        let now = self.start + self.now;
        self.engines[engine].arrivals.figures_read(now);
        self.report_to(engine, round.is_multiple_of(REMOTE_ROUNDS));
        self.at(self.now + REPORT_INTERVAL, Step::Report(engine, round + 1));
    }

    /// Exchanges levels with the agents of the entry's data centre, and now and then with some of the others.
    fn query(&mut self, entry: usize, round: u32) {
        let now = self.start + self.now;
        let home = entry / self.pattern.entries;
        let share = REMOTE_AGENTS / self.pattern.engines as f64;
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, u16::try_from(entry).unwrap() + 1));
        for engine in 0..self.engines.len() {
            let is_remote = engine / self.pattern.engines != home;
            let is_due = round.is_multiple_of(REMOTE_ROUNDS) && self.rng.random::<f64>() < share;
            let admission = &mut self.entries[entry].admission;
            let Some(level) = admission
                .reported_level(now)
                .filter(|_| !is_remote || is_due)
            else {
                continue;
            };
            let levels = &mut self.engines[engine].levels;
            levels.record(addr, level, now);
            admission.receive_mean(levels.mean(now).unwrap(), now);
        }
        self.at(self.now + REPORT_INTERVAL, Step::Query(entry, round + 1));
    }

    fn report_to(&mut self, engine: usize, includes_remote: bool) {
        let now = self.start + self.now;
        let report: LoadStatus = self.engines[engine].report(now);
        let centre = engine / self.pattern.engines;
        for (place, entry) in self.entries.iter_mut().enumerate() {
            if includes_remote || place / self.pattern.entries == centre {
                entry.upstreams.status(ip_of(engine), &report, None, now);
            }
        }
    }
}

fn ip_of(engine: usize) -> IpAddr {
    Ipv4Addr::from(u32::try_from(engine).unwrap() + 1).into()
}

fn engine_at(ip: IpAddr) -> usize {
    match ip {
        IpAddr::V4(ip) => usize::try_from(u32::from(ip) - 1).unwrap(),
        IpAddr::V6(_) => unreachable!("engines have IPv4 addresses"),
    }
}
