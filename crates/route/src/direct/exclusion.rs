//! Why upstreams are passed over, for the log.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use wagtailreel_fleet::UpstreamState;

use super::member::Member;
use super::{Requirements, Unavailable, Upstreams};

/// What keeps a request from an upstream that is registered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
pub enum Exclusion {
    /// The request was sent to it, or did not reach it.
    #[display("tried")]
    Tried,
    /// It is leaving, or not ready yet.
    #[display("not-ready")]
    NotReady,
    /// Attempts failed there lately, or it is changing its weights.
    #[display("failing")]
    Failing,
    /// It names a limit and has no room within it.
    #[display("limited")]
    Limited,
    /// It doesn't hold the weights.
    #[display("weights")]
    Weights,
    /// It is full.
    #[display("full")]
    Full,
}

impl Upstreams {
    /// Counts the registered upstreams that `needs` can't be sent to, by what keeps it from them.
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
        if member.limited_time(now) > Duration::ZERO {
            return Some(Exclusion::Limited);
        }
        let reason = self
            .candidate(member, needs, self.estimate(needs, now), now)
            .err()?;
        Some(match reason {
            Unavailable::NoUpstream => Exclusion::Failing,
            Unavailable::Weights => Exclusion::Weights,
            Unavailable::Full => Exclusion::Full,
        })
    }
}
