//! The requests and events of a ranked laboratory.

use std::time::Duration;

use wagtailreel_route::direct::Pick;

/// One request of a caller, with its repeat.
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub(super) kind: usize,
    pub(super) entry: usize,
    pub(super) rank: u8,
    pub(super) prompt: u32,
    pub(super) answer: u32,
    pub(super) first_sent: Duration,
    pub(super) sent: Duration,
    pub(super) is_repeat: bool,
    pub(super) pick: Option<Pick>,
}

/// An event of the simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Step {
    Arrival(usize),
    Return(usize),
    Report(usize, u32),
    /// An entry queries agents, for their mean admission level.
    Query(usize, u32),
    Begins(usize, usize),
    Ends(usize, usize),
}
