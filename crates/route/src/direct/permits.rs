//! Permits to send requests to upstreams that name a rate limit. One agent issues them to all entries.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use wagtailreel_fleet::{Permit, PermitRequest, UpstreamId};

use super::limit::Limit;

/// Shares of an upstream's limit that each of its issuing agents may issue, in the order in which entries
/// turn to the agents. The number of shares is the number of issuers. All may issue their whole share at the
/// same time, if only some entries reach the first agent.
pub const ISSUER_SHARES: [f64; 3] = [1.0, 0.3, 0.15];

/// Permits that accumulate while no entry requests any.
const BUCKET_DEPTH: f64 = 2.0;

/// Permits that accumulate at an agent that issues as a fallback for another.
const FALLBACK_DEPTH: f64 = 1.0;

/// Permits available at once for an upstream that was not known before.
const INITIAL_TOKENS: f64 = 1.0;

/// Guarantee to upstreams for all entries together: in any span, at most `MAX_RATE_FACTOR` times what the
/// limit allows in it, plus `MAX_BURST` requests.
const MAX_RATE_FACTOR: f64 = 1.5;
const MAX_BURST: f64 = 5.0;

const _: () = {
    let [first, second, third] = ISSUER_SHARES;
    assert!(first + second + third <= MAX_RATE_FACTOR);
    assert!(BUCKET_DEPTH + 2.0 * FALLBACK_DEPTH <= MAX_BURST);
};

/// How long the bucket of an upstream is kept without requests for permits. At the lowest limit the bucket is
/// full again by then.
const BUCKET_RETENTION: Duration = Duration::from_secs(60);

#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// The limit that was named last.
    limit: Limit,
    named_at: Instant,
    /// When the upstream stopped naming a limit.
    withdrawn_at: Option<Instant>,
    /// Maximum of `tokens`.
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
    /// Answers a request for a permit, or records the withdrawal of a limit, which gets no answer.
    ///
    /// A request without a valid rate is ignored.
    pub fn answer(&mut self, req: &PermitRequest, now: Instant) -> Option<Permit> {
        let limit = Limit::new(req.per_second)?;
        let ago = Duration::from_millis(req.age_ms.into());
        let at = now.checked_sub(ago).unwrap_or(now);
        if req.is_withdrawn {
            self.withdrawn(&req.upstream, at);
            return None;
        }
        let depth = if req.is_fallback {
            FALLBACK_DEPTH
        } else {
            BUCKET_DEPTH
        };
        let wait = self.issue(&req.upstream, limit, depth, at, now);
        Some(Permit {
            nonce: req.nonce,
            wait_ms: u32::try_from(wait.as_nanos().div_ceil(1_000_000)).unwrap_or(u32::MAX),
        })
    }

    /// Acquires a permit to send one request to an upstream that named `limit` at `named_at`. Returns how
    /// long to wait before the next attempt, or zero if the request may be sent.
    ///
    /// The limit that was named last counts. An entry that was told of a limit before its withdrawal may
    /// send, and learns of the withdrawal from the upstream's answer.
    pub fn acquire(
        &mut self,
        upstream: &str,
        limit: Limit,
        named_at: Instant,
        now: Instant,
    ) -> Duration {
        self.issue(upstream, limit, BUCKET_DEPTH, named_at, now)
    }

    fn issue(
        &mut self,
        upstream: &str,
        limit: Limit,
        depth: f64,
        named_at: Instant,
        now: Instant,
    ) -> Duration {
        self.prune(now);
        let bucket = self.buckets.entry(upstream.to_owned()).or_insert(Bucket {
            limit,
            named_at,
            withdrawn_at: None,
            depth,
            tokens: INITIAL_TOKENS,
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
        // A wait of zero would be a permit.
        let wait = Duration::from_secs_f64((1.0 - bucket.tokens) / bucket.limit.per_second());
        wait.max(Duration::from_nanos(1))
    }

    /// Records that the answer to a request sent at `at` named no limit any more.
    ///
    /// A limit that was named since then stays: the answer may have been under way for long.
    pub fn withdrawn(&mut self, upstream: &str, at: Instant) {
        let bucket = self.buckets.get_mut(upstream);
        if let Some(bucket) = bucket.filter(|it| it.named_at <= at) {
            bucket.withdrawn_at = Some(at);
        }
    }

    fn prune(&mut self, now: Instant) {
        self.buckets
            .retain(|_, it| now.saturating_duration_since(it.filled) <= BUCKET_RETENTION);
    }
}
