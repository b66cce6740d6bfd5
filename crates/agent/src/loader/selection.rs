//! Selection of the bundle to unload and of the bundle to load next.

use std::collections::BTreeSet;

use wagtailreel_core::{Digest, Epoch};

use super::{Action, Loader, View};

impl Loader {
    /// Removes drained epochs that are removable; returns whether a bundle must be unloaded first.
    pub(super) fn unload_drained(&mut self, view: &View<'_>, actions: &mut Vec<Action>) -> bool {
        let removable = self.removable_epochs(view);
        for epoch in removable.iter().filter(|epoch| is_drained(view, **epoch)) {
            let held = self.bundle_of(*epoch).filter(|bundle| self.holds(bundle));
            if let Some(bundle) = held.filter(|bundle| !self.is_in_use(view, &removable, *bundle)) {
                self.push_unload(bundle, actions);
                return true;
            }
            self.remove_epoch(*epoch);
            actions.push(Action::RemoveEpoch { epoch: *epoch });
        }
        false
    }

    /// Returns the epochs whose bundle and chunks may be dropped or no longer exist.
    fn removable_epochs(&self, view: &View<'_>) -> BTreeSet<Epoch> {
        let has_gone = |epoch: &Epoch| {
            let bundle = self.bundle_of(*epoch);
            !view.staged.contains_key(epoch) && !bundle.is_some_and(|it| self.holds(&it))
        };
        let mut removable: BTreeSet<Epoch> = self.epochs.keys().copied().filter(has_gone).collect();
        removable.extend(&self.admission_stopped);
        removable.extend(view.droppable);
        removable.retain(|epoch| self.epochs.contains_key(epoch));
        if view.wanted {
            removable.remove(&view.epoch);
        }
        removable
    }

    /// Returns whether `bundle` is needed by an epoch that stays, or by requests of a removable one.
    fn is_in_use(&self, view: &View<'_>, removable: &BTreeSet<Epoch>, bundle: Digest) -> bool {
        self.epochs
            .iter()
            .filter(|(epoch, _)| !removable.contains(epoch) || !is_drained(view, **epoch))
            .any(|(_, staged)| staged.bundle == Some(bundle))
    }

    /// Returns the epoch to load next: the open one if the engine lost its bundle, then the wanted one.
    pub(super) fn next_load(&self, view: &View<'_>) -> Option<(Epoch, Digest)> {
        let lost_open = Some(view.closed_below)
            .filter(|epoch| *epoch != view.epoch)
            // An engine that holds one bundle loads the new one instead of the old one again.
            .filter(|_| self.capacity > 1 || !self.is_wanted_staged(view));
        let wanted = Some(view.epoch).filter(|_| view.wanted);
        lost_open
            .into_iter()
            .chain(wanted)
            .filter(|epoch| {
                !self.admission_stopped.contains(epoch) && !view.droppable.contains(epoch)
            })
            .find_map(|epoch| {
                let staged = self.epochs.get(&epoch).filter(|staged| staged.complete)?;
                let bundle = staged.bundle.filter(|bundle| !self.holds(bundle))?;
                Some((epoch, bundle))
            })
    }

    /// Returns whether all chunks of the wanted epoch are staged.
    fn is_wanted_staged(&self, view: &View<'_>) -> bool {
        let staged = self.epochs.get(&view.epoch);
        view.wanted && staged.is_some_and(|staged| staged.complete)
    }

    /// Unloads a bundle that belongs to no epoch, or closes the open epoch if the gate permits.
    pub(super) fn free_capacity(
        &mut self,
        view: &View<'_>,
        target: Epoch,
        actions: &mut Vec<Action>,
    ) {
        let known: BTreeSet<Digest> = self.epochs.values().filter_map(|s| s.bundle).collect();
        let unknown = self
            .bundles()
            .find(|bundle| !known.contains(*bundle))
            .copied();
        if let Some(bundle) = unknown {
            self.push_unload(bundle, actions);
            return;
        }
        if target != view.epoch || !view.may_swap || !self.admission_stopped.is_empty() {
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
            self.admission_stopped.insert(epoch);
            self.reported_phases.remove(&epoch);
            actions.push(Action::StopAdmission { epoch });
        }
    }

    pub(super) fn has_capacity(&self) -> bool {
        self.bundles().count() < self.capacity
    }
}

/// Returns whether no request of `epoch` runs.
fn is_drained(view: &View<'_>, epoch: Epoch) -> bool {
    view.running.get(&epoch).copied().unwrap_or(0) == 0
}
