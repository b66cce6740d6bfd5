//! The tables of an account.

use serde::Serialize;

/// The tables of an account.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Summary {
    /// Lines that were read.
    pub lines: u64,
    /// Lines that hold no whole event.
    pub damaged: u64,
    /// Entries whose start stands in the lines.
    pub processes: usize,
    /// Requests that were answered by upstreams.
    pub answered: u64,
    /// What requests were lost to.
    pub losses: Vec<LossRow>,
    /// Calls to the registry.
    pub calls: Vec<CallRow>,
    /// What processes told each other of weights.
    pub namings: Vec<NamingRow>,
}

/// Requests that were lost in one second, in one data centre, for one reason.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct LossRow {
    /// Seconds since the first line.
    pub second: u64,
    /// Data centre of the entry.
    pub data_centre: String,
    /// How the request ended; `late` for answers over the limit.
    pub reason: String,
    /// Requests.
    pub count: u64,
}

/// Calls to the registry of one kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CallRow {
    /// Data centre of the caller; `unknown` for agents.
    pub data_centre: String,
    /// Topic that was read.
    pub topic: String,
    /// Why the process called itself.
    pub cause: String,
    /// What came of it.
    pub outcome: String,
    /// Calls.
    pub count: u64,
    /// Median latency in milliseconds.
    pub median_ms: u64,
    /// 99th percentile of the latency in milliseconds.
    pub p99_ms: u64,
}

/// What processes told each other of one naming of weights.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct NamingRow {
    /// The model.
    pub model: String,
    /// The version.
    pub version: String,
    /// Times that an entry learned of another process since when the weights are named.
    pub learned: usize,
    /// By how much the told moment lies before the first read in the registry, in seconds, at the
    /// median; none if no process read the naming as news.
    pub median_before_s: Option<f64>,
    /// The most of it. What is above the pace of reading was told too old.
    pub most_before_s: Option<f64>,
}
