//! The agents that report to an entry, and the epochs for which they may hold leases.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use wagtailreel_core::{Epoch, Incarnation, Report, VmId};

use crate::Timing;

/// The last report and contact of one start of an agent.
#[derive(Clone, Debug)]
pub(crate) struct AgentRow {
    /// The newest report.
    pub(crate) report: Report,
    /// Time of receipt of the last message from the agent, a report or a watch.
    pub(crate) last_contact: Instant,
}

/// The agents that report to an entry, with one row for each start of an agent.
///
/// A lease runs from the time at which the agent sent its message, which is before the message was
/// received. So an agent holds no lease of this entry for longer than the length of a lease after
/// `last_contact`, and the entry needs no record of its grants. The rows of earlier starts of an
/// agent are kept until then, because the old process may still be running.
#[derive(Clone, Debug, Default)]
pub(crate) struct AgentTable {
    rows: BTreeMap<VmId, BTreeMap<Incarnation, AgentRow>>,
}

impl AgentTable {
    /// Records a report. Returns whether the report is newer than the last one; a late report is
    /// ignored.
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
            last_contact: now,
        };
        starts.insert(report.incarnation, row);
        true
    }

    /// Records a message without a report. Returns whether it is from the newest start of a known
    /// agent.
    pub(crate) fn on_contact(&mut self, now: Instant, vm: &str, incarnation: Incarnation) -> bool {
        let Some((newest, row)) = self.newest_mut(vm) else {
            return false;
        };
        if newest != incarnation {
            return false;
        }
        row.last_contact = now;
        true
    }

    /// Returns the row of an agent's newest start.
    pub(crate) fn newest(&self, vm: &str) -> Option<&AgentRow> {
        self.rows.get(vm)?.last_key_value().map(|(_, row)| row)
    }

    /// Returns the rows of the newest starts of a service's agents.
    pub(crate) fn agents_of(&self, service: &str) -> impl Iterator<Item = &AgentRow> {
        self.rows
            .values()
            .filter_map(|starts| starts.last_key_value().map(|(_, row)| row))
            .filter(move |row| row.report.service == service)
    }

    /// Returns the epoch below which no agent of the service can hold a lease from this entry, or
    /// `None` if no agent can hold any lease.
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
            .filter(|row| now < row.last_contact + timing.max_lease())
            .map(|row| row.report.closed_below)
            .min()
    }

    /// Evicts the rows of starts that have been silent for `age`.
    pub(crate) fn evict_silent(&mut self, now: Instant, age: Duration) {
        for starts in self.rows.values_mut() {
            starts.retain(|_, row| now < row.last_contact + age);
        }
        self.rows.retain(|_, starts| !starts.is_empty());
    }

    fn newest_mut(&mut self, vm: &str) -> Option<(Incarnation, &mut AgentRow)> {
        let (incarnation, row) = self.rows.get_mut(vm)?.iter_mut().next_back()?;
        Some((*incarnation, row))
    }
}
