//! A simulated data centre of openers and gates in virtual time, with fault injection.
#![allow(dead_code, reason = "each test file uses a part")]
#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]

mod agent;
mod entry;
mod faults;
mod plan;
mod process;
mod records;
mod summary;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::time::{Duration, Instant};

use wagtailreel_core::*;
use wagtailreel_switch::*;

pub(crate) use agent::Agent;
use entry::{ShellState, on_entry};
pub(crate) use plan::*;
use process::{Kind, Process};
pub(crate) use records::*;
use summary::Summary;

pub(crate) const LEASE_MS: u64 = 1000;
pub(crate) const REPORT_MS: u64 = 200;
pub(crate) const SERVICE: &str = "scribes";
const DATA_CENTRE: &str = "quito-hall";

#[derive(Clone, Debug)]
enum Event {
    Round,
    Timeout(VmId, Instant),
    Call(VmId, Instant, PeerState),
    Answer(Instant, PeerState),
    Report(Instant, Box<Report>),
    State(StateView),
    /// The list of VMs and its version.
    List(u64, Vec<VmId>),
    ReportDue,
    Directive(VmId, Instant, Box<Directive>),
    Staged(Epoch),
    Loaded(Epoch),
}

#[derive(Clone, Debug)]
enum Item {
    To(VmId, Incarnation, Event),
    Inject(FaultTarget, Fault),
    Start(VmId),
    Resume(VmId, Incarnation),
    Edit(Epoch),
}

pub(crate) struct World {
    plan: Plan,
    pub(crate) now: u64,
    base: Instant,
    queue: BTreeMap<(u64, u64), Item>,
    count: u64,
    rng: u64,
    processes: BTreeMap<VmId, Process>,
    /// Gates of killed agents, with their clock rates. They are still checked, because an old process
    /// may end later than its successor starts.
    killed_gates: Vec<(u64, Gate)>,
    /// Whether the last message from one process to another was lost.
    lost: BTreeMap<(VmId, VmId), bool>,
    listed: Vec<VmId>,
    /// Version of the list of VMs.
    list: u64,
    state: StateView,
    starts: u64,
    replaced: usize,
    steps: usize,
    /// Highest epoch below which an entry has begun to close.
    closing: Epoch,
    /// Whether faults and message loss are switched off.
    pub(crate) faults_off: bool,
    pub(crate) log: String,
    /// Epochs that any gate has admitted, in order of time.
    pub(crate) admitted: Vec<Epoch>,
}

impl World {
    pub(crate) fn new(plan: Plan) -> Self {
        let mut world = Self {
            now: 0,
            base: Instant::now(),
            queue: BTreeMap::new(),
            count: 0,
            rng: plan.seed,
            processes: BTreeMap::new(),
            killed_gates: Vec::new(),
            lost: BTreeMap::new(),
            listed: (0..plan.entries).map(entry_name).collect(),
            list: 0,
            state: StateView::default(),
            starts: 0,
            replaced: 0,
            steps: 0,
            closing: 0,
            faults_off: false,
            log: String::new(),
            admitted: Vec::new(),
            plan,
        };
        let agents = (0..world.plan.agents).map(agent_name);
        for vm in world.listed.clone().into_iter().chain(agents) {
            world.push(0, Item::Start(vm));
        }
        for (index, at) in world.plan.edits.clone().into_iter().enumerate() {
            let epoch = 10 * (u64::try_from(index).unwrap() + 1);
            world.push(at, Item::Edit(epoch));
        }
        for (when, target, fault) in world.plan.faults.clone() {
            if let When::At(at) = when {
                world.push(at, Item::Inject(target, fault));
            }
        }
        world
    }

    /// Runs until the time `end` in ms. Returns an error if two gates admit different epochs, or if an
    /// epoch is admitted after a newer one.
    pub(crate) fn run(&mut self, end: u64) -> Result<(), String> {
        while let Some((&(at, count), _)) = self.queue.first_key_value() {
            if at > end {
                break;
            }
            let item = self.queue.remove(&(at, count)).unwrap();
            self.now = at;
            self.dispatch(item);
            self.check()?;
        }
        self.now = end;
        self.check()
    }

    /// Returns which epoch each live agent admits.
    pub(crate) fn admits(&self) -> BTreeMap<VmId, Option<Epoch>> {
        let agents = self.processes.iter().filter_map(|(vm, process)| {
            let Kind::Agent(agent) = &process.kind else {
                return None;
            };
            let now = self.clock(process.rate);
            let epoch = agent.gate.admit(now, None).ok().map(|it| it.epoch);
            Some((vm.clone(), epoch))
        });
        agents.collect()
    }

