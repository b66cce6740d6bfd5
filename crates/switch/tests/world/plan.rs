//! What befalls the world, and when.

use wagtailreel_core::Epoch;

/// What befalls a process.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    /// It stands still for so many ms; what it was sending goes out at the end.
    Suspend(u64),
    /// It is killed and starts again after so many ms with nothing remembered.
    Restart(u64),
    /// An entry is killed and another VM takes its place; the list of VMs lags.
    Replace(u64),
}

/// When a fault strikes.
#[derive(Clone, Copy, Debug)]
pub(crate) enum When {
    /// At a time in ms.
    At(u64),
    /// At the n-th step of any switch, in the middle of the handler that takes it.
    Step(usize),
    /// When the first entry begins to close below an epoch, in the middle of that handler.
    Close(Epoch),
}

/// Who is struck.
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
    /// Entries that an agent reports to.
    pub(crate) entries_per_agent: usize,
    pub(crate) ready: u32,
    pub(crate) bundles: u32,
    /// Highest delay of a message in ms; the lowest is 1.
    pub(crate) delay: u64,
    /// Messages lost in 100; never two in a row on one way.
    pub(crate) loss: u64,
    /// Times of edits in ms; the epoch of the n-th is 10(n+1).
    pub(crate) edits: Vec<u64>,
    /// The weights of each edit; the n-th has its own if the list is too short.
    pub(crate) versions: Vec<u64>,
    /// Highest lag of a new state or list at a process in ms.
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
