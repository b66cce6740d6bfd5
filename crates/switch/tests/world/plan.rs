//! Plan of a simulated session: its size, network, edits and faults.

use wagtailreel_core::Epoch;

/// A fault of a process.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    /// The process is suspended for so many ms. Messages that it was sending are sent at the end.
    Suspend(u64),
    /// The process is killed and starts again, without its state, after so many ms.
    Restart(u64),
    /// An entry is killed, and a new VM replaces it after so many ms. Processes get the changed list of
    /// VMs with a lag.
    Replace(u64),
}

/// When a fault is injected.
#[derive(Clone, Copy, Debug)]
pub(crate) enum When {
    /// At a time in ms.
    At(u64),
    /// At the n-th step of any switch, in the middle of the handler that takes it.
    Step(usize),
    /// When the first entry begins to close below an epoch, in the middle of that handler.
    Close(Epoch),
}

/// The process that a fault is injected into.
#[derive(Clone, Copy, Debug)]
pub(crate) enum FaultTarget {
    /// The process that takes the step, or the first entry.
    Actor,
    Entry(usize),
    Agent(usize),
}

#[derive(Clone, Debug)]
pub(crate) struct Plan {
    pub(crate) seed: u64,
    pub(crate) entries: usize,
    pub(crate) agents: usize,
    /// Number of entries that an agent reports to.
    pub(crate) entries_per_agent: usize,
    pub(crate) ready: u32,
    pub(crate) bundles: u32,
    /// Maximum delay of a message in ms. The minimum is 1.
    pub(crate) delay: u64,
    /// Percentage of messages lost, but never two in a row from one process to another.
    pub(crate) loss: u64,
    /// Times of edits in ms. The epoch of the edit with index n is 10(n+1).
    pub(crate) edits: Vec<u64>,
    /// Version of the weights of each edit. Edits beyond the end of the list have weights of their own.
    pub(crate) versions: Vec<u64>,
    /// Maximum lag in ms until a process gets a new state or list of VMs.
    pub(crate) lag: u64,
    pub(crate) faults: Vec<(When, FaultTarget, Fault)>,
}

impl Plan {
    pub(crate) fn new(entries: usize, agents: usize) -> Self {
        Self {
            seed: 1,
            entries,
            agents,
            entries_per_agent: entries,
            ready: u32::try_from(agents).unwrap(),
            bundles: 2,
            delay: 1,
            loss: 0,
            edits: vec![0],
            versions: Vec::new(),
            lag: 0,
            faults: Vec::new(),
        }
    }
}
