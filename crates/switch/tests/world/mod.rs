//! A data centre of openers and gates in virtual time, with faults; shared by the tests.
#![allow(dead_code, reason = "each test file uses a part")]
#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]

mod faults;
mod plan;
mod records;
mod summary;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::time::{Duration, Instant};

use wagtailreel_core::*;
use wagtailreel_switch::*;

pub(crate) use plan::*;
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
    /// The list of VMs with its version.
    List(u64, Vec<VmId>),
    ReportDue,
    Directive(VmId, Instant, Box<Directive>),
    Staged(Epoch),
    Loaded(Epoch),
}

#[derive(Clone, Debug)]
enum Item {
    To(VmId, Incarnation, Event),
    Strike(Victim, Fault),
    Start(VmId),
    Wake(VmId, Incarnation),
    Edit(Epoch),
}

#[derive(Debug)]
struct Process {
    incarnation: Incarnation,
    frozen: bool,
    /// What came in while the process was frozen.
    held: Vec<Event>,
    /// Runs of this clock in 1000 runs of the true one.
    rate: u64,
    kind: Kind,
}

#[derive(Debug)]
enum Kind {
    Entry(Box<Opener>, Words),
    Agent(Box<Agent>),
}

/// What an entry's shell remembers.
#[derive(Debug, Default)]
struct Words {
    /// Version of the list of VMs that the entry has.
    list: u64,
    /// When each agent sent its last word, by the agent's clock.
    sent_at: BTreeMap<VmId, Instant>,
}

#[derive(Debug, Default)]
pub(crate) struct Agent {
    gate: Gate,
    sequence: u64,
    config: Offset,
    target: Epoch,
    /// Epochs that were loaded once.
    loaded: BTreeSet<Epoch>,
    /// Version of the list of VMs that the agent has.
    list: u64,
    entries: Vec<VmId>,
}

