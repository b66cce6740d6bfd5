//! State machine that decides which load, unload and abort commands the engine gets. Does no I/O.
//!
//! The caller runs the loader after each status request to the engine. At most one command is in
//! flight. Invariants:
//!
//! - an epoch is [`WeightsPhase::Loaded`] only if the engine itself reports the digest of the
//!   epoch's bundle, in an answer to a status request sent after the last command completed;
//! - a command never carries a lower fencing number than an earlier one;
//! - a bundle is unloaded only when no request of its epochs runs and none can be admitted.

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

/// Consecutive unanswered status requests after which the engine counts as unreachable.
const UNREACHABLE_AFTER_MISSES: u32 = 3;

/// The command in flight.
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
    /// A command completed or a bundle was reported missing, and no status has come since.
    unverified: bool,
    retry: Option<Retry>,
    /// Epochs with chunks here or a bundle in the engine.
    epochs: BTreeMap<Epoch, Staged>,
    /// Epochs closed for requests so that the engine has capacity for the new bundle.
    admission_stopped: BTreeSet<Epoch>,
    /// Removed epochs whose chunks still exist.
    removed: BTreeSet<Epoch>,
    /// Last phase and bundle of each epoch that the gate was given.
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

    /// Returns what keeps the engine from holding the wanted bundle, with the remedy.
    pub fn trouble(&self) -> Option<String> {
        if self.engine.is_none() && self.missed_statuses >= UNREACHABLE_AFTER_MISSES {
            return Some("the engine gives no status: check that it runs at upstream.url".into());
        }
        self.retry.as_ref().map(|retry| retry.why.clone())
    }

    /// Applies the answer to a status request; `None` if the engine did not answer.
    ///
    /// The request must have been sent after the last call of [`Loader::on_load_result`] or
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

    /// Records that the engine lacks the bundle of `epoch`, which it last reported to hold.
    ///
    /// The gate gets the phase of the epoch again after the next status.
    pub fn on_bundle_missing(&mut self, epoch: Epoch) {
        self.reported_phases.remove(&epoch);
        self.unverified = true;
    }

    /// Applies the result of a load; an error says why the load failed.
    ///
    /// A lost answer is an error too: the next status shows whether the load took effect.
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

    /// Applies the result of an unload; an error says why the unload failed.
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

    /// Returns the actions that the caller must perform now.
    pub fn decide(&mut self, view: &View<'_>) -> Vec<Action> {
        if view.epoch > self.fence {
            // A failure of an older epoch must not delay the new one.
            self.retry = None;
            self.fence = view.epoch;
        }
        self.merge_staged(view);
        if self.is_wanted_loaded(view) {
            // A load whose answer was lost took effect.
            self.retry = None;
        }
        let mut actions = Vec::new();
        self.push_next(view, &mut actions);
        let mut all = self.phases();
        all.append(&mut actions);
        all
    }

    /// Merges the staging state of the chunks.
    ///
    /// An epoch whose chunks were replaced by those of a newer epoch may still have its bundle in
    /// the engine and requests that run on the bundle. Its record stays until the epoch is removed.
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

    /// Returns whether the engine itself reports the wanted bundle.
    fn is_wanted_loaded(&self, view: &View<'_>) -> bool {
        let bundle = self.bundle_of(view.epoch);
        !self.unverified && bundle.is_some_and(|bundle| self.holds(&bundle))
    }

    /// Adds at most one command to the engine, or the action on the gate that must precede it.
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

    /// Aborts a load of an epoch that is no longer needed.
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
