//! Simulation of the entries and issuers of one engine that may be cold.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use wagtailreel_fleet::WarmupPermitRequest;
use wagtailreel_route::direct::{Permits, WarmupLimit, WarmupPermits};

const ENTRIES: usize = 35;

/// Requests per second that a cold engine tolerates.
pub(crate) const RATE: f64 = 17.0;

const SECOND: Duration = Duration::from_secs(1);
const PERMIT_TIMEOUT: Duration = Duration::from_millis(20);
pub(crate) const REPEAT_AFTER: Duration = Duration::from_millis(8);
const MAX_SEND_DELAY: Duration = Duration::from_millis(20);
const SILENT_BACKOFF: Duration = Duration::from_secs(3);
const NO_ANSWER_BACKOFF: Duration = Duration::from_millis(500);

/// Time that agents run before the first request, so that they issue permits.
pub(crate) const LEAD: Duration = Duration::from_secs(2);

pub(crate) fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn limit() -> WarmupLimit {
    WarmupLimit::new(RATE, 1.5, 5.0).unwrap()
}

pub(crate) fn request(nonce: u32, max_in_window: u32) -> WarmupPermitRequest {
    WarmupPermitRequest {
        nonce,
        addr: addr(1),
        max_in_window,
        named: None,
    }
}

/// What is wrong in a fleet.
#[derive(Clone, Debug)]
pub(crate) struct Faults {
    /// Share of the datagrams that are lost.
    pub(crate) loss: f64,
    /// Longest way of a datagram or request.
    pub(crate) delay: Duration,
    /// Time between two restarts of each issuer.
    pub(crate) restart_every: Option<Duration>,
    /// Shares of the entries that do not reach the first issuer, and the second.
    pub(crate) cut_off: [f64; 2],
    /// Whether an entry takes the whole time until a permit lapses to send a request.
    pub(crate) is_slow_to_send: bool,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            loss: 0.0,
            delay: Duration::from_millis(3),
            restart_every: None,
            cut_off: [0.0; 2],
            is_slow_to_send: false,
        }
    }
}

#[derive(Clone, Copy, Debug)]
enum Event {
    /// A request for the engine comes to an entry.
    Demand {
        entry: usize,
    },
    /// A permit request reaches an issuer.
    Ask {
        issuer: usize,
        nonce: u32,
    },
    /// An answer reaches an entry.
    Answer {
        nonce: u32,
        wait: Duration,
    },
    /// An entry repeats a permit request, or gives it up.
    Repeat {
        nonce: u32,
    },
    GiveUp {
        nonce: u32,
    },
    Restart {
        issuer: usize,
    },
}

#[derive(Clone, Copy, Debug)]
struct Open {
    entry: usize,
    issuer: usize,
}

/// Entries and issuers of one engine. A request for the engine that gets no permit goes elsewhere.
pub(crate) struct Fleet {
    start: Instant,
    faults: Faults,
    rng: StdRng,
    events: BTreeMap<(Duration, u64), Event>,
    sequence: u64,
    issuers: Vec<(WarmupPermits, Permits)>,
    open: BTreeMap<u32, Open>,
    nonce: u32,
    blocked: Vec<Duration>,
    silent: BTreeMap<(usize, usize), Duration>,
    arrivals: BTreeSet<(Duration, u64)>,
    pub(crate) asked: u32,
    pub(crate) refused: u32,
}

impl Fleet {
    pub(crate) fn new(faults: Faults, seed: u64) -> Self {
        let start = Instant::now();
        Self {
            start,
            faults,
            rng: StdRng::seed_from_u64(seed),
            events: BTreeMap::new(),
            sequence: 0,
            issuers: vec![(WarmupPermits::new(start), Permits::default()); 3],
            open: BTreeMap::new(),
            nonce: 0,
            blocked: vec![Duration::ZERO; ENTRIES],
            silent: BTreeMap::new(),
            arrivals: BTreeSet::new(),
            asked: 0,
            refused: 0,
        }
    }

    /// Adds demand at `per_second` in the span between `from` and `to`; without variation it is evenly spaced.
    pub(crate) fn with_demand(
        mut self,
        per_second: f64,
        from: Duration,
        to: Duration,
        is_even: bool,
    ) -> Self {
        let mut at = from;
        while at < to {
            let gap = if is_even {
                1.0
            } else {
                -(1.0 - self.rng.random::<f64>()).ln()
            };
            at += Duration::from_secs_f64(gap / per_second);
            let entry = self.rng.random_range(0..ENTRIES);
            self.at(at, Event::Demand { entry });
        }
        self
    }

