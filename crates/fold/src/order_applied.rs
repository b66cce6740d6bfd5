//! Effects of records of the stream `orders`.

use std::fmt;

use serde::Serialize;
use wagtailreel_core::{OrderKey, ServiceName};

use crate::keys::KeyProblem;
use crate::releases::Claimant;

/// Effect of a claim or a release. The text contains the order's key, so it must not go into logs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "applied", rename_all = "kebab-case")]
pub enum OrderApplied {
    /// The claimant holds the key and may dispatch the order once.
    Won {
        /// Service that the order is for.
        service: ServiceName,
        /// Key of the order.
        key: OrderKey,
        /// Holder of the key.
        claimant: Claimant,
    },
    /// The claim was appended twice, and the claimant already holds the key. This is no permission to
    /// dispatch the order, because the order may have been dispatched since the first claim.
    Repeated {
        /// Service that the order is for.
        service: ServiceName,
        /// Key of the order.
        key: OrderKey,
        /// Holder of the key.
        claimant: Claimant,
    },
    /// Another claimant holds the key.
    Lost {
        /// Service that the order is for.
        service: ServiceName,
        /// Key of the order.
        key: OrderKey,
        /// Claimant that does not get the key.
        claimant: Claimant,
        /// Holder of the key.
        holder: Claimant,
    },
    /// The claim is void because the key is not accepted.
    Void {
        /// Service that the order is for.
        service: ServiceName,
        /// Key of the order.
        key: OrderKey,
        /// Claimant that does not get the key.
        claimant: Claimant,
        /// Why the key is not accepted.
        problem: KeyProblem,
    },
    /// The claim is void because the claimant released it before the claim reached the log.
    GivenUp {
        /// Service that the order is for.
        service: ServiceName,
        /// Key of the order.
        key: OrderKey,
        /// Claimant that does not get the key.
        claimant: Claimant,
    },
    /// The key can be claimed again.
    Released {
        /// Service that the order is for.
        service: ServiceName,
        /// Key of the order.
        key: OrderKey,
        /// Claimant that held the key.
        claimant: Claimant,
    },
    /// A release had no effect because the claimant held no key.
    ReleaseIgnored {
        /// Claimant that sent the release.
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
