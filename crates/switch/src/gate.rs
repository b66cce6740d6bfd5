//! The agent's gate: decides whether a request is admitted, and to which epoch.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use wagtailreel_core::{
    Digest, Directive, Epoch, NotRunReason, Offset, Report, VmId, WeightsPhase,
};

/// How long the last directive of an entry is taken into account in [`Gate::droppable`] and
/// [`Gate::may_swap`], which look at the directives of all entries.
const DIRECTIVE_TTL: Duration = Duration::from_secs(3);

/// The epoch and weights that a request was admitted to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Admission {
    /// The open epoch.
    pub epoch: Epoch,
    /// Digest of the bundle that the engine runs the request with.
    pub weights: Digest,
}

/// What an input changed at the gate. An agent reports to its entries at once if anything changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GateChange {
    /// The input closed all epochs below this one.
    pub closed_below: Option<Epoch>,
    /// The input opened this epoch.
    pub opened: Option<Epoch>,
}

impl GateChange {
    /// Returns whether anything changed.
    pub fn is_some(&self) -> bool {
        *self != Self::default()
    }
}

/// The right to admit requests of one epoch until an instant of the agent's own clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Lease {
    epoch: Epoch,
    until: Instant,
}

/// The weights that the agent has of one epoch, and how far they are loaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct EpochWeights {
    phase: WeightsPhase,
    weights: Option<Digest>,
}

/// The parts of an entry's last directive that the gate still needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct LastDirective {
    received_at: Instant,
    config: Offset,
    swap_to: Option<Epoch>,
}

/// Admits requests while the agent holds a lease for an epoch that its engine has loaded.
///
/// Invariants: `closed_below` never falls. A lease is for an epoch that is not closed. A closed
/// epoch never opens again. So once an entry has read `closed_below >= T` in a report, this gate
/// admits nothing below `T` until the process ends.
#[derive(Clone, Debug, Default)]
pub struct Gate {
    closed_below: Epoch,
    lease: Option<Lease>,
    weights: BTreeMap<Epoch, EpochWeights>,
    leaving: bool,
    entries: BTreeMap<VmId, LastDirective>,
}

impl Gate {
    /// Creates a gate without weights and without a lease, which admits nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies the directive by which the entry `from` answered the report sent at `sent_at`.
    ///
    /// The lease runs from `sent_at`, never from `now`. An answer that was delayed on the network,
    /// or was read late because the process was suspended, grants only the rest of the lease.
    pub fn on_directive(
        &mut self,
        now: Instant,
        sent_at: Instant,
        from: &VmId,
        directive: &Directive,
    ) -> GateChange {
        let before = (self.closed_below, self.open());
        self.entries
            .retain(|_, last| now.duration_since(last.received_at) < DIRECTIVE_TTL);
        let last = LastDirective {
            received_at: now,
            config: directive.config,
            swap_to: directive.swap_to,
        };
        self.entries.insert(from.clone(), last);
        self.close_below(directive.close_below);
        if let Some(epoch) = directive.open {
            self.apply_lease(epoch, sent_at, directive.lease);
        }
        self.change_since(before)
    }

    /// Records the phase of the weights of `epoch`, and the digest of its bundle once known.
    ///
    /// An epoch opens only when it is [`WeightsPhase::Loaded`] with a digest. A plain service
    /// passes the digest of the bundle without parts.
    pub fn set_phase(
        &mut self,
        epoch: Epoch,
        phase: WeightsPhase,
        weights: Option<Digest>,
    ) -> GateChange {
        let before = (self.closed_below, self.open());
        self.weights.insert(epoch, EpochWeights { phase, weights });
        self.change_since(before)
    }

    /// Removes `epoch`, whose bundle the agent no longer has.
    ///
    /// If the epoch is open, this agent stops admitting it, but `closed_below` stays, so that the
    /// other agents keep it open. An engine with space for one bundle drops its old one this way.
    pub fn remove_epoch(&mut self, epoch: Epoch) -> GateChange {
        let before = (self.closed_below, self.open());
        self.weights.remove(&epoch);
        self.change_since(before)
    }

