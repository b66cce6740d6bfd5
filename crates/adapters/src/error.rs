//! What can go wrong between the system and an outside system.

use std::time::Duration;

use ::http::StatusCode;
use hyper_util::client::legacy::Error as ClientError;
use snafu::Snafu;

/// Whether an order that failed may have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Effect {
    /// The order certainly had no effect.
    No,
    /// The order may have had its effect; only its answer is missing.
    Maybe,
}

/// What happened on the way to or from an outside system.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum TransportError {
    /// No connection could be made.
    #[snafu(display("no connection: {source}"))]
    Connect {
        /// What the client says.
        source: ClientError,
    },
    /// The connection closed before any of the request was sent.
    #[snafu(display("closed before the request was sent: {source}"))]
    Unsent {
        /// What the client says.
        source: ClientError,
    },
    /// No connection was there in time.
    #[snafu(display("no connection after {after:?}"))]
    NoConnection {
        /// How long the client waited.
        after: Duration,
    },
    /// The connection broke after the request was sent, in part at least.
    #[snafu(display("broken after sending: {source}"))]
    Exchange {
        /// What the client says.
        source: ClientError,
    },
    /// The answer did not come in time.
    #[snafu(display("no answer after {after:?}"))]
    Timeout {
        /// How long the client waited.
        after: Duration,
    },
    /// The answer's body broke off.
    #[snafu(display("broken answer: {source}"))]
    BrokenBody {
        /// What the connection says.
        source: hyper::Error,
    },
    /// The answer ended before its last part.
    #[snafu(display("the answer ended early"))]
    Cut,
}

/// An outside system did not do, or may not have done, what it was asked.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum PlatformError {
    /// Nothing was sent.
    #[snafu(display(
        "{peer} can't be reached ({source}): check that it runs and that its address is right"
    ))]
    Unreachable {
        /// Address of the outside system.
        peer: String,
        /// What happened.
        source: TransportError,
    },
    /// The outside system answered that it won't.
    #[snafu(display("{peer} refused with {status}: {body}; try again later or mend the request"))]
    Refused {
        /// Address of the outside system.
        peer: String,
        /// Status of the answer.
        status: StatusCode,
        /// When to come back, if the answer says so.
        retry_after: Option<Duration>,
        /// Text of the answer, cut short if it is long.
        body: String,
    },
    /// The request was sent, but its answer is missing, broken or late.
    #[snafu(display(
        "the answer of {peer} is lost ({source}): find out whether it took effect before repeating"
    ))]
    Lost {
        /// Address of the outside system.
        peer: String,
        /// What happened.
        source: TransportError,
    },
    /// The log no longer keeps the wanted records.
    #[snafu(display("the log keeps only {first} to {next}: start from a snapshot or a peer"))]
    Gone {
        /// Oldest offset kept.
        first: u64,
        /// Offset that the next append gets.
        next: u64,
    },
    /// The answer doesn't keep to the protocol.
    #[snafu(display("{peer} broke the protocol: {reason}; check its version and address"))]
    Protocol {
        /// Address of the outside system.
        peer: String,
        /// What is wrong.
        reason: String,
    },
}

impl PlatformError {
    /// Says whether the order may have taken effect.
    ///
    /// A refusal is certain only for statuses that say so: client errors (but for a request
    /// timeout), "unavailable" and "no place left". Any other server error may have come
    /// after the act.
    pub fn took_effect(&self) -> Effect {
        match self {
            Self::Unreachable { .. } | Self::Gone { .. } => Effect::No,
            Self::Refused { status, .. } if is_certain_refusal(*status) => Effect::No,
            Self::Refused { .. } | Self::Lost { .. } | Self::Protocol { .. } => Effect::Maybe,
        }
    }

    /// Returns the status of a refusal.
    pub fn status(&self) -> Option<StatusCode> {
        match self {
            Self::Refused { status, .. } => Some(*status),
            _ => None,
        }
    }

    /// Returns when to come back, if the outside system said so.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Refused { retry_after, .. } => *retry_after,
            _ => None,
        }
    }
}

/// Says whether `status` means that nothing was done.
fn is_certain_refusal(status: StatusCode) -> bool {
    match status {
        StatusCode::REQUEST_TIMEOUT => false,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::INSUFFICIENT_STORAGE => true,
        other => other.is_client_error(),
    }
}
