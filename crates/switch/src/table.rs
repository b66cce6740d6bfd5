//! The agents that report to an entry, and the leases they may hold.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use wagtailreel_core::{Epoch, Incarnation, Report, VmId};

use crate::Timing;

/// One start of an agent.
#[derive(Clone, Debug)]
pub(crate) struct AgentRow {
    /// Latest report.
    pub(crate) report: Report,
    /// When the last message from the agent came in, be it a report or a watch.
    pub(crate) contact: Instant,
}

/// The agents that report to an entry, each start of an agent on its own.
///
/// A lease runs from when the agent sent its message, which is before that came in. So an agent
/// can hold no lease of this entry for longer than a lease after `contact`, and grants need no
/// record of their own. The rows of an agent's earlier starts are kept until then: nothing is
/// assumed about whether the old process has ended.
#[derive(Clone, Debug, Default)]
pub(crate) struct Table {
    rows: BTreeMap<VmId, BTreeMap<Incarnation, AgentRow>>,
}

impl Table {
    /// Takes in a report. Returns whether it is news; a late one is passed over.
    pub(crate) fn on_report(&mut self, now: Instant, report: &Report) -> bool {
        let starts = self.rows.entry(report.vm.clone()).or_default();
        let late = starts.last_key_value().is_some_and(|(incarnation, row)| {
            *incarnation > report.incarnation
                || (*incarnation == report.incarnation && row.report.sequence >= report.sequence)
        });
        if late {
            return false;
        }
        let row = AgentRow {
            report: report.clone(),
            contact: now,
        };
        starts.insert(report.incarnation, row);
        true
    }

    /// Notes a message from an agent that carries no report. Returns whether the agent is known.
    pub(crate) fn on_contact(&mut self, now: Instant, vm: &str, incarnation: Incarnation) -> bool {
        let Some((newest, row)) = self.newest_mut(vm) else {
            return false;
        };
        if newest != incarnation {
            return false;
        }
        row.contact = now;
        true
    }

    /// Returns the row of an agent's newest start.
    pub(crate) fn newest(&self, vm: &str) -> Option<&AgentRow> {
        self.rows.get(vm)?.last_key_value().map(|(_, row)| row)
    }

    /// Returns the rows of a service's agents, newest starts only.
    pub(crate) fn agents_of(&self, service: &str) -> impl Iterator<Item = &AgentRow> {
        self.rows
            .values()
            .filter_map(|starts| starts.last_key_value().map(|(_, row)| row))
            .filter(move |row| row.report.service == service)
    }

    /// Returns the epoch below which no agent of the service can hold a lease from this entry;
    /// none if no agent can hold any lease.
    pub(crate) fn closed_below(
        &self,
        now: Instant,
        timing: Timing,
        service: &str,
    ) -> Option<Epoch> {
        self.rows
            .values()
            .flat_map(BTreeMap::values)
            .filter(|row| row.report.service == service)
            .filter(|row| now < row.contact + timing.max_lease())
            .map(|row| row.report.closed_below)
            .min()
    }

    /// Forgets starts that have been silent for `age`.
    pub(crate) fn forget_silent(&mut self, now: Instant, age: Duration) {
        for starts in self.rows.values_mut() {
            starts.retain(|_, row| now < row.contact + age);
        }
        self.rows.retain(|_, starts| !starts.is_empty());
    }

    fn newest_mut(&mut self, vm: &str) -> Option<(Incarnation, &mut AgentRow)> {
        let (incarnation, row) = self.rows.get_mut(vm)?.iter_mut().next_back()?;
        Some((*incarnation, row))
    }
}
