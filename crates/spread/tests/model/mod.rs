//! Simulation of the planners' environment: links that carry one slice of a chunk per step.
//!
//! Per step, every VM receives one slice and sends one slice, and the origin sends four, shared evenly. A VM
//! serves its oldest request first and refuses requests beyond [`MAX_UPLOADS`]. There is no cluster and no
//! clock: each step adds [`STEP`] to the `Instant` that the planners get.
#![allow(dead_code, reason = "each test file uses a part of the model")]
#![allow(clippy::unwrap_used, reason = "a panic of the model fails the test")]
#![allow(unreachable_pub, reason = "the module is shared by test files")]

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use wagtailreel_core::{Digest, SpreadSettings, VmEntry, VmRole, VmState};
use wagtailreel_spread::{
    Action, ChunkSet, Event, Failure, Fetch, FetchId, Planner, PlannerConfig, Reason, Site, Source,
    Tuning,
};

/// Duration of a step on the planners' clock.
pub const STEP: Duration = Duration::from_millis(5);

/// Slices that the origin sends per step.
const ORIGIN_SLICES_PER_STEP: usize = 4;

/// Steps until a VM learns of a chunk that a neighbour received.
const REPORT_DELAY_STEPS: u64 = 4;

/// Slices that the buffers between a sender and a receiver hold.
const BUFFER_SLICES: u32 = 8;

/// Maximum chunks that a VM sends at once.
const MAX_UPLOADS: usize = 4;

/// Configuration of a run. Times are in steps.
#[derive(Clone, Debug)]
pub struct Setup {
    pub vms: usize,
    pub data_centres: usize,
    pub chunks: u32,
    /// Steps that a chunk takes on a VM's link.
    pub slices: u32,
    pub settings: SpreadSettings,
    pub seed: u64,
    /// Share of chunks that arrive corrupt.
    pub corrupt: f64,
    /// VMs that die, and when.
    pub dead: BTreeMap<usize, u64>,
    /// VMs that accept requests and send nothing, and since when.
    pub stalled: BTreeMap<usize, u64>,
    /// VM that sends only corrupt chunks.
    pub corrupting_vm: Option<usize>,
    /// VMs that report no chunks and fetch nothing.
    pub idle: BTreeSet<usize>,
    /// Slices that the origin sends per step.
    pub origin_slices: usize,
    pub tuning: Tuning,
    /// When the origin refuses.
    pub origin_down: Range<u64>,
    /// When the first data centre is partitioned from the others and from the origin.
    pub partition: Range<u64>,
}

/// Result of a run. Amounts are in copies of the bundle.
#[derive(Debug)]
pub struct Outcome {
    /// Time until the last living VM had every chunk, divided by the time of one copy on a link.
    pub ratio: f64,
    /// Drawn from the origin.
    pub origin: f64,
    /// Maximum that one VM sent.
    pub max_sent: f64,
    /// Draws that were taken over from another VM.
    pub takeovers: u32,
    /// Whether every living VM had every chunk at the end.
    pub is_done: bool,
}

impl Setup {
    pub fn new(vms: usize, chunks: u32, settings: SpreadSettings, seed: u64) -> Self {
        Self {
            vms,
            data_centres: 3,
            chunks,
            slices: 16,
            settings,
            seed,
            corrupt: 0.0,
            dead: BTreeMap::new(),
            stalled: BTreeMap::new(),
            corrupting_vm: None,
            idle: BTreeSet::new(),
            origin_slices: ORIGIN_SLICES_PER_STEP,
            tuning: Tuning::default(),
            origin_down: 0..0,
            partition: 0..0,
        }
    }

    /// Returns the steps that one copy takes on a VM's link.
    pub fn copy_steps(&self) -> u64 {
        u64::from(self.chunks * self.slices)
    }
}

struct Transfer {
    to: usize,
    fetch: Fetch,
    /// The sending VM; `None` is the origin.
    from: Option<usize>,
    /// Slices that are not sent yet.
    unsent: u32,
    /// Slices that are not received yet.
    unreceived: u32,
}

struct Node {
    planner: Planner,
    /// Chunks in order of arrival, with the step.
    received: Vec<(u64, u32)>,
    has: ChunkSet,
    /// Number of chunks last reported for each peer; `None` if the peer was reported as lost.
    reported: BTreeMap<usize, Option<usize>>,
    /// Chunks that a peer sent corrupted.
    corrupt: BTreeSet<(Source, u32)>,
    sent: u64,
}

pub struct Model {
    setup: Setup,
    nodes: Vec<Node>,
    transfers: Vec<Transfer>,
    now: Instant,
    step: u64,
    rng: StdRng,
    takeovers: u32,
    origin_slices: u64,
    events: Vec<(usize, Event)>,
}

pub fn entries(vms: usize, data_centres: usize) -> Vec<VmEntry> {
    let entry = |at| VmEntry {
        vm: format!("vm-{at:03}"),
        data_centre: format!("hall-{}", at % data_centres),
        region: "sierra".to_owned(),
        role: VmRole::Upstream,
        state: VmState::Live,
        service: Some("wagtail-scribes".to_owned()),
        control: "127.0.0.1:1".parse().unwrap(),
        data: "127.0.0.1:1".parse().unwrap(),
    };
    (0..vms).map(entry).collect()
}

