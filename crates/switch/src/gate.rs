//! The agent's gate: which epoch its requests run in, and whether any may run at all.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use wagtailreel_core::{
    Digest, Directive, Epoch, NotRunReason, Offset, Report, VmId, WeightsPhase,
};

/// How long a directive of an entry counts when the gate compares those of all its entries.
const DIRECTIVE_VALID_FOR: Duration = Duration::from_secs(3);

/// The epoch and weights that a request was admitted to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Admission {
    /// The open epoch.
    pub epoch: Epoch,
    /// Digest of the bundle that the engine runs the request with.
    pub weights: Digest,
}

/// What an input did to the gate. An agent reports at once if anything changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GateChange {
    /// Epochs below this were closed by the input.
    pub closed_below: Option<Epoch>,
    /// This epoch was opened by the input.
    pub opened: Option<Epoch>,
}

impl GateChange {
    /// Says whether the entries have to hear of the change at once.
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

/// What the engine holds of one epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Held {
    phase: WeightsPhase,
    weights: Option<Digest>,
}

/// What the last directive of one entry said.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct LastDirective {
    at: Instant,
    config: Offset,
    swap_to: Option<Epoch>,
}

/// Admits requests while the agent holds a lease for an epoch that its engine has loaded.
///
/// Invariants: `closed_below` never falls; a lease is for an epoch that is not closed; an epoch
/// that was closed never opens again. So once an entry has read `closed_below >= T` in a report,
/// this gate admits nothing below `T` for the rest of the process's life.
#[derive(Clone, Debug, Default)]
pub struct Gate {
    closed_below: Epoch,
    lease: Option<Lease>,
    weights: BTreeMap<Epoch, Held>,
    leaving: bool,
    entries: BTreeMap<VmId, LastDirective>,
}

impl Gate {
    /// Makes a gate that admits nothing and holds nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in what the entry `from` answered to the report that was sent at `sent_at`.
    ///
    /// The lease runs from `sent_at`, never from `now`: an answer that was under way for long, or
    /// lay unread while the process was frozen, grants what is left of it and no more.
    pub fn on_directive(
        &mut self,
        now: Instant,
        sent_at: Instant,
        from: &VmId,
        directive: &Directive,
    ) -> GateChange {
        let before = (self.closed_below, self.open());
        self.entries
            .retain(|_, last| now.duration_since(last.at) < DIRECTIVE_VALID_FOR);
        let last = LastDirective {
            at: now,
            config: directive.config,
            swap_to: directive.swap_to,
        };
        self.entries.insert(from.clone(), last);
        self.close_below(directive.close_below);
        if let Some(epoch) = directive.open {
            self.take_lease(epoch, sent_at, directive.lease);
        }
        self.change_since(before)
    }

    /// Notes how far the engine is with `epoch`, and the digest of its bundle once known.
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
        self.weights.insert(epoch, Held { phase, weights });
        self.change_since(before)
    }

    /// Forgets `epoch`: its bundle is no longer there. An open epoch is left without closing it
    /// for others, which is how an engine that holds one bundle gives up the old one.
    pub fn remove_epoch(&mut self, epoch: Epoch) -> GateChange {
        let before = (self.closed_below, self.open());
        self.weights.remove(&epoch);
        self.change_since(before)
    }

    /// Admits a request, pinned to the bundle `pin` if one is given.
    ///
    /// It is called when a request comes in, and again as the last thing before the request goes
    /// to the engine, so that a process that was frozen in between refuses it.
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

    /// Stops admission for good: the agent is leaving.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Says whether [`Gate::leave`] was called.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns the epoch that is open, whether or not its lease has lapsed.
    pub fn open(&self) -> Option<Epoch> {
        let epoch = self.lease?.epoch;
        self.loaded(epoch).map(|_| epoch)
    }

    /// Returns the epoch below which everything is closed.
    pub fn closed_below(&self) -> Epoch {
        self.closed_below
    }

    /// Returns the phase of `epoch`, if anything of it is there.
    pub fn phase(&self, epoch: Epoch) -> Option<WeightsPhase> {
        self.weights.get(&epoch).map(|held| held.phase)
    }

    /// Fills in what a report says of the gate.
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
    /// A closed epoch may go. One that is neither closed nor open may be needed yet, since an
    /// entry may have begun to switch to it; it may go once every entry that talks to the agent
    /// has a configuration of `target` or later, because such an entry begins no switch to an
    /// epoch before `target`. Requests still running on a closed epoch are the caller's to count.
    pub fn droppable(&self, target: Epoch) -> Vec<Epoch> {
        let settled = self.entries.values().all(|last| last.config >= target);
        self.weights
            .keys()
            .copied()
            .filter(|epoch| Some(*epoch) != self.lease.map(|lease| lease.epoch))
            .filter(|epoch| *epoch < target)
            .filter(|epoch| *epoch < self.closed_below || (*epoch > self.closed_below && settled))
            .collect()
    }

    /// Says whether an engine that holds one bundle may give up the open one to load `target`.
    ///
    /// It may when the open one is closed anyway, or when an entry has chosen this agent to be
    /// among those that load first.
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
        // Invariant: no lease for a closed epoch. Whoever reads the new `closed_below` in a
        // report relies on the lease being gone already.
        self.lease = self.lease.filter(|lease| lease.epoch >= self.closed_below);
    }

    fn take_lease(&mut self, epoch: Epoch, sent_at: Instant, length: Duration) {
        if epoch < self.closed_below || length.is_zero() {
            return;
        }
        // A length that no clock can count comes from no entry of ours.
        let Some(until) = sent_at.checked_add(length) else {
            return;
        };
        let renewed = self
            .lease
            .filter(|lease| lease.epoch == epoch)
            .map_or(until, |lease| lease.until.max(until));
        // Opening an epoch closes all before it, so that two entries can't make the gate go back.
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
