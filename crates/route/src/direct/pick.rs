//! What a request asks of the choice of an upstream, and what it gets.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use wagtailreel_core::DataCentre;
use wagtailreel_fleet::{EngineModel, UpstreamId, UpstreamStart, WeightsVersion};

use super::member::LoadSource;

/// What one request asks of the choice.
#[derive(Clone, Debug, Default)]
pub struct Requirements<'a> {
    /// The model that the request needs; none at a plain service.
    pub model: Option<&'a str>,
    /// Oldest version of the model's weights that may begin the request.
    pub least_version: Option<WeightsVersion>,
    /// Upstreams that the request was sent to or that it did not reach.
    pub tried: BTreeSet<UpstreamId>,
    /// What the service's engines take for an answer; none at a plain service.
    pub engine: Option<&'a EngineModel>,
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Time to the first event within which the answer is wanted.
    pub objective: Duration,
    /// Only upstreams of which there is a word since then, or that are nearby, are chosen from.
    pub reported_since: Option<Instant>,
}

/// An upstream that was chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pick {
    /// Id of the upstream.
    pub id: UpstreamId,
    /// Which start of it was chosen.
    pub started: UpstreamStart,
    /// Its address.
    pub addr: std::net::SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The version of the weights that the request is to run on.
    pub version: Option<WeightsVersion>,
    /// Requests that were thought to be there.
    pub in_flight: u32,
    /// Whose word that is.
    pub source: LoadSource,
    /// 0 in the own data centre, 1 in its region, 2 beyond.
    pub distance: u8,
    /// Time to the first event that was expected; none at a plain service.
    pub expected: Option<Duration>,
    /// All its slots were thought to be taken.
    pub waits: bool,
    /// What is known of it is hearsay: it stands abroad, from where words come seldom.
    pub is_unconfirmed: bool,
}

/// Why no upstream was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Unavailable {
    /// None is registered, or all are leaving or failing.
    #[display("no-upstream")]
    NoUpstream,
    /// None holds the weights.
    #[display("weights")]
    Weights,
    /// All are full.
    #[display("full")]
    Full,
}

impl Unavailable {
    /// Keeps the shortage that comes nearer to serving.
    pub(super) fn max_with(self, other: Self) -> Self {
        match (self, other) {
            (Self::Full, _) | (_, Self::Full) => Self::Full,
            (Self::Weights, _) | (_, Self::Weights) => Self::Weights,
            _ => Self::NoUpstream,
        }
    }
}

/// What an upstream has to offer to a request.
pub(super) struct Candidate {
    pub(super) rank: Rank,
    pub(super) pick: Pick,
}

/// Order in which upstreams are preferred, lowest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    pub(super) is_link_suspect: bool,
    pub(super) is_late: bool,
    pub(super) is_unsafe: bool,
    pub(super) distance: u8,
    pub(super) prefill_time: u128,
    pub(super) load: u64,
    pub(super) turn: u64,
}
