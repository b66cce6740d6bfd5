//! Which orders the engine gets for its weights: load, unload, give up. Decided without I/O.
//!
//! The loader is asked after each look at the engine's status, and gives at most one order at a
//! time. Invariants:
//!
//! - an epoch is [`WeightsPhase::Loaded`] only if the engine itself reports the digest of the
//!   epoch's bundle, in an answer to a question asked after the last order was answered;
//! - an order never carries a lower fencing number than one before it;
//! - a bundle is dropped only when no request of its epochs runs and none can be admitted.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};
use wagtailreel_core::{Digest, Epoch, WeightsPhase};

/// Wait before an order is given again, at first.
const FIRST_RETRY: Duration = Duration::from_millis(250);

/// Longest wait before an order is given again.
const LONGEST_RETRY: Duration = Duration::from_secs(15);

/// Questions in a row without an answer after which the engine counts as away.
const AWAY_AFTER: u32 = 3;

/// What the engine says that it holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineView {
    /// Digests of the bundles.
    pub bundles: BTreeSet<Digest>,
}

/// How far the chunks of one epoch are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Staged {
    /// Digest of the bundle, once its manifests are there.
    pub bundle: Option<Digest>,
    /// All chunks are there and verified.
    pub complete: bool,
    /// The chunks can't be brought.
    pub failed: bool,
}

/// What the loader decides by.
#[derive(Clone, Debug)]
pub struct View<'a> {
    /// The time.
    pub now: Instant,
    /// Epoch of the service's state.
    pub epoch: Epoch,
    /// The state's document names this VM, with weights.
    pub wanted: bool,
    /// Epochs below this are closed.
    pub closed_below: Epoch,
    /// How far the chunks of each epoch are. An epoch whose chunks are gone is not in it.
    pub staged: &'a BTreeMap<Epoch, Staged>,
    /// Epochs that the gate lets go.
    pub droppable: &'a [Epoch],
    /// The gate lets an engine without room give up the open bundle for `epoch`.
    pub may_swap: bool,
    /// Requests that run, by epoch.
    pub running: &'a BTreeMap<Epoch, u32>,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Tell the gate how far an epoch is.
    SetPhase {
        /// The epoch.
        epoch: Epoch,
        /// Its phase.
        phase: WeightsPhase,
        /// Digest of its bundle, if known.
        bundle: Option<Digest>,
    },
    /// Tell the gate to admit no more requests to an epoch, so that its bundle can go.
    GiveUp {
        /// The epoch.
        epoch: Epoch,
    },
    /// Order the engine to load an epoch's bundle.
    Load {
        /// The epoch.
        epoch: Epoch,
        /// Digest of its bundle.
        bundle: Digest,
        /// Fencing number of the order.
        fence: Epoch,
    },
    /// Break off the load that is under way: its epoch is no longer wanted.
    AbortLoad,
    /// Order the engine to drop a bundle.
    Unload {
        /// Digest of the bundle.
        bundle: Digest,
        /// Fencing number of the order.
        fence: Epoch,
    },
    /// Drop an epoch's chunks and have the gate forget the epoch.
    Forget {
        /// The epoch.
        epoch: Epoch,
    },
}

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

/// When a failed order may be given again, and why it failed.
#[derive(Clone, Debug)]
struct Retry {
    at: Instant,
    failures: u32,
    why: String,
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
    /// The question must have been asked after the last call of [`Loader::load_answered`] or
    /// [`Loader::unload_answered`].
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
    pub fn on_missing(&mut self, epoch: Epoch) {
        self.told.remove(&epoch);
        self.unverified = true;
    }

