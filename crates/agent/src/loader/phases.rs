//! Phases of the weights of each epoch, as reported to the gate.

use wagtailreel_core::{Epoch, WeightsPhase};

use super::{Action, Command, Loader, Staged};

impl Loader {
    /// Returns the phases that changed since they were last reported to the gate.
    pub(super) fn phases(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        for (epoch, staged) in &self.epochs {
            if self.admission_stopped.contains(epoch) {
                continue;
            }
            let now = (self.phase(*epoch, staged), staged.bundle);
            if self.reported_phases.insert(*epoch, now) != Some(now) {
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
        let is_loading = matches!(self.command, Some(Command::Load { epoch: e, .. }) if e == epoch);
        let was = self.reported_phases.get(&epoch).map(|reported| reported.0);
        let is_held = staged.bundle.is_some_and(|bundle| self.holds(&bundle));
        if is_loading {
            return WeightsPhase::Loading;
        }
        if self.unverified {
            // The phase from before the command stays until the next status of the engine.
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
}
