//! Which orders the engine gets for its weights: load, unload, give up. Decided without I/O.
//!
//! The loader is asked after each look at the engine's status, and gives at most one order at a
//! time. Invariants:
//!
//! - an epoch is [`WeightsPhase::Loaded`] only if the engine itself reports the digest of the
//!   epoch's bundle, in an answer to a question asked after the last order was answered;
//! - an order never carries a lower fencing number than one before it;
//! - a bundle is dropped only when no request of its epochs runs and none can be admitted.

mod phases;
mod retry;
mod selection;

mod view;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use wagtailreel_core::{Digest, Epoch, WeightsPhase};

use retry::Retry;
pub use view::{Action, EngineView, Staged, View};

/// Questions in a row without an answer after which the engine counts as away.
const UNREACHABLE_AFTER_MISSES: u32 = 3;

/// The order that is under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Command {
    Load {
        epoch: Epoch,
        bundle: Digest,
        aborted: bool,
    },
    Unload,
}

/// Brings an engine to hold the bundle of the wanted epoch.
#[derive(Debug)]
pub struct Loader {
    capacity: usize,
    fence: Epoch,
    engine: Option<EngineView>,
    missed_statuses: u32,
    command: Option<Command>,
    /// An order was answered, and the engine has not been looked at since.
    unverified: bool,
    retry: Option<Retry>,
    /// Epochs with chunks here or a bundle in the engine.
    epochs: BTreeMap<Epoch, Staged>,
    admission_stopped: BTreeSet<Epoch>,
    /// Epochs that are let go of, until their chunks are gone too.
    removed: BTreeSet<Epoch>,
    reported_phases: BTreeMap<Epoch, (WeightsPhase, Option<Digest>)>,
    rng: SmallRng,
}

