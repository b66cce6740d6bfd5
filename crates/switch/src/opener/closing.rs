//! When a switch begins: enough agents have the weights, and nobody's silence would hold it up.

use std::time::Instant;

use wagtailreel_core::{Epoch, ServiceState, WeightsPhase};

use super::{Opener, Switch};
use crate::ready::{choose_swaps, needed};
use crate::table::AgentRow;

impl Opener {
    /// Says whether the switch to the target is to begin now, noting since when it could.
    pub(super) fn should_close(&self, now: Instant, name: &str, switch: &mut Switch) -> bool {
        let target = self.target(name);
        let Some(known) = self.state.services.get(name) else {
            return false;
        };
        if target <= switch.close_below {
            switch.ready_since = None;
            switch.at_hand_since = None;
            switch.swaps = None;
            return false;
        }
        let place = known
            .document
            .as_ref()
            .and_then(|document| document.place(&self.cfg.data_centre));
        let Some(place) = place else {
            // Deleted, or no longer in this data centre: there is nothing to wait for.
            return true;
        };
        let agents = self.candidates(now, name, known);
        let one_bundle = agents.iter().any(|row| row.report.bundles == 1);
        let listed = self
            .listed
            .get(name)
            .map(|listed| agents.len().max(*listed));
        let needed = needed(place, listed, one_bundle);
        let at_hand = agents.iter().filter(|row| is_at_hand(row, target)).count();
        if at_hand < needed {
            switch.at_hand_since = None;
        }
        // Entries that choose while they know of different agents choose different ones, and all
        // of them together could leave nobody to serve: so all agents are waited for, for a while.
        let all = at_hand >= listed.unwrap_or(agents.len());
        let may_swap = at_hand >= needed && (all || self.has_waited(now, switch, target));
        let chosen = (one_bundle && may_swap).then(|| choose_swaps(target, needed, &agents));
        switch.swaps = chosen.map(|vms| (target, vms));
        let loaded = agents.iter().filter(|row| has_loaded(row, target)).count();
        if loaded < needed {
            switch.ready_since = None;
            return false;
        }
        let since = *switch.ready_since.get_or_insert(now);
        let waited = now >= since + self.timing.max_lease() * 2;
        let responsive = self.is_responsive(now, name, switch.close_below, target);
        self.peers.may_grant(now) && (responsive || waited)
    }

    /// Says whether enough agents have had the weights of `target` at hand for so long that the
    /// rest is not waited for.
    fn has_waited(&self, now: Instant, switch: &mut Switch, target: Epoch) -> bool {
        let since = switch.at_hand_since.filter(|(epoch, _)| *epoch == target);
        let (_, since) = *switch.at_hand_since.insert(since.unwrap_or((target, now)));
        now >= since + self.timing.max_lease() * 2
    }

    /// Says whether a switch begun now would go through without waiting for anyone's silence.
    fn is_responsive(&self, now: Instant, name: &str, close_below: Epoch, target: Epoch) -> bool {
        let silent = |row: &AgentRow| {
            let age = now.saturating_duration_since(row.contact);
            age >= self.timing.suspect_after() && age < self.timing.max_lease()
        };
        let none_silent = self
            .table
            .agents_of(name)
            .all(|row| row.report.closed_below >= target || !silent(row));
        none_silent && self.peers.is_responsive(now, name, close_below)
    }

    /// Returns the live agents that the document means.
    fn candidates(&self, now: Instant, name: &str, known: &ServiceState) -> Vec<&AgentRow> {
        self.table
            .agents_of(name)
            .filter(|row| now < row.contact + self.timing.max_lease())
            .filter(|row| !row.report.leaving)
            .filter(|row| self.serves(Some(known), known.epoch, &row.report.vm))
            .collect()
    }
}

/// Says whether the weights of `epoch` are verified at the agent, or further.
fn is_at_hand(row: &AgentRow, epoch: Epoch) -> bool {
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
