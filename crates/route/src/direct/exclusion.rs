//! Why upstreams are excluded from a choice, for the log.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use wagtailreel_fleet::UpstreamState;

use super::member::Member;
use super::{Requirements, Restriction, Unavailable, Upstreams};

/// Why a registered upstream cannot take a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
pub enum Exclusion {
    /// The request was already sent to the upstream, or failed to reach it.
    #[display("tried")]
    Tried,
    /// The registry lists the upstream as leaving, or not ready yet.
    #[display("not-ready")]
    NotReady,
    /// The upstream said in an answer that it leaves.
    #[display("says-leaving")]
    SaysLeaving,
    /// The upstream is in a region that may not serve the request.
    #[display("region")]
    Region,
    /// The data centre of the upstream is evacuated.
    #[display("evacuated")]
    Evacuated,
    /// The upstream is ejected after failures, or is switching its weights.
    #[display("failing")]
    Failing,
    /// The upstream asked this entry for rest.
    #[display("rests")]
    Rests,
    /// The rate limit of the upstream is used up.
    #[display("limited")]
    Limited,
    /// The upstream does not hold the weights.
    #[display("weights")]
    Weights,
    /// The upstream is full.
    #[display("full")]
    Full,
}

impl Upstreams {
    /// Counts the registered upstreams that cannot take the request, by reason.
    pub fn exclusions(&self, needs: &Requirements<'_>, now: Instant) -> BTreeMap<Exclusion, u32> {
        let mut counts = BTreeMap::new();
        for exclusion in self
            .members()
            .filter_map(|it| self.exclusion(it, needs, now))
        {
            *counts.entry(exclusion).or_default() += 1;
        }
        counts
    }

    fn exclusion(
        &self,
        member: &Member,
        needs: &Requirements<'_>,
        now: Instant,
    ) -> Option<Exclusion> {
        if needs.tried.contains(&member.upstream.id) {
            return Some(Exclusion::Tried);
        }
        if member.upstream.state != UpstreamState::Ready {
            return Some(Exclusion::NotReady);
        }
        if member.announced.is_leaving {
            return Some(Exclusion::SaysLeaving);
        }
        if let Some(restriction) = self.restriction(&member.upstream.data_centre, needs) {
            return Some(match restriction {
                Restriction::Region => Exclusion::Region,
                Restriction::Evacuated => Exclusion::Evacuated,
            });
        }
        if !member.announced.rest_left(now).is_zero() {
            return Some(Exclusion::Rests);
        }
        if member.limited_time(now) > Duration::ZERO {
            return Some(Exclusion::Limited);
        }
        let reason = self
            .candidate(member, needs, self.estimate(needs, now), now)
            .err()?;
        Some(match reason {
            Unavailable::NoUpstream => Exclusion::Failing,
            Unavailable::Region => Exclusion::Region,
            Unavailable::Weights => Exclusion::Weights,
            Unavailable::Full => Exclusion::Full,
        })
    }
}
