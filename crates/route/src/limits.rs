//! Rate limits of the customers of one service at one entry.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::{Rng, RngExt as _};
use wagtailreel_core::{CustomerId, CustomerLimit, Document};

/// Time constant of the moving average of demand.
const DEMAND_WINDOW: Duration = Duration::from_secs(2);

/// A customer's bucket is removed after this long without a request.
const IDLE_BUCKET_RETENTION: Duration = Duration::from_secs(60);

/// Retry waits are lengthened by up to this fraction, so that refused callers don't retry together.
const RETRY_JITTER: f64 = 0.5;

/// Maximum retry wait told to a caller, however small the entry's share is.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Minimum share of a limit, which keeps the retry wait finite.
const MIN_SHARE: f64 = 1e-3;

/// Whether a request is within its customer's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitVerdict {
    /// The request is within the limit.
    Within,
    /// The request is over the limit, and the caller may retry after this time.
    Over(Duration),
}

#[derive(Clone, Debug)]
struct Bucket {
    tokens: f64,
    last_refill: Instant,
    demand: f64,
    last_request: Instant,
    share: f64,
}

/// Token buckets of the customers of one service, each with this entry's share of the limit.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    limits: BTreeMap<CustomerId, CustomerLimit>,
    default_limit: Option<CustomerLimit>,
    initial_share: f64,
    buckets: BTreeMap<CustomerId, Bucket>,
}

impl Limits {
    /// Creates limits under which a customer without earlier requests has `initial_share` of its limit.
    pub fn new(initial_share: f64) -> Self {
        Self {
            initial_share,
            ..Self::default()
        }
    }

    /// Applies the limits of the service's document.
    pub fn set_document(&mut self, document: &Document) {
        self.limits.clone_from(&document.limits);
        self.default_limit.clone_from(&document.default_limit);
    }

    /// Counts a request of `customer` at `now` and returns whether the request is within the limit.
    pub fn admit<R>(&mut self, customer: &str, now: Instant, rng: &mut R) -> LimitVerdict
    where
        R: Rng,
    {
        let limit = self.limit_of(customer).cloned();
        let initial_share = self.initial_share;
        let bucket = self
            .buckets
            .entry(customer.to_owned())
            .or_insert_with(|| Bucket {
                tokens: limit
                    .as_ref()
                    .map_or(0.0, |limit| depth(limit, initial_share)),
                last_refill: now,
                demand: 0.0,
                last_request: now,
                share: initial_share,
            });
        bucket.count(now);
        let Some(limit) = limit else {
            return LimitVerdict::Within;
        };
        bucket.refill(&limit, now);
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            return LimitVerdict::Within;
        }
        let rate = limit.requests_per_second * bucket.share.max(MIN_SHARE);
        let wait = (1.0 - bucket.tokens) / rate;
        let jittered = wait * (1.0 + RETRY_JITTER * rng.random::<f64>());
        LimitVerdict::Over(
            Duration::try_from_secs_f64(jittered)
                .map_or(MAX_RETRY_AFTER, |wait| wait.min(MAX_RETRY_AFTER)),
        )
    }

    /// Sets each customer's share of its limit at this entry.
    pub fn set_shares<F>(&mut self, initial_share: f64, now: Instant, share: F)
    where
        F: Fn(&str) -> f64,
    {
        self.initial_share = initial_share;
        let limits = &self.limits;
        let default_limit = self.default_limit.as_ref();
        for (customer, bucket) in &mut self.buckets {
            // Tokens earned at the old share are credited before the new share applies.
            if let Some(limit) = limits.get(customer).or(default_limit) {
                bucket.refill(limit, now);
            }
            bucket.share = share(customer);
        }
    }

    /// Returns each customer's recent requests per second, as of `now`.
    pub fn demand(&mut self, now: Instant) -> BTreeMap<CustomerId, f64> {
        self.buckets.retain(|_, bucket| {
            now.saturating_duration_since(bucket.last_request) < IDLE_BUCKET_RETENTION
        });
        self.buckets
            .iter()
            .map(|(customer, bucket)| (customer.clone(), bucket.demand_at(now)))
            .collect()
    }

    fn limit_of(&self, customer: &str) -> Option<&CustomerLimit> {
        self.limits.get(customer).or(self.default_limit.as_ref())
    }
}

impl Bucket {
    fn demand_at(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.last_request);
        self.demand * (-elapsed.as_secs_f64() / DEMAND_WINDOW.as_secs_f64()).exp()
    }

    fn count(&mut self, now: Instant) {
        self.demand = self.demand_at(now) + 1.0 / DEMAND_WINDOW.as_secs_f64();
        self.last_request = now;
    }

    fn refill(&mut self, limit: &CustomerLimit, now: Instant) {
        let elapsed = now.saturating_duration_since(self.last_refill);
        let earned = elapsed.as_secs_f64() * limit.requests_per_second * self.share;
        let depth = depth(limit, self.share);
        // A bucket above its depth after a share shrank keeps its tokens and earns none. Cutting it to
        // the new depth would discard earned tokens whenever a share fluctuates.
        if self.tokens < depth {
            self.tokens = (self.tokens + earned).min(depth);
        }
        self.last_refill = now;
    }
}

/// Returns the depth of a bucket: the share of the burst, but at least one request.
fn depth(limit: &CustomerLimit, share: f64) -> f64 {
    (f64::from(limit.burst) * share).max(1.0)
}