    fn check(&mut self) -> Result<(), String> {
        let mut epochs: BTreeSet<Epoch> = self.admits().into_values().flatten().collect();
        for (rate, gate) in &self.killed_gates {
            epochs.extend(gate.admit(self.clock(*rate), None).map(|it| it.epoch));
        }
        if epochs.len() > 1 {
            return Err(format!(
                "{epochs:?} admitted at {} ms\n{}",
                self.now, self.log
            ));
        }
        let Some(epoch) = epochs.first().copied() else {
            return Ok(());
        };
        let last = self.admitted.last().copied().unwrap_or(0);
        if epoch < last {
            return Err(format!(
                "{epoch} admitted after {last} at {} ms\n{}",
                self.now, self.log
            ));
        }
        if epoch > last {
            self.admitted.push(epoch);
        }
        Ok(())
    }

    fn dispatch(&mut self, item: Item) {
        match item {
            Item::Start(vm) => self.start(vm),
            Item::Inject(target, fault) => {
                let vm = self.resolve(target, None);
                self.inject(&vm, fault);
            }
            Item::Resume(vm, incarnation) => self.resume(&vm, incarnation),
            Item::Edit(epoch) => self.edit(epoch),
            Item::To(vm, incarnation, event) => {
                let Some(process) = self.processes.get_mut(&vm) else {
                    return;
                };
                if process.incarnation != incarnation {
                } else if process.suspended {
                    process.pending.push(event);
                } else {
                    self.handle(&vm, event);
                }
            }
        }
    }

    fn handle(&mut self, vm: &VmId, event: Event) {
        let Some(mut process) = self.processes.remove(vm) else {
            return;
        };
        let now = self.clock(process.rate);
        let incarnation = process.incarnation;
        let mut out = Vec::new();
        let before = Summary::of(&process, now);
        match &mut process.kind {
            Kind::Entry(opener, shell) => on_entry(now, vm, opener, shell, event, &mut out),
            Kind::Agent(agent) => {
                self.on_agent(now, vm, incarnation, agent, event, &mut out);
            }
        }
        let after = Summary::of(&process, now);
        self.processes.insert(vm.clone(), process);
        let mut send_delay = 0;
        if before != after {
            self.note(vm, &after.to_string());
            send_delay = self.step(vm, before, after);
        }
        for (delay, to, event) in out {
            self.send(vm, incarnation, &to, delay, send_delay, event);
        }
    }

    /// Counts a step and injects the faults that are planned for it. Returns the time in ms by which
    /// the messages of the step are delayed.
    fn step(&mut self, actor: &VmId, before: Summary, after: Summary) -> u64 {
        let step = self.steps;
        self.steps += 1;
        let closes = match (before, after) {
            (Summary::Entry(before, _), Summary::Entry(after, _)) if after > before => after,
            _ => 0,
        };
        let first = self.closing < closes;
        self.closing = self.closing.max(closes);
        let mut send_delay = 0;
        for (when, target, fault) in self.plan.faults.clone() {
            let due = match when {
                When::At(_) => false,
                When::Step(at) => at == step,
                When::Close(epoch) => first && epoch == closes,
            };
            if !due || self.faults_off {
                continue;
            }
            let vm = self.resolve(target, Some(actor));
            if let Fault::Suspend(length) = fault
                && vm == *actor
            {
                send_delay = length;
            }
            self.inject(&vm, fault);
        }
        send_delay
    }

    fn send(
        &mut self,
        from: &VmId,
        incarnation: Incarnation,
        to: &VmId,
        delay: Option<u64>,
        send_delay: u64,
        event: Event,
    ) {
        // An event with a delay is a timer that a process sets for itself.
        if let Some(delay) = delay {
            let item = Item::To(to.clone(), incarnation, event);
            self.push(self.now + delay, item);
            return;
        }
        let loss = if self.faults_off { 0 } else { self.plan.loss };
        let lose = self.draw(100) < loss;
        let lost = self.lost.entry((from.clone(), to.clone())).or_default();
        *lost = lose && !*lost;
        if *lost {
            return;
        }
        let Some(target) = self.processes.get(to).map(|it| it.incarnation) else {
            return;
        };
        let delay = 1 + self.draw(self.plan.delay) + send_delay;
        self.push(self.now + delay, Item::To(to.clone(), target, event));
    }

    fn push(&mut self, at: u64, item: Item) {
        self.count += 1;
        self.queue.insert((at, self.count), item);
    }

    fn note(&mut self, vm: &str, text: &str) {
        writeln!(self.log, "{:>6} {vm} {text}", self.now).unwrap();
    }

    /// Returns the time by a clock that runs at `rate`/1000 of the true rate.
    fn clock(&self, rate: u64) -> Instant {
        self.base + Duration::from_micros(1_000_000 + self.now * rate)
    }

    /// Draws a random number below `below` (splitmix64), or 0 if `below` is 0.
    fn draw(&mut self, below: u64) -> u64 {
        self.rng = self.rng.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = self.rng;
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        (z ^ (z >> 31)).checked_rem(below).unwrap_or(0)
    }
}