impl Loader {
    /// Makes a loader for an engine that holds `capacity` bundles at once.
    ///
    /// `seed` feeds the jitter of retries.
    pub fn new(capacity: u32, seed: u64) -> Self {
        Self {
            capacity: usize::try_from(capacity).unwrap_or(usize::MAX).max(1),
            fence: 0,
            engine: None,
            missed_statuses: 0,
            command: None,
            unverified: true,
            retry: None,
            epochs: BTreeMap::new(),
            admission_stopped: BTreeSet::new(),
            removed: BTreeSet::new(),
            reported_phases: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Says what keeps the engine from holding the wanted bundle, with the remedy.
    pub fn trouble(&self) -> Option<String> {
        if self.engine.is_none() && self.missed_statuses >= UNREACHABLE_AFTER_MISSES {
            return Some("the engine gives no status: check that it runs at upstream.url".into());
        }
        self.retry.as_ref().map(|retry| retry.why.clone())
    }

    /// Takes in the answer to a question for the engine's status; none if there was no answer.
    ///
    /// The question must have been asked after the last call of [`Loader::on_load_result`] or
    /// [`Loader::on_unload_result`].
    pub fn on_status(&mut self, engine: Option<EngineView>) {
        match engine {
            Some(engine) => {
                self.missed_statuses = 0;
                self.engine = Some(engine);
                self.unverified = false;
            }
            None => {
                self.missed_statuses = self.missed_statuses.saturating_add(1);
                if self.missed_statuses >= UNREACHABLE_AFTER_MISSES {
                    self.engine = None;
                }
            }
        }
    }

    /// Takes note that the engine did not know a bundle that it was thought to hold.
    ///
    /// The epoch is told again after the next look at the engine.
    pub fn on_bundle_missing(&mut self, epoch: Epoch) {
        self.reported_phases.remove(&epoch);
        self.unverified = true;
    }

    /// Takes in what the engine answered to the load; an error says why it failed.
    ///
    /// A lost answer is an error here too: the next status tells whether the load took effect.
    pub fn on_load_result(&mut self, now: Instant, answer: Result<Digest, String>) {
        let Some(Command::Load {
            bundle, aborted, ..
        }) = self.command.take()
        else {
            return;
        };
        self.unverified = true;
        match answer {
            Ok(digest) if digest == bundle => self.retry = None,
            Ok(digest) => self.record_failure(
                now,
                format!(
                    "the engine loaded {} instead of {}: check the engine's memory and link",
                    digest.short(),
                    bundle.short()
                ),
            ),
            Err(_) if aborted => {}
            Err(why) => self.record_failure(now, why),
        }
    }

    /// Takes in what the engine answered to the unload; an error says why it failed.
    pub fn on_unload_result(&mut self, now: Instant, answer: Result<(), String>) {
        if self
            .command
            .take_if(|command| *command == Command::Unload)
            .is_none()
        {
            return;
        }
        self.unverified = true;
        match answer {
            Ok(()) => self.retry = None,
            Err(why) => self.record_failure(now, why),
        }
    }

    /// Decides what is to be done now.
    pub fn decide(&mut self, view: &View<'_>) -> Vec<Action> {
        if view.epoch > self.fence {
            // What failed for an older epoch does not hold up the new one.
            self.retry = None;
            self.fence = view.epoch;
        }
        self.merge_staged(view);
        if self.is_wanted_loaded(view) {
            // A load whose answer was lost has taken effect.
            self.retry = None;
        }
        let mut actions = Vec::new();
        self.push_next(view, &mut actions);
        let mut all = self.phases();
        all.append(&mut actions);
        all
    }

    /// Takes in how far the chunks are.
    ///
    /// An epoch whose chunks were replaced by those of a newer one may still have its bundle in
    /// the engine, and requests that run on it: it stays known until it is forgotten.
    fn merge_staged(&mut self, view: &View<'_>) {
        self.removed.retain(|epoch| view.staged.contains_key(epoch));
        for (epoch, known) in &mut self.epochs {
            if !view.staged.contains_key(epoch) {
                known.complete = false;
                known.failed = false;
            }
        }
        for (epoch, staged) in view.staged {
            if self.removed.contains(epoch) {
                continue;
            }
            let known = self.epochs.entry(*epoch).or_default();
            known.bundle = staged.bundle.or(known.bundle);
            known.complete = staged.complete;
            known.failed = staged.failed;
        }
    }

    /// Says whether the engine itself reports the wanted bundle.
    fn is_wanted_loaded(&self, view: &View<'_>) -> bool {
        let bundle = self.bundle_of(view.epoch);
        !self.unverified && bundle.is_some_and(|bundle| self.holds(&bundle))
    }

    /// Gives at most one order to the engine, or the notice to the gate that must come before it.
    fn push_next(&mut self, view: &View<'_>, actions: &mut Vec<Action>) {
        if let Some(command) = self.command {
            self.abort_unwanted(view, command, actions);
            return;
        }
        if self.unverified || self.engine.is_none() || self.is_backing_off(view.now) {
            return;
        }
        if self.unload_drained(view, actions) {
            return;
        }
        let Some((epoch, bundle)) = self.next_load(view) else {
            return;
        };
        if self.has_capacity() {
            self.push_load(epoch, bundle, actions);
        } else {
            self.free_capacity(view, epoch, actions);
        }
    }

    /// Breaks off a load of an epoch that nobody wants any more.
    fn abort_unwanted(&mut self, view: &View<'_>, command: Command, actions: &mut Vec<Action>) {
        let Command::Load {
            epoch,
            bundle,
            aborted: false,
        } = command
        else {
            return;
        };
        let target = self.bundle_of(view.epoch).filter(|_| view.wanted);
        let same_bundle = target == Some(bundle);
        let live = epoch >= view.closed_below && !view.droppable.contains(&epoch);
        if live || same_bundle || (epoch == view.epoch && view.wanted) {
            return;
        }
        self.command = Some(Command::Load {
            epoch,
            bundle,
            aborted: true,
        });
        actions.push(Action::AbortLoad);
    }

    fn remove_epoch(&mut self, epoch: Epoch) {
        self.epochs.remove(&epoch);
        self.admission_stopped.remove(&epoch);
        self.reported_phases.remove(&epoch);
        self.removed.insert(epoch);
    }

    fn bundle_of(&self, epoch: Epoch) -> Option<Digest> {
        self.epochs.get(&epoch).and_then(|staged| staged.bundle)
    }

    fn push_load(&mut self, epoch: Epoch, bundle: Digest, actions: &mut Vec<Action>) {
        self.command = Some(Command::Load {
            epoch,
            bundle,
            aborted: false,
        });
        actions.push(Action::Load {
            epoch,
            bundle,
            fence: self.fence,
        });
    }

    fn push_unload(&mut self, bundle: Digest, actions: &mut Vec<Action>) {
        self.command = Some(Command::Unload);
        actions.push(Action::Unload {
            bundle,
            fence: self.fence,
        });
    }

    fn bundles(&self) -> impl Iterator<Item = &Digest> {
        self.engine.iter().flat_map(|engine| &engine.bundles)
    }

    fn holds(&self, bundle: &Digest) -> bool {
        let engine = self.engine.as_ref();
        engine.is_some_and(|engine| engine.bundles.contains(bundle))
    }
}