pub(crate) struct World {
    plan: Plan,
    pub(crate) now: u64,
    base: Instant,
    queue: BTreeMap<(u64, u64), Item>,
    count: u64,
    rng: u64,
    processes: BTreeMap<VmId, Process>,
    /// Gates of killed agents: nothing is assumed about when the old process ends.
    zombies: Vec<(u64, Gate)>,
    lost: BTreeMap<(VmId, VmId), bool>,
    listed: Vec<VmId>,
    list: u64,
    state: StateView,
    starts: u64,
    replaced: usize,
    steps: usize,
    /// Highest epoch below which an entry has begun to close.
    closing: Epoch,
    pub(crate) calm: bool,
    pub(crate) log: String,
    /// Epochs that some gate admitted, in order of time.
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
            zombies: Vec::new(),
            lost: BTreeMap::new(),
            listed: (0..plan.entries).map(entry_name).collect(),
            list: 0,
            state: StateView::default(),
            starts: 0,
            replaced: 0,
            steps: 0,
            closing: 0,
            calm: false,
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
        for (when, victim, fault) in world.plan.faults.clone() {
            if let When::At(at) = when {
                world.push(at, Item::Strike(victim, fault));
            }
        }
        world
    }

    /// Runs to the time `end` in ms. Returns a violation if two gates admit different epochs, or
    /// if an epoch is admitted after a later one.
    pub(crate) fn run(&mut self, end: u64) -> Result<(), String> {
        while let Some((&(at, count), _)) = self.queue.first_key_value() {
            if at > end {
                break;
            }
            let item = self.queue.remove(&(at, count)).unwrap();
            self.now = at;
            self.take(item);
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
        for (rate, gate) in &self.zombies {
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

    fn take(&mut self, item: Item) {
        match item {
            Item::Start(vm) => self.start(vm),
            Item::Strike(victim, fault) => {
                let vm = self.name(victim, None);
                self.strike(&vm, fault);
            }
            Item::Wake(vm, incarnation) => self.wake(&vm, incarnation),
            Item::Edit(epoch) => self.edit(epoch),
            Item::To(vm, incarnation, event) => {
                let Some(process) = self.processes.get_mut(&vm) else {
                    return;
                };
                if process.incarnation != incarnation {
                } else if process.frozen {
                    process.held.push(event);
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
            Kind::Entry(opener, words) => on_entry(now, vm, opener, words, event, &mut out),
            Kind::Agent(agent) => {
                self.on_agent(now, vm, incarnation, agent, event, &mut out);
            }
        }
        let after = Summary::of(&process, now);
        self.processes.insert(vm.clone(), process);
        let mut send_after = 0;
        if before != after {
            self.note(vm, &after.to_string());
            send_after = self.step(vm, before, after);
        }
        for (delay, to, event) in out {
            self.send(vm, incarnation, &to, delay, send_after, event);
        }
    }

    /// Counts a step and strikes if a fault is planned for it. Returns how long sending is held up.
    fn step(&mut self, actor: &VmId, before: Summary, after: Summary) -> u64 {
        let step = self.steps;
        self.steps += 1;
        let closes = match (before, after) {
            (Summary::Entry(before, _), Summary::Entry(after, _)) if after > before => after,
            _ => 0,
        };
        let first = self.closing < closes;
        self.closing = self.closing.max(closes);
        let mut held_up = 0;
        for (when, victim, fault) in self.plan.faults.clone() {
            let strikes = match when {
                When::At(_) => false,
                When::Step(at) => at == step,
                When::Close(epoch) => first && epoch == closes,
            };
            if !strikes || self.calm {
                continue;
            }
            let vm = self.name(victim, Some(actor));
            if let Fault::Freeze(length) = fault
                && vm == *actor
            {
                held_up = length;
            }
            self.strike(&vm, fault);
        }
        held_up
    }

    fn send(
        &mut self,
        from: &VmId,
        incarnation: Incarnation,
        to: &VmId,
        delay: Option<u64>,
        held_up: u64,
        event: Event,
    ) {
        // An event to oneself with a delay is a timer.
        if let Some(delay) = delay {
            let item = Item::To(to.clone(), incarnation, event);
            self.push(self.now + delay, item);
            return;
        }
        let loss = if self.calm { 0 } else { self.plan.loss };
        let lose = self.draw(100) < loss;
        let lost = self.lost.entry((from.clone(), to.clone())).or_default();
        *lost = lose && !*lost;
        if *lost {
            return;
        }
        let Some(target) = self.processes.get(to).map(|it| it.incarnation) else {
            return;
        };
        let delay = 1 + self.draw(self.plan.delay) + held_up;
        self.push(self.now + delay, Item::To(to.clone(), target, event));
    }

    fn on_agent(
        &mut self,
        now: Instant,
        vm: &VmId,
        incarnation: Incarnation,
        agent: &mut Agent,
        event: Event,
        out: &mut Vec<(Option<u64>, VmId, Event)>,
    ) {
        let mut report = false;
        match event {
            Event::ReportDue => {
                report = true;
                out.push((Some(REPORT_MS), vm.clone(), Event::ReportDue));
            }
            Event::Directive(from, sent_at, directive) => {
                let change = agent.gate.on_directive(now, sent_at, &from, &directive);
                report |= change.is_some();
                if let Some(state) = &directive.state
                    && state.revision > agent.config
                {
                    agent.config = state.revision;
                    agent.target = state.epoch;
                    report |= self.take_target(vm, agent, out);
                }
            }
            Event::Staged(epoch) if epoch == agent.target => {
                agent.gate.set_phase(epoch, WeightsPhase::Staged, None);
                report = true;
            }
            Event::Loaded(epoch) if agent.gate.phase(epoch) == Some(WeightsPhase::Loading) => {
                let digest = self.digest(epoch);
                agent
                    .gate
                    .set_phase(epoch, WeightsPhase::Loaded, Some(digest));
                agent.loaded.insert(epoch);
                self.note(vm, &format!("has loaded {epoch}"));
                report = true;
            }
            Event::List(version, entries) if version > agent.list => {
                agent.list = version;
                agent.entries = entries;
            }
            _ => {}
        }
        report |= self.load(vm, agent, out);
        if report {
            agent.sequence += 1;
            for entry in homes(vm, &agent.entries, self.plan.homes) {
                let report = make_report(vm, incarnation, agent, self.plan.bundles);
                out.push((None, entry, Event::Report(now, Box::new(report))));
            }
        }
    }

    /// Begins to bring the target's weights, unless the engine holds them already.
    fn take_target(
        &mut self,
        vm: &VmId,
        agent: &mut Agent,
        out: &mut Vec<(Option<u64>, VmId, Event)>,
    ) -> bool {
        let epoch = agent.target;
        let digest = self.digest(epoch);
        let same = |old: &Epoch| {
            agent.gate.phase(*old) == Some(WeightsPhase::Loaded) && self.digest(*old) == digest
        };
        if agent.loaded.iter().any(same) {
            agent
                .gate
                .set_phase(epoch, WeightsPhase::Loaded, Some(digest));
            agent.loaded.insert(epoch);
            self.note(vm, &format!("holds the weights of {epoch} already"));
            return true;
        }
        let staged = 20 + self.draw(400);
        out.push((Some(staged), vm.clone(), Event::Staged(epoch)));
        false
    }

    /// Returns the digest of the weights of an epoch.
    fn digest(&self, epoch: Epoch) -> Digest {
        let index = usize::try_from(epoch / 10 - 1).unwrap();
        let version = self.plan.versions.get(index).copied().unwrap_or(epoch);
        Digest::of(&version.to_be_bytes())
    }

    /// Loads the target if the engine has a place for it, as an agent would.
    fn load(
        &mut self,
        vm: &VmId,
        agent: &mut Agent,
        out: &mut Vec<(Option<u64>, VmId, Event)>,
    ) -> bool {
        let target = agent.target;
        if agent.gate.phase(target) != Some(WeightsPhase::Staged) {
            return false;
        }
        let places = usize::try_from(self.plan.bundles).unwrap();
        if held(agent).len() >= places {
            for epoch in agent.gate.droppable(target) {
                agent.gate.forget(epoch);
                self.note(vm, &format!("drops {epoch}"));
            }
        }
        if held(agent).len() >= places {
            let gives_up = agent.gate.open().filter(|_| places == 1);
            let Some(open) = gives_up.filter(|_| agent.gate.may_swap(target)) else {
                return false;
            };
            agent.gate.forget(open);
            self.note(vm, &format!("gives up {open} to load {target}"));
        }
        agent.gate.set_phase(target, WeightsPhase::Loading, None);
        let loaded = 20 + self.draw(400);
        out.push((Some(loaded), vm.clone(), Event::Loaded(target)));
        true
    }

    fn start(&mut self, vm: VmId) {
        self.starts += 1;
        if self.now > 0 {
            self.note(&vm, "starts");
        }
        let incarnation = self.starts;
        let rate = 995 + self.draw(11);
        let now = self.clock(rate);
        let kind = if vm.starts_with('e') {
            let cfg = OpenerConfig {
                vm: vm.clone(),
                incarnation,
                data_centre: DATA_CENTRE.to_owned(),
                control: "127.0.0.1:1".parse().unwrap(),
                lease: Duration::from_millis(LEASE_MS),
            };
            let mut opener = Opener::new(cfg, now);
            // A process has its list of VMs before it starts its rounds.
            opener.on_entries(now, &vm_entries(&self.listed, VmRole::Entry));
            let agents: Vec<VmId> = (0..self.plan.agents).map(agent_name).collect();
            opener.on_vms(now, &vm_entries(&agents, VmRole::Upstream));
            Kind::Entry(
                Box::new(opener),
                Words {
                    list: self.list,
                    ..Words::default()
                },
            )
        } else {
            Kind::Agent(Box::new(Agent {
                list: self.list,
                entries: self.listed.clone(),
                ..Agent::default()
            }))
        };
        let process = Process {
            incarnation,
            frozen: false,
            held: Vec::new(),
            rate,
            kind,
        };
        self.processes.insert(vm.clone(), process);
        let lag = self.draw(self.plan.lag + 1);
        let first = if vm.starts_with('e') {
            Event::Round
        } else {
            Event::ReportDue
        };
        self.push(self.now, Item::To(vm.clone(), incarnation, first));
        let state = Event::State(self.state.clone());
        self.push(self.now + lag, Item::To(vm, incarnation, state));
    }

    fn push(&mut self, at: u64, item: Item) {
        self.count += 1;
        self.queue.insert((at, self.count), item);
    }

    fn note(&mut self, vm: &str, text: &str) {
        writeln!(self.log, "{:>6} {vm} {text}", self.now).unwrap();
    }

    /// Returns the time by a clock that runs at `rate` in 1000.
    fn clock(&self, rate: u64) -> Instant {
        self.base + Duration::from_micros(1_000_000 + self.now * rate)
    }

    /// Draws a number below `below` (splitmix64); 0 if that is 0.
    fn draw(&mut self, below: u64) -> u64 {
        self.rng = self.rng.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = self.rng;
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        (z ^ (z >> 31)).checked_rem(below).unwrap_or(0)
    }
}

fn on_entry(
    now: Instant,
    vm: &VmId,
    opener: &mut Opener,
    words: &mut Words,
    event: Event,
    out: &mut Vec<(Option<u64>, VmId, Event)>,
) {
    let mut round = false;
    match event {
        Event::Round => {
            round = true;
            let again = u64::try_from(opener.timing().round().as_millis()).unwrap();
            out.push((Some(again), vm.clone(), Event::Round));
        }
        Event::Timeout(peer, started) => opener.on_peer_failure(now, started, &peer),
        Event::Call(from, started, state) => {
            opener.on_peer_call(now, &state);
            out.push((None, from, Event::Answer(started, opener.peer_state(now))));
        }
        Event::Answer(started, state) => opener.on_peer_answer(now, started, &state),
        Event::Report(sent_at, report) => {
            let directive = if opener.on_report(now, &report) {
                words.sent_at.insert(report.vm.clone(), sent_at);
                opener.directive(now, &report.vm)
            } else {
                opener.refusal()
            };
            let directive = Event::Directive(vm.clone(), sent_at, Box::new(directive));
            out.push((None, report.vm.clone(), directive));
        }
        Event::State(state) => {
            opener.on_state(now, &state);
        }
        Event::List(version, entries) if version > words.list => {
            words.list = version;
            opener.on_entries(now, &vm_entries(&entries, VmRole::Entry));
        }
        _ => {}
    }
    let mut changes = opener.take_changes();
    if round || changes.peers {
        opener.on_round(now);
        changes.services.extend(opener.take_changes().services);
        let timeout = u64::try_from(opener.timing().attempt().as_millis()).unwrap();
        for peer in opener.peers().into_keys() {
            out.push((Some(timeout), vm.clone(), Event::Timeout(peer.clone(), now)));
            let call = Event::Call(vm.clone(), now, opener.peer_state(now));
            out.push((None, peer, call));
        }
    }
    if !changes.services.is_empty() {
        // A hanging call is answered: its lease runs from when the call was sent.
        for (agent, sent_at) in &words.sent_at {
            let directive = Box::new(opener.directive(now, agent));
            out.push((
                None,
                agent.clone(),
                Event::Directive(vm.clone(), *sent_at, directive),
            ));
        }
    }
}

/// Returns the epochs that take a place in the engine.
fn held(agent: &Agent) -> Vec<Epoch> {
    let mut report = make_report(&String::new(), 0, agent, 0);
    agent.gate.fill_report(&mut report);
    report
        .weights
        .into_iter()
        .filter(|(_, phase)| *phase >= WeightsPhase::Loading)
        .map(|(epoch, _)| epoch)
        .collect()
}