    /// Takes in what the engine answered to the load; an error says why it failed.
    ///
    /// A lost answer is an error here too: the next status tells whether the load took effect.
    pub fn load_answered(&mut self, now: Instant, answer: Result<Digest, String>) {
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
    pub fn unload_answered(&mut self, now: Instant, answer: Result<(), String>) {
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

    /// Lets go of the epochs that may go and have no request left; says whether a bundle goes.
    fn drop_drained(&mut self, view: &View<'_>, actions: &mut Vec<Action>) -> bool {
        let gone = self.leaving_epochs(view);
        for epoch in gone.iter().filter(|epoch| is_drained(view, **epoch)) {
            let held = self.bundle_of(*epoch).filter(|bundle| self.holds(bundle));
            if let Some(bundle) = held.filter(|bundle| !self.is_shared(view, &gone, *bundle)) {
                self.order_unload(bundle, actions);
                return true;
            }
            self.forget(*epoch);
            actions.push(Action::Forget { epoch: *epoch });
        }
        false
    }

    /// Returns the epochs whose bundles and chunks are to go, or have gone.
    fn leaving_epochs(&self, view: &View<'_>) -> BTreeSet<Epoch> {
        let has_gone = |epoch: &Epoch| {
            let bundle = self.bundle_of(*epoch);
            !view.staged.contains_key(epoch) && !bundle.is_some_and(|it| self.holds(&it))
        };
        let mut gone: BTreeSet<Epoch> = self.epochs.keys().copied().filter(has_gone).collect();
        gone.extend(&self.given_up);
        gone.extend(view.droppable);
        gone.retain(|epoch| self.epochs.contains_key(epoch));
        if view.wanted {
            gone.remove(&view.epoch);
        }
        gone
    }

    /// Says whether an epoch that stays needs `bundle`, or a leaving one still runs requests on
    /// it.
    fn is_shared(&self, view: &View<'_>, gone: &BTreeSet<Epoch>, bundle: Digest) -> bool {
        self.epochs
            .iter()
            .filter(|(epoch, _)| !gone.contains(epoch) || !is_drained(view, **epoch))
            .any(|(_, staged)| staged.bundle == Some(bundle))
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

    /// Returns the epoch to load next: the open one that an engine lost, then the wanted one.
    fn next_load(&self, view: &View<'_>) -> Option<(Epoch, Digest)> {
        let lost_open = Some(view.closed_below)
            .filter(|epoch| *epoch != view.epoch)
            // With room for one bundle, the new one is loaded rather than the old one again.
            .filter(|_| self.room > 1 || !self.is_ready(view));
        let wanted = Some(view.epoch).filter(|_| view.wanted);
        lost_open
            .into_iter()
            .chain(wanted)
            .filter(|epoch| !self.given_up.contains(epoch) && !view.droppable.contains(epoch))
            .find_map(|epoch| {
                let staged = self.epochs.get(&epoch).filter(|staged| staged.complete)?;
                let bundle = staged.bundle.filter(|bundle| !self.holds(bundle))?;
                Some((epoch, bundle))
            })
    }

    /// Says whether the chunks of the wanted epoch are all there.
    fn is_ready(&self, view: &View<'_>) -> bool {
        let staged = self.epochs.get(&view.epoch);
        view.wanted && staged.is_some_and(|staged| staged.complete)
    }

    /// Drops a bundle that no epoch needs, or gives up the open epoch if the gate lets it.
    fn make_room(&mut self, view: &View<'_>, target: Epoch, actions: &mut Vec<Action>) {
        let known: BTreeSet<Digest> = self.epochs.values().filter_map(|s| s.bundle).collect();
        let stray = self
            .bundles()
            .find(|bundle| !known.contains(*bundle))
            .copied();
        if let Some(bundle) = stray {
            self.order_unload(bundle, actions);
            return;
        }
        if target != view.epoch || !view.may_swap || !self.given_up.is_empty() {
            return;
        }
        let victim = self
            .epochs
            .iter()
            .find(|(epoch, staged)| {
                **epoch < target && staged.bundle.is_some_and(|bundle| self.holds(&bundle))
            })
            .map(|(epoch, _)| *epoch);
        if let Some(epoch) = victim {
            self.given_up.insert(epoch);
            self.told.remove(&epoch);
            actions.push(Action::GiveUp { epoch });
        }
    }

    /// Returns the phases that the gate has not been told yet.
    fn phases(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        for (epoch, staged) in &self.epochs {
            if self.given_up.contains(epoch) {
                continue;
            }
            let now = (self.phase(*epoch, staged), staged.bundle);
            if self.told.insert(*epoch, now) != Some(now) {
                actions.push(Action::SetPhase {
                    epoch: *epoch,
                    phase: now.0,
                    bundle: now.1,
                });
            }
        }
        actions
    }

    /// Returns the phase of one epoch.
    fn phase(&self, epoch: Epoch, staged: &Staged) -> WeightsPhase {
        let is_loading = matches!(self.order, Some(Order::Load { epoch: e, .. }) if e == epoch);
        let was = self.told.get(&epoch).map(|told| told.0);
        let is_held = staged.bundle.is_some_and(|bundle| self.holds(&bundle));
        if is_loading {
            return WeightsPhase::Loading;
        }
        if self.unverified {
            // What was true before the order is kept until the engine was looked at again.
            if let Some(was) = was {
                return was;
            }
        }
        match (is_held && !self.unverified, staged.complete) {
            (true, _) => WeightsPhase::Loaded,
            (false, true) if self.retry.is_some() && epoch == self.fence => WeightsPhase::Failed,
            (false, true) => WeightsPhase::Staged,
            (false, false) if staged.failed => WeightsPhase::Failed,
            (false, false) => WeightsPhase::Fetching,
        }
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

    fn has_room(&self) -> bool {
        self.bundles().count() < self.room
    }

    fn waits(&self, now: Instant) -> bool {
        self.retry.as_ref().is_some_and(|retry| now < retry.at)
    }

    /// Takes note of a failure: the next try comes later each time, with jitter.
    fn fail(&mut self, now: Instant, why: String) {
        let failures = self.retry.as_ref().map_or(0, |retry| retry.failures);
        let longest = FIRST_RETRY
            .saturating_mul(1 << failures.min(10))
            .min(LONGEST_RETRY);
        let wait = longest.mul_f64(self.rng.random_range(0.5..1.0));
        self.retry = Some(Retry {
            at: now + wait,
            failures: failures.saturating_add(1),
            why,
        });
    }
}

/// Says whether no request of `epoch` runs.
fn is_drained(view: &View<'_>, epoch: Epoch) -> bool {
    view.running.get(&epoch).copied().unwrap_or(0) == 0
}