    fn at(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    fn delay(&mut self) -> Duration {
        self.faults.delay.mul_f64(self.rng.random())
    }

    /// Returns when a datagram that is sent at `at` arrives, or `None` if it is lost.
    fn datagram(&mut self, at: Duration) -> Option<Duration> {
        let is_lost = self.rng.random::<f64>() < self.faults.loss;
        let delay = self.delay();
        (!is_lost).then_some(at + delay)
    }

    fn reaches(&self, entry: usize, issuer: usize) -> bool {
        let cut_off = self.faults.cut_off.get(issuer).copied().unwrap_or(0.0);
        entry as f64 >= cut_off * ENTRIES as f64
    }

    fn send_request(&mut self, nonce: u32, at: Duration) {
        let Open { entry, issuer } = self.open[&nonce];
        if self.reaches(entry, issuer)
            && let Some(arrival) = self.datagram(at)
        {
            self.at(arrival, Event::Ask { issuer, nonce });
        }
    }

    pub(crate) fn run(mut self) -> Self {
        if let Some(every) = self.faults.restart_every {
            for issuer in 0..self.issuers.len() {
                let mut at = LEAD + every.mul_f64(self.rng.random());
                while at < LEAD * 10 {
                    self.at(at, Event::Restart { issuer });
                    at += every;
                }
            }
        }
        while let Some(((at, _), event)) = self.events.pop_first() {
            self.handle(event, at);
        }
        self
    }

    fn handle(&mut self, event: Event, at: Duration) {
        let now = self.start + at;
        match event {
            Event::Demand { entry } => {
                if self.blocked[entry] > at {
                    return;
                }
                self.asked += 1;
                let silent = &self.silent;
                let is_silent = |it: &usize| silent.get(&(entry, *it)).is_some_and(|it| *it > at);
                let Some(issuer) = (0..3).find(|it| !is_silent(it)) else {
                    self.blocked[entry] = at + NO_ANSWER_BACKOFF;
                    return;
                };
                self.nonce += 1;
                let nonce = self.nonce;
                self.open.insert(nonce, Open { entry, issuer });
                self.send_request(nonce, at);
                self.at(at + REPEAT_AFTER, Event::Repeat { nonce });
                self.at(at + PERMIT_TIMEOUT, Event::GiveUp { nonce });
            }
            Event::Ask { issuer, nonce } => {
                let Some(Open { entry, .. }) = self.open.get(&nonce).copied() else {
                    return;
                };
                let req = request(nonce, limit().issuers()[issuer]);
                let from = addr(100 + u16::try_from(entry).unwrap());
                let (permits, named) = &mut self.issuers[issuer];
                let permit = permits.answer(&req, from, named, now);
                let wait = Duration::from_millis(permit.wait_ms.into());
                if let Some(arrival) = self.datagram(at) {
                    self.at(arrival, Event::Answer { nonce, wait });
                }
            }
            Event::Answer { nonce, wait } => {
                let Some(Open { entry, .. }) = self.open.remove(&nonce) else {
                    return;
                };
                if wait.is_zero() {
                    let late = if self.faults.is_slow_to_send {
                        MAX_SEND_DELAY.mul_f64(self.rng.random())
                    } else {
                        Duration::ZERO
                    };
                    let arrival = at + late + self.delay();
                    self.sequence += 1;
                    self.arrivals.insert((arrival, self.sequence));
                } else {
                    self.refused += 1;
                    self.blocked[entry] = at + wait;
                }
            }
            Event::Repeat { nonce } => {
                if self.open.contains_key(&nonce) {
                    self.send_request(nonce, at);
                }
            }
            Event::GiveUp { nonce } => {
                if let Some(Open { entry, issuer }) = self.open.remove(&nonce) {
                    self.silent.insert((entry, issuer), at + SILENT_BACKOFF);
                    self.blocked[entry] = at + NO_ANSWER_BACKOFF;
                }
            }
            Event::Restart { issuer } => {
                self.issuers[issuer] = (WarmupPermits::new(now), Permits::default());
            }
        }
    }

    /// Returns the largest number of arrivals in any one second.
    pub(crate) fn busiest_second(&self) -> usize {
        let times: Vec<Duration> = self.arrivals.iter().map(|(at, _)| *at).collect();
        let within = |(first, at): (usize, &Duration)| {
            times[first..].partition_point(|it| *it < *at + SECOND)
        };
        times.iter().enumerate().map(within).max().unwrap_or(0)
    }

    /// Returns the arrivals per second in the span between `from` and `to`.
    pub(crate) fn rate(&self, from: Duration, to: Duration) -> f64 {
        let count = self.arrivals.range((from, 0)..(to, 0)).count();
        count as f64 / (to - from).as_secs_f64()
    }
}
