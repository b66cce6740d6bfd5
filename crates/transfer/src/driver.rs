//! The one task that owns what is wanted and under way.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::{mpsc, watch};
use tokio::time::{Interval, MissedTickBehavior};
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;
use wagtailreel_adapters::Origin;
use wagtailreel_core::{Digest, Epoch, VmEntry, VmId, WeightsPhase};
use wagtailreel_spread::{ChunkSet, Failure, Fetch, Source};

use crate::current::{Current, Generation, Note, Surroundings};
use crate::fetch::Trouble;
use crate::layout::Layout;
use crate::metrics::Giver;
use crate::{EpochProgress, Wanted, events, manifests};

/// Time between two looks at what takes long.
const TICK: Duration = Duration::from_millis(25);

/// What the driver is asked for.
#[derive(Debug)]
pub(crate) enum Command {
    Want(Wanted),
    SetPeers(Vec<VmEntry>),
    Forget(Epoch),
}

/// One epoch that is kept or fetched.
#[derive(Debug)]
struct Kept {
    wanted: Wanted,
    phase: WeightsPhase,
    layout: Option<Arc<Layout>>,
    have: u32,
    trouble: Option<String>,
}

/// How far the transfer under way is.
#[derive(Debug)]
enum Stage<O> {
    /// The manifests are on their way.
    Manifests { _task: AbortOnDropHandle<()> },
    /// The chunks are on their way.
    Chunks(Box<Current<O>>),
    /// The bundle doesn't fit, until something else is forgotten.
    NoMemory(Arc<Layout>),
}

/// The transfer under way.
#[derive(Debug)]
struct UnderWay<O> {
    epoch: Epoch,
    generation: Generation,
    stage: Stage<O>,
}

/// The one task that owns what is wanted and under way.
#[derive(Debug)]
pub(crate) struct Driver<O> {
    around: Surroundings<O>,
    peers: Vec<VmEntry>,
    /// The same peers, for the fetch of manifests.
    manifest_peers: watch::Sender<Vec<VmEntry>>,
    epochs: BTreeMap<Epoch, Kept>,
    under_way: Option<UnderWay<O>>,
    /// What a replaced transfer had, until it is known which of it the new one needs.
    left_over: Option<Arc<Layout>>,
    lost: BTreeSet<VmId>,
    generation: Generation,
}

