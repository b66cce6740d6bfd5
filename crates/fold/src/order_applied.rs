//! What a record of the stream `orders` did.

use std::fmt;

use serde::Serialize;
use wagtailreel_core::{OrderKey, ServiceName};

use crate::keys::KeyProblem;
use crate::releases::Claimant;

/// What a claim or a release did. Its text names the order's key, so it does not go into logs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "applied", rename_all = "kebab-case")]
pub enum OrderApplied {
    /// The claimant holds the key and may dispatch the order, once.
    Won {
        /// Service that the order is for.
        service: ServiceName,
        /// Key of the order.
        key: OrderKey,
        /// Who holds it.
        claimant: Claimant,
    },
    /// The claimant's claim was appended twice; it held the key before. This permits nothing: the
    /// order may have been dispatched since.
    Repeated {
        /// Service that the order is for.
        service: ServiceName,
        /// Key of the order.
        key: OrderKey,
        /// Who holds it.
        claimant: Claimant,
    },
    /// Another claimant holds the key.
    Lost {
        /// Service that the order is for.
        service: ServiceName,
        /// Key of the order.
        key: OrderKey,
        /// Who claimed in vain.
        claimant: Claimant,
        /// Who holds it.
        holder: Claimant,
    },
    /// The claim is void, because the key is not honoured.
    Void {
        /// Service that the order is for.
        service: ServiceName,
        /// Key of the order.
        key: OrderKey,
        /// Who claimed in vain.
        claimant: Claimant,
        /// Why the key is not honoured.
        problem: KeyProblem,
    },
    /// The claim is void, because the claimant gave it up before it reached the log.
    GivenUp {
        /// Service that the order is for.
        service: ServiceName,
        /// Key of the order.
        key: OrderKey,
        /// Who claimed in vain.
        claimant: Claimant,
    },
    /// The key can be claimed again.
    Released {
        /// Service that the order is for.
        service: ServiceName,
        /// Key of the order.
        key: OrderKey,
        /// Who held it.
        claimant: Claimant,
    },
    /// The claimant held nothing.
    ReleaseIgnored {
        /// Who gave up.
        claimant: Claimant,
    },
}

impl fmt::Display for OrderApplied {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Won { key, claimant, .. } => write!(f, "{claimant} won {key}"),
            Self::Repeated { key, claimant, .. } => write!(f, "{claimant} held {key} before"),
            Self::Lost {
                key,
                claimant,
                holder,
                ..
            } => write!(f, "{claimant} lost {key}: {holder} holds it"),
            Self::Void {
                key,
                claimant,
                problem,
                ..
            } => write!(f, "{claimant} void, {key}: {problem}"),
            Self::GivenUp { key, claimant, .. } => {
                write!(f, "{claimant} void, {key}: was given up")
            }
            Self::Released { key, claimant, .. } => write!(f, "{claimant} released {key}"),
            Self::ReleaseIgnored { claimant } => write!(f, "{claimant} held nothing"),
        }
    }
}
