//! Leave to send requests to upstreams that name a limit, given to all entries by one agent.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use wagtailreel_fleet::{AskPermit, Permit, UpstreamId};

use super::limit::Limit;

/// Shares of a limit that the agents give which may give permits for an upstream, in the order in which entries
/// turn to them; there are as many as shares. Each may give all of its share at the same time, where some
/// entries reach the first agent and others don't.
pub const ISSUER_SHARES: [f64; 3] = [1.0, 0.3, 0.15];

/// Requests that may be saved up while nobody asks.
const DEPTH: f64 = 2.0;

/// The same at an agent in place of another.
const FALLBACK_DEPTH: f64 = 1.0;

/// Requests that an upstream takes at once of which nothing was known.
const AT_FIRST: f64 = 1.0;

/// What upstreams are promised of all entries together: in any span at most so many times what the limit allows
/// in it, and so many requests more.
const PROMISED_TIMES: f64 = 1.5;
const PROMISED_MORE: f64 = 5.0;

const _: () = {
    let [first, second, third] = ISSUER_SHARES;
    assert!(first + second + third <= PROMISED_TIMES);
    assert!(DEPTH + 2.0 * FALLBACK_DEPTH <= PROMISED_MORE);
};

/// How long an upstream is remembered that nobody asks for. At the lowest limit it has saved up all by then.
const REMEMBERED: Duration = Duration::from_secs(60);

#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// The limit that was named last, and when.
    limit: Limit,
    named_at: Instant,
    /// When the upstream named none any more.
    withdrawn_at: Option<Instant>,
    /// Most tokens that are saved up.
    depth: f64,
    tokens: f64,
    filled: Instant,
}

impl Bucket {
    fn fill(&mut self, now: Instant) {
        let past = now.saturating_duration_since(self.filled);
        let earned = past.as_secs_f64() * self.limit.per_second();
        self.tokens = (self.tokens + earned).min(self.depth);
        self.filled = now;
    }
}

/// Token buckets of upstreams that name a limit.
#[derive(Clone, Debug, Default)]
pub struct Permits {
    buckets: BTreeMap<UpstreamId, Bucket>,
}

impl Permits {
    /// Answers a question for a permit; takes a withdrawal, which wants no answer.
    ///
    /// What names no rate is no question of an entry.
    pub fn answer(&mut self, ask: &AskPermit, now: Instant) -> Option<Permit> {
        let limit = Limit::new(ask.per_second)?;
        let ago = Duration::from_millis(ask.age_ms.into());
        let at = now.checked_sub(ago).unwrap_or(now);
        if ask.is_withdrawn {
            self.withdrawn(&ask.upstream, at);
            return None;
        }
        let depth = if ask.is_stand_in {
            FALLBACK_DEPTH
        } else {
            DEPTH
        };
        let wait = self.issue(&ask.upstream, limit, depth, at, now);
        Some(Permit {
            nonce: ask.nonce,
            wait_ms: u32::try_from(wait.as_nanos().div_ceil(1_000_000)).unwrap_or(u32::MAX),
        })
    }

    /// Asks for leave to send one request to an upstream that named `limit` at `named_at`; returns how long
    /// it has no room yet, which is no time if the request may be sent.
    ///
    /// Of what entries were told, the last counts. Who was told of a limit before it was withdrawn may send,
    /// and finds so from the answer.
    pub fn ask(
        &mut self,
        upstream: &str,
        limit: Limit,
        named_at: Instant,
        now: Instant,
    ) -> Duration {
        self.issue(upstream, limit, DEPTH, named_at, now)
    }

    fn issue(
        &mut self,
        upstream: &str,
        limit: Limit,
        depth: f64,
        named_at: Instant,
        now: Instant,
    ) -> Duration {
        self.forget(now);
        let bucket = self.buckets.entry(upstream.to_owned()).or_insert(Bucket {
            limit,
            named_at,
            withdrawn_at: None,
            depth,
            tokens: AT_FIRST,
            filled: now,
        });
        bucket.fill(now);
        if named_at >= bucket.named_at {
            bucket.limit = limit;
            bucket.depth = depth;
            bucket.tokens = bucket.tokens.min(depth);
            bucket.named_at = named_at;
        }
        match bucket.withdrawn_at {
            Some(at) if named_at <= at => return Duration::ZERO,
            _ => bucket.withdrawn_at = None,
        }
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            return Duration::ZERO;
        }
        // No time at all is leave.
        let wait = Duration::from_secs_f64((1.0 - bucket.tokens) / bucket.limit.per_second());
        wait.max(Duration::from_nanos(1))
    }

    /// Takes that the answer to a request that was sent at `at` named no limit any more.
    ///
    /// One that was named since then holds: the answer may have been under way for long.
    pub fn withdrawn(&mut self, upstream: &str, at: Instant) {
        let bucket = self.buckets.get_mut(upstream);
        if let Some(bucket) = bucket.filter(|it| it.named_at <= at) {
            bucket.withdrawn_at = Some(at);
        }
    }

    fn forget(&mut self, now: Instant) {
        self.buckets
            .retain(|_, it| now.saturating_duration_since(it.filled) <= REMEMBERED);
    }
}
