//! Rate limits that upstreams name for all entries together.

use std::time::{Duration, Instant};

use super::upstreams::Upstreams;

/// Lowest limit that is applied, in requests per second. An upstream that names a lower one still gets a
/// request now and then, from whose answer entries learn that it accepts more again.
const MIN_PER_SECOND: f64 = 0.1;

/// A limit that an upstream names in its answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    per_second: f64,
}

impl Limit {
    /// Creates a limit, or returns `None` if `per_second` is not a valid rate.
    pub fn new(per_second: f64) -> Option<Self> {
        let is_rate = per_second.is_finite() && per_second >= 0.0;
        is_rate.then(|| Self {
            per_second: per_second.max(MIN_PER_SECOND),
        })
    }

    /// Returns the requests per second that all entries together may send.
    pub const fn per_second(self) -> f64 {
        self.per_second
    }
}

/// The limit that an answer of an upstream names.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum NamedLimit {
    /// The answer names no limit.
    #[default]
    None,
    /// The answer names a limit.
    Limit(Limit),
    /// The answer names a limit that cannot be parsed. The limit named before stays.
    Unreadable,
}

/// What an entry knows of an upstream's limit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KnownLimit {
    pub(crate) limit: Limit,
    /// When the limit was last named.
    pub(crate) named_at: Instant,
    /// The limit allows no request until then.
    pub(crate) full_until: Option<Instant>,
}

impl KnownLimit {
    /// Returns how long the limit still blocks requests.
    pub(crate) fn wait_time(&self, now: Instant) -> Duration {
        let until = self.full_until;
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }
}

impl Upstreams {
    /// Applies the limit that the answer to a request sent at `sent_at` names. Returns whether the limit
    /// changed.
    pub fn named_limit(
        &mut self,
        id: &str,
        named: NamedLimit,
        sent_at: Instant,
        now: Instant,
    ) -> bool {
        let Some(member) = self.members.get_mut(id) else {
            return false;
        };
        let before = member.limit.map(|it| it.limit);
        match (named, &mut member.limit) {
            (NamedLimit::Limit(limit), Some(known)) => {
                known.limit = limit;
                known.named_at = now;
            }
            (NamedLimit::Limit(limit), none) => {
                *none = Some(KnownLimit {
                    limit,
                    named_at: now,
                    full_until: None,
                });
            }
            // The answer to an earlier request may have been under way when the limit was named.
            (NamedLimit::None, Some(known)) if known.named_at < sent_at => member.limit = None,
            (NamedLimit::None | NamedLimit::Unreadable, _) => {}
        }
        before != member.limit.map(|it| it.limit)
    }

    /// Returns the limit that an upstream names, and when it was last named.
    pub fn limit(&self, id: &str) -> Option<(Limit, Instant)> {
        let known = self.members.get(id)?.limit?;
        Some((known.limit, known.named_at))
    }

    /// Records that the limit of an upstream allows no request for `wait_time`.
    pub fn limited(&mut self, id: &str, wait_time: Duration, now: Instant) {
        let member = self.members.get_mut(id);
        if let Some(known) = member.and_then(|member| member.limit.as_mut()) {
            known.full_until = Some(now + wait_time);
        }
    }

    /// Records that no permit of an upstream's warm-up limit is due for `wait_time`.
    pub fn warmup_limited(&mut self, id: &str, wait_time: Duration, now: Instant) {
        if let Some(member) = self.members.get_mut(id) {
            member.warmup_full_until = Some(now + wait_time);
        }
    }
}
