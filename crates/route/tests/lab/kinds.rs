//! Load patterns of requests that differ in rank, length and objective.

use std::time::Duration;

/// One kind of request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Kind {
    pub(crate) rank: u8,
    /// Requests per second at the usual rate.
    pub(crate) rate: f64,
    pub(crate) prompt: u32,
    pub(crate) answer: u32,
    pub(crate) objective: Duration,
}

/// More requests of one kind for a while.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Burst {
    pub(crate) kind: usize,
    pub(crate) factor: f64,
    pub(crate) from: Duration,
    pub(crate) to: Duration,
}

/// A load pattern, and which mechanisms the entries use.
#[derive(Clone, Debug)]
pub(crate) struct RankedPattern {
    pub(crate) kinds: Vec<Kind>,
    /// Share of the requests that each data centre gets.
    pub(crate) data_centres: Vec<f64>,
    /// Entries and engines in each data centre.
    pub(crate) entries: usize,
    pub(crate) engines: usize,
    pub(crate) slots: u32,
    pub(crate) burst: Option<Burst>,
    pub(crate) span: Duration,
    /// Share of the refused callers that come back at once.
    pub(crate) impatient: f64,
    /// Whether entries decide on admission.
    pub(crate) is_controlled: bool,
    /// Whether entries exchange their levels by agents.
    pub(crate) exchanges_levels: bool,
}
