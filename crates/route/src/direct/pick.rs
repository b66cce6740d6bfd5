//! What a request requires of an upstream, and the result of the choice.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use wagtailreel_core::DataCentre;
use wagtailreel_fleet::{AllowedRegions, EngineModel, UpstreamId, UpstreamStart, WeightsVersion};

use super::member::LoadSource;
use super::prompt_cache::PromptPrefix;

/// What one request requires of an upstream.
#[derive(Clone, Debug, Default)]
pub struct Requirements<'a> {
    /// The model that the request needs, or `None` at a plain service.
    pub model: Option<&'a str>,
    /// Oldest version of the model's weights on which the request may begin.
    pub least_version: Option<WeightsVersion>,
    /// Upstreams that the request was already sent to or failed to reach.
    pub tried: BTreeSet<UpstreamId>,
    /// Timing model of the service's engines, or `None` at a plain service.
    pub engine: Option<&'a EngineModel>,
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Wanted time to the first event.
    pub objective: Duration,
    /// Regions whose upstreams may serve the request.
    pub regions: AllowedRegions,
    /// If set, a remote upstream is a candidate only if its agent answered this entry since then.
    pub reported_since: Option<Instant>,
    /// The beginnings of the prompt, if engines are assumed to hold some.
    pub prefixes: &'a [PromptPrefix],
}

/// An upstream that was chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pick {
    /// Id of the upstream.
    pub id: UpstreamId,
    /// Start of the upstream that was chosen.
    pub started: UpstreamStart,
    /// Its address.
    pub addr: std::net::SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The version of the weights that the request is to run on.
    pub version: Option<WeightsVersion>,
    /// Requests at the upstream, as known or estimated.
    pub in_flight: u32,
    /// Source of `in_flight`.
    pub source: LoadSource,
    /// 0 in the own data centre, 1 in its region, 2 elsewhere.
    pub distance: u8,
    /// Expected time to the first event, or `None` at a plain service.
    pub expected: Option<Duration>,
    /// Whether all slots of the upstream counted as taken, so that the request waits for one.
    pub is_queued: bool,
    /// Whether the load is known only from relayed or unsolicited reports, as the upstream is remote and its
    /// agent did not just answer this entry.
    pub is_unconfirmed: bool,
    /// Tokens of the prompt that the upstream is assumed to hold, so that it does not read them.
    pub held_tokens: u32,
}

/// Why no upstream could be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Unavailable {
    /// No upstream is registered, or all are leaving or failing.
    #[display("no-upstream")]
    NoUpstream,
    /// Those that accept requests are in regions that may not serve the request.
    #[display("region")]
    Region,
    /// No upstream holds the weights.
    #[display("weights")]
    Weights,
    /// All are full.
    #[display("full")]
    Full,
}

impl Unavailable {
    /// Returns the more specific of two reasons: full, then missing weights, then the region, then no
    /// upstream.
    pub(super) fn max_with(self, other: Self) -> Self {
        match (self, other) {
            (Self::Full, _) | (_, Self::Full) => Self::Full,
            (Self::Weights, _) | (_, Self::Weights) => Self::Weights,
            (Self::Region, _) | (_, Self::Region) => Self::Region,
            _ => Self::NoUpstream,
        }
    }
}

/// An upstream that can take a request, with its rank.
pub(super) struct Candidate {
    pub(super) rank: Rank,
    pub(super) pick: Pick,
}

/// Order in which upstreams are preferred, lowest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    pub(super) is_link_suspect: bool,
    pub(super) is_late: bool,
    pub(super) is_risky: bool,
    pub(super) distance: u8,
    /// Zero unless an upstream is assumed to hold a part of the prompt.
    pub(super) first_event_steps: u128,
    pub(super) prefill_steps: u128,
    pub(super) load: u64,
    pub(super) turn: u64,
}