pub fn digests(chunks: u32, seed: u64) -> Vec<Digest> {
    let digest = |at| Digest::of(format!("{seed} {at}").as_bytes());
    (0..chunks).map(digest).collect()
}

impl Model {
    pub fn new(setup: Setup) -> Self {
        let now = Instant::now();
        let entries = entries(setup.vms, setup.data_centres);
        let node = |(at, entry): (usize, &VmEntry)| {
            let cfg = PlannerConfig {
                own: Site::of(entry),
                chunks: digests(setup.chunks, setup.seed),
                have: ChunkSet::new(setup.chunks),
                settings: setup.settings.clone(),
                seed: setup.seed * 1000 + at as u64,
            };
            Node {
                planner: Planner::new(cfg, now).with_tuning(setup.tuning.clone()),
                received: Vec::new(),
                has: ChunkSet::new(setup.chunks),
                reported: BTreeMap::new(),
                corrupt: BTreeSet::new(),
                sent: 0,
            }
        };
        Self {
            nodes: entries.iter().enumerate().map(node).collect(),
            events: (0..setup.vms)
                .map(|at| (at, Event::Peers(entries.clone())))
                .collect(),
            rng: StdRng::seed_from_u64(setup.seed),
            setup,
            transfers: Vec::new(),
            now,
            step: 0,
            takeovers: 0,
            origin_slices: 0,
        }
    }

    /// Runs until every living VM has every chunk, at most for the time of `max_copies` copies.
    pub fn run(mut self, max_copies: u64) -> Outcome {
        let copy_steps = self.setup.copy_steps();
        while self.step < copy_steps * max_copies && !self.is_done() {
            self.report_chunks();
            self.apply_events();
            self.send();
            self.receive();
            self.break_unreachable();
            self.step += 1;
            self.now += STEP;
        }
        let sent = self.nodes.iter().map(|node| node.sent).max();
        Outcome {
            ratio: self.step as f64 / copy_steps as f64,
            origin: self.origin_slices as f64 / copy_steps as f64,
            max_sent: sent.unwrap() as f64 / copy_steps as f64,
            takeovers: self.takeovers,
            is_done: self.is_done(),
        }
    }

    fn is_alive(&self, at: usize) -> bool {
        self.setup
            .dead
            .get(&at)
            .is_none_or(|step| self.step < *step)
    }

    fn is_done(&self) -> bool {
        let nodes = self.nodes.iter().enumerate();
        let mut nodes = nodes.filter(|(at, _)| self.is_alive(*at) && !self.setup.idle.contains(at));
        nodes.all(|(_, node)| node.has.is_full())
    }

    /// Returns whether `to` reaches `from`; `None` is the origin.
    fn reaches(&self, to: usize, from: Option<usize>) -> bool {
        let is_partitioned = self.setup.partition.contains(&self.step);
        let inside = |at: usize| at.is_multiple_of(self.setup.data_centres);
        let crosses = from.map_or(inside(to), |from| inside(from) != inside(to));
        from.is_none_or(|from| self.is_alive(from)) && !(is_partitioned && crosses)
    }

    /// Reports to the VMs the chunks that their watched peers had [`REPORT_DELAY_STEPS`] steps ago.
    fn report_chunks(&mut self) {
        let nodes = 0..self.nodes.len();
        let living: Vec<usize> = nodes.filter(|at| self.is_alive(*at)).collect();
        for at in living {
            for vm in self.nodes[at].planner.watched().clone() {
                let peer: usize = vm[3..].parse().unwrap();
                let received = &self.nodes[peer].received;
                let seen =
                    received.partition_point(|(step, _)| step + REPORT_DELAY_STEPS <= self.step);
                let update = self.reaches(at, Some(peer)).then_some(seen);
                if self.nodes[at].reported.get(&peer) == Some(&update) {
                    continue;
                }
                let mut have = ChunkSet::new(self.setup.chunks);
                received[..seen].iter().for_each(|(_, chunk)| {
                    have.insert(*chunk);
                });
                self.nodes[at].reported.insert(peer, update);
                let event = match update {
                    Some(_) => Event::Have { vm, have },
                    None => Event::Lost { vm },
                };
                self.events.push((at, event));
            }
        }
    }

    fn apply_events(&mut self) {
        let mut events = std::mem::take(&mut self.events);
        events.extend((0..self.nodes.len()).map(|at| (at, Event::Tick)));
        for (at, event) in events {
            if !self.is_alive(at) || self.setup.idle.contains(&at) {
                continue;
            }
            for action in self.nodes[at].planner.apply(event, self.now) {
                match action {
                    Action::Fetch(fetch) => self.start(at, fetch),
                    Action::Cancel { id } => {
                        self.transfers
                            .retain(|transfer| (transfer.to, transfer.fetch.id) != (at, id));
                    }
                }
            }
            let node = &self.nodes[at];
            let mut known = node.planner.have().iter();
            assert!(
                known.all(|chunk| node.has.contains(chunk)),
                "counts a chunk that was not verified"
            );
        }
    }