    /// Admits a request, pinned to the bundle `pin` if one is given.
    ///
    /// The caller checks when a request arrives, and again as the last step before the request
    /// goes to the engine. The second check refuses a request whose lease lapsed while the process
    /// was suspended in between.
    ///
    /// # Errors
    ///
    /// Returns why the request is not run: [`NotRunReason::Leaving`], [`NotRunReason::Closed`],
    /// [`NotRunReason::Lease`] or [`NotRunReason::Weights`].
    pub fn admit(&self, now: Instant, pin: Option<Digest>) -> Result<Admission, NotRunReason> {
        if self.leaving {
            return Err(NotRunReason::Leaving);
        }
        let lease = self.lease.ok_or(NotRunReason::Closed)?;
        let weights = self.loaded(lease.epoch).ok_or(NotRunReason::Closed)?;
        if now >= lease.until {
            return Err(NotRunReason::Lease);
        }
        if pin.is_some_and(|pin| pin != weights) {
            return Err(NotRunReason::Weights);
        }
        Ok(Admission {
            epoch: lease.epoch,
            weights,
        })
    }

    /// Stops admission until the process ends, because the agent is leaving.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Returns whether [`Gate::leave`] was called.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns the open epoch, even if its lease has lapsed.
    pub fn open(&self) -> Option<Epoch> {
        let epoch = self.lease?.epoch;
        self.loaded(epoch).map(|_| epoch)
    }

    /// Returns the epoch below which all epochs are closed.
    pub fn closed_below(&self) -> Epoch {
        self.closed_below
    }

    /// Returns the phase of `epoch`, or `None` if the agent has none of its weights.
    pub fn phase(&self, epoch: Epoch) -> Option<WeightsPhase> {
        self.weights.get(&epoch).map(|held| held.phase)
    }

    /// Fills in the fields of a report that describe the gate.
    pub fn fill_report(&self, report: &mut Report) {
        report.leaving = self.leaving;
        report.closed_below = self.closed_below;
        report.open = self.open();
        report.open_weights = report.open.and_then(|epoch| self.loaded(epoch));
        report.weights = self
            .weights
            .iter()
            .map(|(epoch, held)| (*epoch, held.phase))
            .collect();
    }

    /// Returns the epochs whose bundles the agent may drop while it works towards `target`.
    ///
    /// A closed epoch may be dropped. An epoch that is neither closed nor open may still be needed,
    /// since an entry may have begun to switch to it. Such an epoch may be dropped once every entry
    /// in contact with the agent has a configuration of `target` or later, because these entries
    /// begin no switch to an epoch before `target`. The caller checks for requests that still run
    /// on a closed epoch.
    pub fn droppable(&self, target: Epoch) -> Vec<Epoch> {
        let entries_at_target = self.entries.values().all(|last| last.config >= target);
        self.weights
            .keys()
            .copied()
            .filter(|epoch| Some(*epoch) != self.lease.map(|lease| lease.epoch))
            .filter(|epoch| *epoch < target)
            .filter(|epoch| {
                *epoch < self.closed_below || (*epoch > self.closed_below && entries_at_target)
            })
            .collect()
    }

    /// Returns whether an engine with space for one bundle may drop the open one to load `target`.
    ///
    /// This is allowed if all epochs below `target` are closed anyway, or if an entry has chosen
    /// this agent as one of those that load first.
    pub fn may_swap(&self, target: Epoch) -> bool {
        let chosen = self
            .entries
            .values()
            .any(|last| last.swap_to == Some(target));
        chosen || self.closed_below >= target
    }

    fn loaded(&self, epoch: Epoch) -> Option<Digest> {
        let held = self.weights.get(&epoch)?;
        held.weights.filter(|_| held.phase == WeightsPhase::Loaded)
    }

    fn close_below(&mut self, epoch: Epoch) {
        self.closed_below = self.closed_below.max(epoch);
        // Invariant: no lease for a closed epoch. An entry that reads the new `closed_below` in a
        // report relies on the agent having dropped the lease already.
        self.lease = self.lease.filter(|lease| lease.epoch >= self.closed_below);
    }

    fn apply_lease(&mut self, epoch: Epoch, sent_at: Instant, length: Duration) {
        if epoch < self.closed_below || length.is_zero() {
            return;
        }
        // A length that overflows the clock is invalid; no entry sends one.
        let Some(until) = sent_at.checked_add(length) else {
            return;
        };
        let renewed = self
            .lease
            .filter(|lease| lease.epoch == epoch)
            .map_or(until, |lease| lease.until.max(until));
        // Opening an epoch closes all before it, so that directives of two entries can't make the
        // gate return to an older epoch.
        self.closed_below = epoch;
        self.lease = Some(Lease {
            epoch,
            until: renewed,
        });
    }

    fn change_since(&self, before: (Epoch, Option<Epoch>)) -> GateChange {
        let (closed_below, open) = before;
        GateChange {
            closed_below: Some(self.closed_below).filter(|now| *now > closed_below),
            opened: self.open().filter(|now| Some(*now) != open),
        }
    }
}
