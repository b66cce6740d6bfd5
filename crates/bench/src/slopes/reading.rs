//! What the processes of a fleet have used between two readings.

use std::collections::BTreeMap;

use wagtailreel_core::VmId;

use super::cost::{Cost, read_cost};
use crate::error::Result;
use crate::fleet::Fleet;

/// What every process had used at one moment.
#[derive(Clone, Debug)]
pub(super) struct Reading {
    entries: BTreeMap<VmId, Cost>,
    agents: BTreeMap<VmId, Cost>,
    control_bytes: u64,
}

/// What one process used between two readings, on average over its role.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Used {
    /// Processor time in microseconds.
    pub(super) cpu_us: f64,
    /// Memory at the second reading in bytes.
    pub(super) memory: f64,
}

/// What was used between two readings.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Spent {
    /// An entry.
    pub(super) entry: Used,
    /// An agent.
    pub(super) agent: Used,
    /// Bytes on all control connections, both ways.
    pub(super) control_bytes: f64,
}

impl Reading {
    /// Reads what every process has used so far.
    ///
    /// # Errors
    ///
    /// Returns an error if a process is gone.
    pub(super) async fn take(fleet: &Fleet) -> Result<Self> {
        let mut reading = Self {
            entries: BTreeMap::new(),
            agents: BTreeMap::new(),
            control_bytes: fleet.control_bytes(),
        };
        let entries = fleet.entries();
        for vm in fleet.names(|_| true) {
            if let Some(pid) = fleet.pid(&vm).await? {
                let costs = match entries.contains(&vm) {
                    true => &mut reading.entries,
                    false => &mut reading.agents,
                };
                costs.insert(vm, read_cost(pid)?);
            }
        }
        Ok(reading)
    }

    /// Returns what was used since `before`.
    pub(super) fn since(&self, before: &Self) -> Spent {
        Spent {
            entry: mean(&before.entries, &self.entries),
            agent: mean(&before.agents, &self.agents),
            control_bytes: (self.control_bytes - before.control_bytes) as f64,
        }
    }
}

fn mean(before: &BTreeMap<VmId, Cost>, after: &BTreeMap<VmId, Cost>) -> Used {
    let mut used = Used::default();
    let count = after.len().max(1) as f64;
    for (vm, cost) in after {
        let earlier = before.get(vm).copied().unwrap_or_default();
        used.cpu_us += cost.cpu.saturating_sub(earlier.cpu).as_secs_f64() * 1e6 / count;
        used.memory += cost.memory as f64 / count;
    }
    used
}