    fn start(&mut self, to: usize, fetch: Fetch) {
        let from = match &fetch.from {
            Source::Origin => None,
            Source::Peer(vm) => Some(vm[3..].parse::<usize>().unwrap()),
        };
        let node = &self.nodes[to];
        assert!(
            !node.has.contains(fetch.chunk),
            "fetched a chunk that is there"
        );
        let requested = (fetch.from.clone(), fetch.chunk);
        assert!(
            !node.corrupt.contains(&requested),
            "fetched again from the peer that sent it corrupted"
        );
        self.takeovers += u32::from(fetch.reason == Reason::Takeover);
        if let Some(failure) = self.refusal(to, from, fetch.chunk) {
            let id = fetch.id;
            return self.events.push((to, Event::Failed { id, failure }));
        }
        self.transfers.push(Transfer {
            to,
            fetch,
            from,
            unsent: self.setup.slices,
            unreceived: self.setup.slices,
        });
    }

    fn refusal(&self, to: usize, from: Option<usize>, chunk: u32) -> Option<Failure> {
        let busy = Failure::Busy { retry_after: None };
        if !self.reaches(to, from) {
            return Some(Failure::Broken);
        }
        let Some(source) = from else {
            let is_down = self.setup.origin_down.contains(&self.step);
            return is_down.then_some(busy);
        };
        if !self.nodes[source].has.contains(chunk) {
            return Some(Failure::Absent);
        }
        let uploads = self
            .transfers
            .iter()
            .filter(|transfer| transfer.from == from);
        (uploads.count() >= MAX_UPLOADS).then_some(busy)
    }

    /// Sends the slices of one step: the origin's in turn, each VM's for its oldest request.
    fn send(&mut self) {
        let mut served_vms = BTreeSet::new();
        let mut sent = BTreeSet::new();
        let stalled = |at: &usize| {
            self.setup
                .stalled
                .get(at)
                .is_some_and(|at| *at <= self.step)
        };
        for transfer in &mut self.transfers {
            let can_send =
                transfer.unsent > 0 && transfer.unreceived - transfer.unsent < BUFFER_SLICES;
            let sends = match transfer.from {
                None => {
                    can_send
                        && served_vms.len() < self.setup.origin_slices
                        && served_vms.insert(transfer.to)
                }
                Some(at) => can_send && !stalled(&at) && sent.insert(at),
            };
            transfer.unsent -= u32::from(sends);
        }
        self.origin_slices += served_vms.len() as u64;
        sent.iter().for_each(|at| self.nodes[*at].sent += 1);
        // Transfers that the origin served go to the end of its queue.
        let all = std::mem::take(&mut self.transfers).into_iter();
        let is_served =
            |transfer: &Transfer| transfer.from.is_none() && served_vms.contains(&transfer.to);
        let (served, rest): (Vec<_>, Vec<_>) = all.partition(is_served);
        self.transfers = rest.into_iter().chain(served).collect();
    }

    /// Receives one slice at each VM: from the origin first, then of the oldest transfer.
    fn receive(&mut self) {
        let mut busy = BTreeSet::new();
        let mut order: Vec<&mut Transfer> = self.transfers.iter_mut().collect();
        order.sort_by_key(|transfer| transfer.from.is_some());
        for transfer in order {
            if transfer.unreceived > transfer.unsent && busy.insert(transfer.to) {
                transfer.unreceived -= 1;
            }
        }
        let done: Vec<Transfer> = self
            .transfers
            .extract_if(.., |transfer| transfer.unreceived == 0)
            .collect();
        for transfer in done {
            self.finish(transfer);
        }
    }

    fn finish(&mut self, transfer: Transfer) {
        let (to, fetch) = (transfer.to, transfer.fetch);
        let (id, chunk) = (fetch.id, fetch.chunk);
        let node = &mut self.nodes[to];
        let is_corrupted = transfer.from.is_some() && transfer.from == self.setup.corrupting_vm;
        if is_corrupted || self.rng.random::<f64>() < self.setup.corrupt {
            if fetch.from != Source::Origin {
                node.corrupt.insert((fetch.from, chunk));
            }
            let failure = Failure::Corrupt;
            return self.events.push((to, Event::Failed { id, failure }));
        }
        if node.has.insert(chunk) {
            node.received.push((self.step, chunk));
        }
        self.events.push((to, Event::Fetched { id, chunk }));
    }

    /// Breaks the transfers whose receiver can't reach the sender.
    fn break_unreachable(&mut self) {
        let all: Vec<Transfer> = std::mem::take(&mut self.transfers);
        for transfer in all {
            if self.reaches(transfer.to, transfer.from) {
                self.transfers.push(transfer);
            } else {
                let (id, failure): (FetchId, _) = (transfer.fetch.id, Failure::Broken);
                self.events
                    .push((transfer.to, Event::Failed { id, failure }));
            }
        }
    }
}
