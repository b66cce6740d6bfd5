//! When a switch begins: enough agents have loaded the target, and no silent process would delay
//! the step from closing to opening.

use std::time::Instant;

use wagtailreel_core::{Epoch, ServiceState, WeightsPhase};

use super::{Opener, Switch};
use crate::ready::{choose_swaps, required};
use crate::table::AgentRow;

impl Opener {
    /// Returns whether the switch to the target should begin now. Updates the times since which
    /// enough agents are ready, and the agents chosen to swap.
    pub(super) fn should_close(&self, now: Instant, name: &str, switch: &mut Switch) -> bool {
        let target = self.target(name);
        let Some(known) = self.state.services.get(name) else {
            return false;
        };
        if target <= switch.close_below {
            switch.ready_since = None;
            switch.staged_since = None;
            switch.swaps = None;
            return false;
        }
        let place = known
            .document
            .as_ref()
            .and_then(|document| document.place(&self.cfg.data_centre));
        let Some(place) = place else {
            // The service was deleted, or left this data centre: no agent has to load anything.
            return true;
        };
        let agents = self.candidates(now, name, known);
        let one_bundle = agents.iter().any(|row| row.report.bundles == 1);
        let listed = self
            .listed
            .get(name)
            .map(|listed| agents.len().max(*listed));
        let required = required(place, listed, one_bundle);
        let staged = agents.iter().filter(|row| is_staged(row, target)).count();
        if staged < required {
            switch.staged_since = None;
        }
        // Entries that know of different agents choose different ones, and between them could choose
        // all agents, so that none is left to serve. So swaps wait, for a limited time, until all
        // agents have staged the weights.
        let all = staged >= listed.unwrap_or(agents.len());
        let may_swap =
            staged >= required && (all || self.staging_wait_is_over(now, switch, target));
        let chosen = (one_bundle && may_swap).then(|| choose_swaps(target, required, &agents));
        switch.swaps = chosen.map(|vms| (target, vms));
        let loaded = agents.iter().filter(|row| has_loaded(row, target)).count();
        if loaded < required {
            switch.ready_since = None;
            return false;
        }
        let since = *switch.ready_since.get_or_insert(now);
        let waited = now >= since + self.timing.max_lease() * 2;
        let responsive = self.is_responsive(now, name, switch.close_below, target);
        self.peers.may_grant(now) && (responsive || waited)
    }

    /// Returns whether enough agents have had the weights of `target` staged for so long that the
    /// swaps no longer wait for the other agents.
    fn staging_wait_is_over(&self, now: Instant, switch: &mut Switch, target: Epoch) -> bool {
        let since = switch.staged_since.filter(|(epoch, _)| *epoch == target);
        let (_, since) = *switch.staged_since.insert(since.unwrap_or((target, now)));
        now >= since + self.timing.max_lease() * 2
    }

    /// Returns whether a switch begun now would not have to wait until a silent agent's lease lapses
    /// or a silent peer counts as gone.
    fn is_responsive(&self, now: Instant, name: &str, close_below: Epoch, target: Epoch) -> bool {
        let silent = |row: &AgentRow| {
            let age = now.saturating_duration_since(row.last_contact);
            age >= self.timing.suspect_after() && age < self.timing.max_lease()
        };
        let none_silent = self
            .table
            .agents_of(name)
            .all(|row| row.report.closed_below >= target || !silent(row));
        none_silent && self.peers.is_responsive(now, name, close_below)
    }

    /// Returns the live agents that the document places the service on.
    fn candidates(&self, now: Instant, name: &str, known: &ServiceState) -> Vec<&AgentRow> {
        self.table
            .agents_of(name)
            .filter(|row| now < row.last_contact + self.timing.max_lease())
            .filter(|row| !row.report.leaving)
            .filter(|row| self.serves(Some(known), known.epoch, &row.report.vm))
            .collect()
    }
}

/// Returns whether the weights of `epoch` are verified at the agent, or already loading or loaded.
fn is_staged(row: &AgentRow, epoch: Epoch) -> bool {
    let phase = row.report.weights.get(&epoch);
    phase.is_some_and(|phase| {
        matches!(
            phase,
            WeightsPhase::Staged | WeightsPhase::Loading | WeightsPhase::Loaded
        )
    })
}

fn has_loaded(row: &AgentRow, epoch: Epoch) -> bool {
    row.report.weights.get(&epoch) == Some(&WeightsPhase::Loaded)
}