impl<O> Driver<O>
where
    O: Origin,
{
    /// Makes a driver that has nothing to do.
    pub(crate) fn new(around: Surroundings<O>) -> Self {
        Self {
            around,
            peers: Vec::new(),
            manifest_peers: watch::Sender::new(Vec::new()),
            epochs: BTreeMap::new(),
            under_way: None,
            left_over: None,
            lost: BTreeSet::new(),
            generation: 0,
        }
    }

    /// Runs until it is stopped or nobody can ask for anything any more.
    pub(crate) async fn run(
        mut self,
        mut commands: mpsc::UnboundedReceiver<Command>,
        mut notes: mpsc::Receiver<Note>,
        stop: CancellationToken,
    ) {
        let mut ticks = ticks();
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                command = commands.recv() => match command {
                    Some(command) => self.obey(command),
                    None => return,
                },
                Some(note) = notes.recv() => self.note(note),
                _ = ticks.tick(), if self.is_fetching() => self.tick(),
            }
            self.publish();
        }
    }

    /// Says whether chunks are on their way.
    fn is_fetching(&self) -> bool {
        let stage = self.under_way.as_ref().map(|under_way| &under_way.stage);
        matches!(stage, Some(Stage::Chunks(_)))
    }

    /// Returns the chunks on their way.
    fn current(&mut self) -> Option<&mut Current<O>> {
        match &mut self.under_way.as_mut()?.stage {
            Stage::Chunks(current) => Some(current),
            Stage::Manifests { .. } | Stage::NoMemory(_) => None,
        }
    }

    fn obey(&mut self, command: Command) {
        match command {
            Command::Want(wanted) => self.want(wanted),
            Command::SetPeers(peers) => self.set_peers(peers),
            Command::Forget(epoch) => self.forget(epoch),
        }
    }

    fn tick(&mut self) {
        if let Some(current) = self.current() {
            current.tick();
        }
    }

    fn set_peers(&mut self, peers: Vec<VmEntry>) {
        self.manifest_peers.send_replace(peers.clone());
        self.peers = peers;
        self.lost
            .retain(|vm| self.peers.iter().any(|peer| peer.vm == *vm));
        let peers = std::mem::take(&mut self.peers);
        if let Some(current) = self.current() {
            current.set_peers(&peers);
        }
        self.peers = peers;
    }

    /// Starts to fetch an epoch, in place of what is under way.
    fn want(&mut self, wanted: Wanted) {
        self.around.shared.cap(wanted.settings.rate);
        if self.is_known(&wanted) {
            return;
        }
        let epoch = wanted.epoch;
        if let Some(before) = self.under_way.take()
            && let Stage::Chunks(current) = before.stage
        {
            self.left_over = Some(current.layout);
        }
        self.epochs
            .retain(|_, kept| kept.phase == WeightsPhase::Staged);
        self.around.shared.staged().remove(&epoch);
        self.generation += 1;
        events::WANTED.emit(&[("epoch", &epoch.to_string())]);
        let givers = manifests::Givers {
            origin: self.around.origin.clone(),
            peers: self.manifest_peers.subscribe(),
            data_centre: self.around.shared.cfg.data_centre.clone(),
        };
        let fetching = manifests::fetch(
            givers,
            wanted.parts.clone(),
            self.generation,
            self.around.notes.clone(),
        );
        self.under_way = Some(UnderWay {
            epoch,
            generation: self.generation,
            stage: Stage::Manifests {
                _task: AbortOnDropHandle::new(tokio::spawn(fetching)),
            },
        });
        let kept = Kept {
            wanted,
            phase: WeightsPhase::Fetching,
            layout: None,
            have: 0,
            trouble: None,
        };
        self.epochs.insert(epoch, kept);
    }

    /// Says whether there is nothing to do for `wanted`, because it is there or under way.
    fn is_known(&self, wanted: &Wanted) -> bool {
        self.epochs.get(&wanted.epoch).is_some_and(|kept| {
            let is_staged = kept.phase == WeightsPhase::Staged;
            kept.wanted == *wanted || (is_staged && kept.wanted.parts == wanted.parts)
        })
    }

    /// Drops an epoch.
    fn forget(&mut self, epoch: Epoch) {
        if self.epochs.remove(&epoch).is_none() {
            return;
        }
        self.around.shared.staged().remove(&epoch);
        if self.under_way.as_ref().is_some_and(|it| it.epoch == epoch) {
            self.under_way = None;
            self.left_over = None;
        }
        self.prune();
        let waiting = self.under_way.as_ref().and_then(|it| match &it.stage {
            Stage::NoMemory(layout) => Some(Arc::clone(layout)),
            Stage::Manifests { .. } | Stage::Chunks(_) => None,
        });
        if let Some(layout) = waiting {
            self.place(layout);
        }
    }

    /// Takes what a task says, unless its transfer was replaced.
    fn note(&mut self, note: Note) {
        let generation = match &note {
            Note::NoManifest { generation, .. }
            | Note::Layout { generation, .. }
            | Note::Fetched { generation, .. }
            | Note::Have { generation, .. }
            | Note::Verified { generation, .. } => *generation,
        };
        let is_current = |it: &UnderWay<O>| it.generation == generation;
        if !self.under_way.as_ref().is_some_and(is_current) {
            return;
        }
        match note {
            Note::NoManifest { text, .. } => self.no_manifest(text),
            Note::Layout { layout, .. } => match layout {
                Ok(layout) => self.place(Arc::new(layout)),
                Err(trouble) => self.fail(trouble),
            },
            Note::Fetched {
                fetch,
                giver,
                result,
                ..
            } => self.fetched(&fetch, giver, result),
            Note::Have { vm, have, .. } => self.have(vm, have),
            Note::Verified { result, .. } => match result {
                Ok(()) => self.staged(),
                Err(trouble) => self.fail(trouble),
            },
        }
    }

    fn no_manifest(&mut self, text: String) {
        self.emit(events::NO_MANIFEST, &[("trouble", &text)]);
        self.set_trouble(Some(text));
    }

    /// Starts to fetch the chunks of a bundle, if it fits.
    fn place(&mut self, layout: Arc<Layout>) {
        let Some(under_way) = &mut self.under_way else {
            return;
        };
        let epoch = under_way.epoch;
        let generation = under_way.generation;
        // What was replaced gives its place to the new bundle, but for what both have.
        under_way.stage = Stage::NoMemory(Arc::clone(&layout));
        self.left_over = None;
        self.prune();
        let Some(kept) = self.epochs.get_mut(&epoch) else {
            return;
        };
        kept.layout = Some(Arc::clone(&layout));
        let memory = self.around.shared.cfg.memory;
        let needed = needed(&self.around.shared.staged(), &layout);
        if needed > memory {
            kept.phase = WeightsPhase::Failed;
            let trouble = format!(
                "the weights need {needed} bytes of memory along with those that are kept, and \
                 the agent's setting allows {memory}: raise it, or let older weights go"
            );
            self.emit(events::NO_MEMORY, &[("trouble", &trouble)]);
            self.set_trouble(Some(trouble));
            return;
        }
        kept.phase = WeightsPhase::Fetching;
        kept.trouble = None;
        let current = Current::start(
            self.around.clone(),
            layout,
            kept.wanted.settings.clone(),
            generation,
            &self.peers,
            memory - needed,
        );
        if let Some(under_way) = &mut self.under_way {
            under_way.stage = Stage::Chunks(Box::new(current));
        }
        self.count();
    }

    /// Takes the end of a fetch.
    fn fetched(&mut self, fetch: &Fetch, giver: Giver, result: Result<Bytes, Trouble>) {
        let from_origin = fetch.from == Source::Origin;
        match result {
            Ok(bytes) => {
                self.around.shared.metrics.fetched(fetch.reason);
                if from_origin {
                    self.origin_gives();
                }
                if let Some(current) = self.current() {
                    current.take(fetch, bytes);
                }
                self.count();
            }
            Err(trouble) => {
                if trouble.failure == Failure::Corrupt {
                    self.corrupt(fetch, giver);
                }
                if from_origin {
                    self.origin_fails(trouble.text);
                }
                if let Some(current) = self.current() {
                    current.fail(fetch.id, trouble.failure);
                }
            }
        }
    }

    /// Says that a chunk came corrupt.
    fn corrupt(&mut self, fetch: &Fetch, giver: Giver) {
        self.around.shared.metrics.corrupt(giver);
        let Some(current) = self.current() else {
            return;
        };
        let chunk = current.layout.chunk(fetch.chunk).digest.to_string();
        let giver = fetch.from.to_string();
        events::CORRUPT.emit(&[("giver", &giver), ("chunk", &chunk)]);
    }

    /// Says that the origin fails, once until it gives again.
    fn origin_fails(&mut self, text: String) {
        let is_new = self.kept().is_some_and(|kept| kept.trouble.is_none());
        if is_new {
            events::ORIGIN_FAILS.emit(&[("trouble", &text)]);
        }
        self.set_trouble(Some(text));
    }

    /// Says that the origin gives again, if it failed.
    fn origin_gives(&mut self) {
        if self.kept().is_some_and(|kept| kept.trouble.is_some()) {
            events::ORIGIN_GIVES.emit(&[]);
            self.set_trouble(None);
        }
    }

    /// Takes what a neighbour has, or why it doesn't say.
    fn have(&mut self, vm: VmId, have: Result<ChunkSet, String>) {
        match &have {
            Ok(_) if self.lost.remove(&vm) => events::NEIGHBOUR_FOUND.emit(&[("vm", &vm)]),
            Err(text) if self.lost.insert(vm.clone()) => {
                events::NEIGHBOUR_LOST.emit(&[("vm", &vm), ("trouble", text)]);
            }
            _ => {}
        }
        if let Some(current) = self.current() {
            current.set_have(vm, have.ok());
        }
    }

    /// Notes that all is there and verified.
    fn staged(&mut self) {
        let Some(under_way) = self.under_way.take() else {
            return;
        };
        let Stage::Chunks(current) = under_way.stage else {
            return;
        };
        let Some(kept) = self.epochs.get_mut(&under_way.epoch) else {
            return;
        };
        let layout = &current.layout;
        kept.phase = WeightsPhase::Staged;
        kept.have = layout.count();
        kept.trouble = None;
        let epoch = under_way.epoch.to_string();
        let bundle = layout.digest.to_string();
        events::STAGED.emit(&[("epoch", &epoch), ("bundle", &bundle)]);
        let mut staged = self.around.shared.staged();
        staged.insert(under_way.epoch, Arc::clone(layout));
    }

    /// Gives the bundle up, since it can't be right.
    fn fail(&mut self, trouble: String) {
        self.emit(events::BAD_MANIFEST, &[("trouble", &trouble)]);
        if let Some(kept) = self.kept() {
            kept.phase = WeightsPhase::Failed;
            kept.have = 0;
        }
        self.set_trouble(Some(trouble));
        self.under_way = None;
        self.left_over = None;
        self.prune();
    }

    /// Returns the epoch under way.
    fn kept(&mut self) -> Option<&mut Kept> {
        let epoch = self.under_way.as_ref()?.epoch;
        self.epochs.get_mut(&epoch)
    }

    fn set_trouble(&mut self, trouble: Option<String>) {
        if let Some(kept) = self.kept() {
            kept.trouble = trouble;
        }
    }

    /// Counts the chunks of the epoch under way.
    fn count(&mut self) {
        let have = self.current().map(|current| current.have());
        if let (Some(have), Some(kept)) = (have, self.kept()) {
            kept.have = have;
        }
    }

    /// Logs an event of the epoch under way.
    fn emit(&self, event: wagtailreel_telemetry::Event, fields: &[(&str, &str)]) {
        let epoch = self.under_way.as_ref().map_or(0, |it| it.epoch).to_string();
        let mut all = vec![("epoch", epoch.as_str())];
        all.extend_from_slice(fields);
        event.emit(&all);
    }

    /// Drops the chunks that no kept bundle needs.
    fn prune(&self) {
        let shared = &self.around.shared;
        let mut layouts: Vec<Arc<Layout>> = shared.staged().values().cloned().collect();
        layouts.extend(self.left_over.clone());
        layouts.extend(self.under_way.as_ref().and_then(|it| match &it.stage {
            Stage::Chunks(current) => Some(Arc::clone(&current.layout)),
            Stage::NoMemory(layout) => Some(Arc::clone(layout)),
            Stage::Manifests { .. } => None,
        }));
        let bundles = layouts.iter().map(|layout| layout.digest).collect();
        let chunks = layouts
            .iter()
            .flat_map(|layout| &layout.chunks)
            .map(|chunk| chunk.digest)
            .collect();
        // Peers stop being told of chunks before these go.
        shared.haves.retain(&bundles);
        shared.store.retain(&chunks);
    }

    /// Publishes how far all is, if that changed.
    fn publish(&self) {
        let shared = &self.around.shared;
        let bytes = shared.store.bytes();
        shared
            .metrics
            .kept
            .set(i64::try_from(bytes).unwrap_or(i64::MAX));
        let epochs: BTreeMap<Epoch, EpochProgress> = self
            .epochs
            .iter()
            .map(|(epoch, kept)| (*epoch, kept.progress()))
            .collect();
        shared.progress.send_if_modified(|progress| {
            let changed = progress.bytes != bytes || progress.epochs != epochs;
            progress.bytes = bytes;
            progress.epochs = epochs;
            changed
        });
    }
}

impl Kept {
    /// Returns how far the epoch is.
    fn progress(&self) -> EpochProgress {
        let layout = self.layout.as_ref();
        EpochProgress {
            phase: self.phase,
            have: self.have,
            total: layout.map_or(0, |layout| layout.count()),
            bundle: layout.map(|layout| Arc::clone(&layout.bundle)),
            trouble: self.trouble.clone(),
        }
    }
}

/// Returns how many bytes `layout` needs along with what is staged, shared chunks counted once.
fn needed(staged: &BTreeMap<Epoch, Arc<Layout>>, layout: &Arc<Layout>) -> u64 {
    let lengths: BTreeMap<Digest, u64> = staged
        .values()
        .chain([layout])
        .flat_map(|layout| &layout.chunks)
        .map(|chunk| (chunk.digest, chunk.length))
        .collect();
    lengths
        .values()
        .fold(0, |sum, length| sum.saturating_add(*length))
}

/// Makes the ticks; a late one puts off those after it.
fn ticks() -> Interval {
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}
