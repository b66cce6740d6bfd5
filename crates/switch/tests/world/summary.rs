//! Summary of a process for the transcript.

use std::fmt;

use super::*;

/// The state of a process that the transcript shows: epochs closed and granted, or closed and admitted.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Summary {
    Entry(Epoch, Option<Epoch>),
    Agent(Epoch, Result<Epoch, NotRunReason>),
}

impl Summary {
    pub(crate) fn of(process: &Process, now: Instant) -> Self {
        match &process.kind {
            Kind::Entry(opener, _) => {
                let (granting, close_below) = opener.epochs(now, SERVICE);
                Self::Entry(close_below, granting)
            }
            Kind::Agent(agent) => {
                let admits = agent.gate.admit(now, None).map(|it| it.epoch);
                Self::Agent(agent.gate.closed_below(), admits)
            }
        }
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Entry(close_below, Some(epoch)) => {
                write!(f, "closes below {close_below}, grants {epoch}")
            }
            Self::Entry(close_below, None) => {
                write!(f, "closes below {close_below}, grants nothing")
            }
            Self::Agent(closed_below, Ok(epoch)) => {
                write!(f, "closed below {closed_below}, admits {epoch}")
            }
            Self::Agent(closed_below, Err(reason)) => {
                write!(f, "closed below {closed_below}, refuses ({reason})")
            }
        }
    }
}
