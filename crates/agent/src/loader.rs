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
mod room;
mod view;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use wagtailreel_core::{Digest, Epoch, WeightsPhase};

use retry::Retry;
pub use view::{Action, EngineView, Staged, View};

/// Questions in a row without an answer after which the engine counts as away.
const AWAY_AFTER: u32 = 3;

/// The order that is under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Order {
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
    room: usize,
    fence: Epoch,
    engine: Option<EngineView>,
    misses: u32,
    order: Option<Order>,
    /// An order was answered, and the engine has not been looked at since.
    unverified: bool,
    retry: Option<Retry>,
    /// Epochs with chunks here or a bundle in the engine.
    epochs: BTreeMap<Epoch, Staged>,
    given_up: BTreeSet<Epoch>,
    /// Epochs that are let go of, until their chunks are gone too.
    forgotten: BTreeSet<Epoch>,
    told: BTreeMap<Epoch, (WeightsPhase, Option<Digest>)>,
    rng: SmallRng,
}

impl Loader {
    /// Makes a loader for an engine that holds `room` bundles at once.
    ///
    /// `seed` feeds the jitter of retries.
    pub fn new(room: u32, seed: u64) -> Self {
        Self {
            room: usize::try_from(room).unwrap_or(usize::MAX).max(1),
            fence: 0,
            engine: None,
            misses: 0,
            order: None,
            unverified: true,
            retry: None,
            epochs: BTreeMap::new(),
            given_up: BTreeSet::new(),
            forgotten: BTreeSet::new(),
            told: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Says what keeps the engine from holding the wanted bundle, with the remedy.
    pub fn trouble(&self) -> Option<String> {
        if self.engine.is_none() && self.misses >= AWAY_AFTER {
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
                self.misses = 0;
                self.engine = Some(engine);
                self.unverified = false;
            }
            None => {
                self.misses = self.misses.saturating_add(1);
                if self.misses >= AWAY_AFTER {
                    self.engine = None;
                }
            }
        }
    }

    /// Takes note that the engine did not know a bundle that it was thought to hold.
    ///
    /// The epoch is told again after the next look at the engine.
    pub fn on_bundle_missing(&mut self, epoch: Epoch) {
        self.told.remove(&epoch);
        self.unverified = true;
    }

    /// Takes in what the engine answered to the load; an error says why it failed.
    ///
    /// A lost answer is an error here too: the next status tells whether the load took effect.
    pub fn on_load_result(&mut self, now: Instant, answer: Result<Digest, String>) {
        let Some(Order::Load {
            bundle, aborted, ..
        }) = self.order.take()
        else {
            return;
        };
        self.unverified = true;
        match answer {
            Ok(digest) if digest == bundle => self.retry = None,
            Ok(digest) => self.fail(
                now,
                format!(
                    "the engine loaded {} instead of {}: check the engine's memory and link",
                    digest.short(),
                    bundle.short()
                ),
            ),
            Err(_) if aborted => {}
            Err(why) => self.fail(now, why),
        }
    }

    /// Takes in what the engine answered to the unload; an error says why it failed.
    pub fn on_unload_result(&mut self, now: Instant, answer: Result<(), String>) {
        if self
            .order
            .take_if(|order| *order == Order::Unload)
            .is_none()
        {
            return;
        }
        self.unverified = true;
        match answer {
            Ok(()) => self.retry = None,
            Err(why) => self.fail(now, why),
        }
    }

    /// Decides what is to be done now.
    pub fn decide(&mut self, view: &View<'_>) -> Vec<Action> {
        if view.epoch > self.fence {
            // What failed for an older epoch does not hold up the new one.
            self.retry = None;
            self.fence = view.epoch;
        }
        self.take_staged(view);
        if self.is_settled(view) {
            // A load whose answer was lost has taken effect.
            self.retry = None;
        }
        let mut actions = Vec::new();
        self.act(view, &mut actions);
        let mut all = self.phases();
        all.append(&mut actions);
        all
    }

    /// Takes in how far the chunks are.
    ///
    /// An epoch whose chunks were replaced by those of a newer one may still have its bundle in
    /// the engine, and requests that run on it: it stays known until it is forgotten.
    fn take_staged(&mut self, view: &View<'_>) {
        self.forgotten
            .retain(|epoch| view.staged.contains_key(epoch));
        for (epoch, known) in &mut self.epochs {
            if !view.staged.contains_key(epoch) {
                known.complete = false;
                known.failed = false;
            }
        }
        for (epoch, staged) in view.staged {
            if self.forgotten.contains(epoch) {
                continue;
            }
            let known = self.epochs.entry(*epoch).or_default();
            known.bundle = staged.bundle.or(known.bundle);
            known.complete = staged.complete;
            known.failed = staged.failed;
        }
    }

    /// Says whether the engine itself reports the wanted bundle.
    fn is_settled(&self, view: &View<'_>) -> bool {
        let bundle = self.bundle_of(view.epoch);
        !self.unverified && bundle.is_some_and(|bundle| self.holds(&bundle))
    }

    /// Gives at most one order to the engine, or the notice to the gate that must come before it.
    fn act(&mut self, view: &View<'_>, actions: &mut Vec<Action>) {
        if let Some(order) = self.order {
            self.abort_unwanted(view, order, actions);
            return;
        }
        if self.unverified || self.engine.is_none() || self.waits(view.now) {
            return;
        }
        if self.drop_drained(view, actions) {
            return;
        }
        let Some((epoch, bundle)) = self.next_load(view) else {
            return;
        };
        if self.has_room() {
            self.order_load(epoch, bundle, actions);
        } else {
            self.make_room(view, epoch, actions);
        }
    }

    /// Breaks off a load of an epoch that nobody wants any more.
    fn abort_unwanted(&mut self, view: &View<'_>, order: Order, actions: &mut Vec<Action>) {
        let Order::Load {
            epoch,
            bundle,
            aborted: false,
        } = order
        else {
            return;
        };
        let target = self.bundle_of(view.epoch).filter(|_| view.wanted);
        let same_bundle = target == Some(bundle);
        let live = epoch >= view.closed_below && !view.droppable.contains(&epoch);
        if live || same_bundle || (epoch == view.epoch && view.wanted) {
            return;
        }
        self.order = Some(Order::Load {
            epoch,
            bundle,
            aborted: true,
        });
        actions.push(Action::AbortLoad);
    }

    fn forget(&mut self, epoch: Epoch) {
        self.epochs.remove(&epoch);
        self.given_up.remove(&epoch);
        self.told.remove(&epoch);
        self.forgotten.insert(epoch);
    }

    fn bundle_of(&self, epoch: Epoch) -> Option<Digest> {
        self.epochs.get(&epoch).and_then(|staged| staged.bundle)
    }

    fn order_load(&mut self, epoch: Epoch, bundle: Digest, actions: &mut Vec<Action>) {
        self.order = Some(Order::Load {
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

    fn order_unload(&mut self, bundle: Digest, actions: &mut Vec<Action>) {
        self.order = Some(Order::Unload);
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
