//! The one task that owns what is wanted and under way.

mod keeping;
mod notes;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use tokio::time::{Interval, MissedTickBehavior};
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;
use wagtailreel_adapters::Origin;
use wagtailreel_core::{Epoch, VmEntry, VmId, WeightsPhase};

use crate::current::{Current, Generation, Note, Surroundings};
use crate::layout::Layout;
use crate::{Wanted, events, manifests};

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
}

/// Makes the ticks; a late one puts off those after it.
fn ticks() -> Interval {
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}
