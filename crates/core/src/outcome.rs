//! Outcomes of requests.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::headers;

/// Outcome of a request. A request that may have been started is never reported as not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The caller received the complete answer.
    #[display("answered")]
    Answered,
    /// The request was never started and never will be.
    #[display("not-run")]
    NotRun,
    /// The request may have been started; its answer is missing or incomplete.
    #[display("unknown")]
    Unknown,
}

impl Outcome {
    /// Name of the HTTP header that carries an outcome.
    pub const HEADER: &'static str = headers::OUTCOME;

    /// Parses an outcome from its text on the wire; returns `None` if the text is unknown.
    pub fn from_wire(text: &str) -> Option<Self> {
        match text {
            "answered" => Some(Self::Answered),
            "not-run" => Some(Self::NotRun),
            "unknown" => Some(Self::Unknown),
            _ => None,
        }
    }
}

/// Why a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NotRunReason {
    /// The agent admits no requests in this epoch: a switch is under way.
    #[display("closed")]
    Closed,
    /// The request is pinned to weights that the agent does not serve.
    #[display("weights")]
    Weights,
    /// The agent's lease has expired.
    #[display("lease")]
    Lease,
    /// The agent or the entry is leaving.
    #[display("leaving")]
    Leaving,
    /// Every upstream that could run the request is at capacity.
    #[display("full")]
    Full,
    /// The customer is over its limit.
    #[display("limit")]
    Limit,
    /// The request was cancelled before it started.
    #[display("cancelled")]
    Cancelled,
    /// The deadline passed before the request started.
    #[display("deadline")]
    Deadline,
    /// No upstream for the service is known or reachable.
    #[display("no-upstream")]
    NoUpstream,
    /// The order's key was claimed before: the order ran, or may run, elsewhere.
    #[display("claimed")]
    Claimed,
    /// The order's key is older than the window in which keys are accepted.
    #[display("expired")]
    Expired,
    /// The platform's log is unreachable, so the order can't be claimed.
    #[display("log-away")]
    LogAway,
    /// The upstream refused the request before running it.
    #[display("refused")]
    Refused,
}

impl NotRunReason {
    /// Name of the HTTP header that carries the reason.
    pub const HEADER: &'static str = headers::REASON;
}
