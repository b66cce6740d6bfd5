//! How a request ended.

use std::time::Duration;

use http::StatusCode;
use wagtailreel_core::{Digest, Epoch, Outcome};

/// How a request ended, as the caller saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The stream was closed by `end`.
    Answered {
        /// Tokens, as the closing event says.
        tokens: u32,
        /// Digest of the bundle, as the closing event says.
        weights: Digest,
        /// Epoch, as the closing event says.
        epoch: Epoch,
    },
    /// The request was never started.
    NotRun {
        /// Why, in wire text.
        reason: String,
        /// Whether the headers tell when to come back, and when.
        retry_after: Option<Duration>,
        /// Status of the answer.
        status: StatusCode,
    },
    /// It may have been started.
    Unknown {
        /// Why.
        reason: String,
    },
    /// The entry answered without an outcome, such as `401`.
    Refused {
        /// Status of the answer.
        status: StatusCode,
        /// Body of the answer.
        body: String,
    },
    /// The connection failed before any outcome came.
    Lost {
        /// What failed.
        detail: String,
    },
    /// What came breaks the protocol.
    Malformed {
        /// What is wrong.
        detail: String,
    },
}

impl Ending {
    /// Returns the outcome that the system stated, if it stated one.
    pub fn outcome(&self) -> Option<Outcome> {
        match self {
            Self::Answered { .. } => Some(Outcome::Answered),
            Self::NotRun { .. } => Some(Outcome::NotRun),
            Self::Unknown { .. } => Some(Outcome::Unknown),
            Self::Refused { .. } | Self::Lost { .. } | Self::Malformed { .. } => None,
        }
    }

    /// Returns a short word for tables: the outcome, or what came in its place.
    pub fn word(&self) -> &'static str {
        match self {
            Self::Answered { .. } => "answered",
            Self::NotRun { .. } => "not-run",
            Self::Unknown { .. } => "unknown",
            Self::Refused { .. } => "refused",
            Self::Lost { .. } => "lost",
            Self::Malformed { .. } => "malformed",
        }
    }

    /// Returns the reason in words; empty for an answer.
    pub fn reason(&self) -> String {
        match self {
            Self::Answered { .. } => String::new(),
            Self::NotRun { reason, .. } | Self::Unknown { reason } => reason.clone(),
            Self::Refused { status, .. } => status.as_str().to_owned(),
            Self::Lost { detail } | Self::Malformed { detail } => detail.clone(),
        }
    }
}

pub(super) fn malformed(detail: &str) -> Ending {
    Ending::Malformed {
        detail: detail.to_owned(),
    }
}
