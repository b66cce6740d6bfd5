//! What upstreams say of themselves in their answers.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use wagtailreel_fleet::{UpstreamId, UpstreamStart};

use super::pick::Requirements;
use super::upstreams::Upstreams;

/// Upstreams that are kept. An upstream that leaves is gone long before as many others have said so.
const MAX_UPSTREAMS: usize = 1024;

/// What one start of an upstream said of itself.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Announced {
    /// The upstream is leaving.
    pub(crate) is_leaving: bool,
    /// The upstream wants no request of this entry until then.
    pub(crate) rests_until: Option<Instant>,
}

impl Announced {
    /// Returns how long the upstream still rests.
    pub(crate) fn rest_left(&self, now: Instant) -> Duration {
        let until = self.rests_until;
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }
}

/// What upstreams said of themselves, each until its next start.
///
/// Kept apart from the members, since the registry may drop an upstream and list it again.
#[derive(Clone, Debug, Default)]
pub(crate) struct Announcements {
    said: BTreeMap<UpstreamId, (UpstreamStart, Announced)>,
    /// The upstreams in the order in which they first said anything.
    order: VecDeque<UpstreamId>,
}

impl Announcements {
    /// Returns what the start `start` of an upstream said.
    pub(crate) fn of(&self, id: &str, start: UpstreamStart) -> Announced {
        let said = self.said.get(id).filter(|(known, _)| *known == start);
        said.map(|(_, announced)| *announced).unwrap_or_default()
    }

    fn set(&mut self, id: &str, start: UpstreamStart, announced: Announced) {
        // The answer of an earlier start may come after that of a later one.
        if self.said.get(id).is_some_and(|(known, _)| *known > start) {
            return;
        }
        let said = self.said.insert(id.to_owned(), (start, announced));
        if said.is_none() {
            self.order.push_back(id.to_owned());
        }
        while self.order.len() > MAX_UPSTREAMS {
            if let Some(first) = self.order.pop_front() {
                self.said.remove(&first);
            }
        }
    }
}

impl Upstreams {
    /// Records that the start `start` of an upstream said that it leaves. Returns whether that is new.
    pub fn says_leaving(&mut self, id: &str, start: UpstreamStart) -> bool {
        let before = self.announcements.of(id, start);
        let announced = Announced {
            is_leaving: true,
            ..before
        };
        self.announce(id, start, announced);
        !before.is_leaving
    }

    /// Records that the start `start` of an upstream asked for `rest`. A rest never ends earlier than one that
    /// was asked for before.
    pub fn asks_for_rest(&mut self, id: &str, start: UpstreamStart, rest: Duration, now: Instant) {
        let before = self.announcements.of(id, start);
        let announced = Announced {
            rests_until: before.rests_until.max(Some(now + rest)),
            ..before
        };
        self.announce(id, start, announced);
    }

    /// Returns whether an upstream rests. Checked again just before a request is sent.
    pub fn is_resting(&self, id: &str, now: Instant) -> bool {
        let member = self.members.get(id);
        member.is_some_and(|member| !member.announced.rest_left(now).is_zero())
    }

    /// Returns the time until the first upstream has rested, if all that accept requests and may get this one
    /// rest.
    pub fn all_rest(&self, needs: &Requirements<'_>, now: Instant) -> Option<Duration> {
        let accepting = self.members().filter(|member| {
            let data_centre = &member.upstream.data_centre;
            member.accepts_new(now) && self.restriction(data_centre, needs).is_none()
        });
        let first = accepting
            .map(|member| member.announced.rest_left(now))
            .min()?;
        (!first.is_zero()).then_some(first)
    }

    fn announce(&mut self, id: &str, start: UpstreamStart, announced: Announced) {
        let member = self.members.get_mut(id);
        if let Some(member) = member.filter(|it| it.upstream.started == start) {
            member.announced = announced;
        }
        self.announcements.set(id, start, announced);
    }
}
