//! Bounds that the operators promise, as their settings are written.

use std::time::Duration;

use crate::fields::Fields;
use crate::problem::Problems;
use crate::values::{self, At};

/// How long a revoked key may go on working, unless told otherwise.
const DEFAULT_KEYS_MS: u64 = 5000;

/// How long requests may begin on older weights, unless told otherwise.
const DEFAULT_WEIGHTS_MS: u64 = 8000;

/// Time after a start in which the bound on weights isn't judged, less a margin: a new process
/// can't know when weights were named.
const DEFAULT_STABLE_MS: u64 = 3000;

/// How long an accepted configuration may take to be in force, unless told otherwise.
const DEFAULT_CONFIG_MS: u64 = 2000;

/// How long a leaving upstream may still get requests, unless told otherwise.
const DEFAULT_DRAIN_MS: u64 = 2000;

/// How often upstreams tell the registry that they live, unless told otherwise.
const DEFAULT_HEARTBEAT_MS: u64 = 1200;

/// How long a process may take to end, unless told otherwise.
const DEFAULT_GRACE_MS: u64 = 8000;

/// Retries for each request, unless told otherwise.
const DEFAULT_RETRY_RATIO: f64 = 0.2;

/// Requests that a cold upstream may get in one second, as a multiple of its warm-up rate and beyond it,
/// unless told otherwise.
const DEFAULT_WARMUP_OVERAGE: f64 = 1.5;
const DEFAULT_WARMUP_SLACK: f64 = 5.0;

/// Longest bound that is taken, in milliseconds.
pub(crate) const MAX_BOUND_MS: u64 = 600_000;

/// The bounds as they are written, without margins.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bounds {
    pub(crate) keys: Duration,
    pub(crate) weights: Duration,
    pub(crate) stable: Duration,
    pub(crate) config: Duration,
    pub(crate) drain: Duration,
    pub(crate) heartbeat: Duration,
    pub(crate) grace: Duration,
    pub(crate) retry_ratio: f64,
    pub(crate) warmup_overage: f64,
    pub(crate) warmup_slack: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            keys: Duration::from_millis(DEFAULT_KEYS_MS),
            weights: Duration::from_millis(DEFAULT_WEIGHTS_MS),
            stable: Duration::from_millis(DEFAULT_STABLE_MS),
            config: Duration::from_millis(DEFAULT_CONFIG_MS),
            drain: Duration::from_millis(DEFAULT_DRAIN_MS),
            heartbeat: Duration::from_millis(DEFAULT_HEARTBEAT_MS),
            grace: Duration::from_millis(DEFAULT_GRACE_MS),
            retry_ratio: DEFAULT_RETRY_RATIO,
            warmup_overage: DEFAULT_WARMUP_OVERAGE,
            warmup_slack: DEFAULT_WARMUP_SLACK,
        }
    }
}

pub(crate) fn bounds(at: &At<'_>, problems: &mut Problems) -> Option<Bounds> {
    let usual = Bounds::default();
    let mut f = Fields::new(At::new(at.place.clone(), at.node), problems)?;
    let mut bound = |name, default| {
        f.optional(name, problems, default, |at, problems| {
            values::milliseconds(at, problems, 100..=MAX_BOUND_MS)
        })
    };
    let keys = bound("keys_ms", usual.keys);
    let weights = bound("weights_ms", usual.weights);
    let stable = bound("stable_ms", usual.stable);
    let config = bound("config_ms", usual.config);
    let drain = bound("drain_ms", usual.drain);
    let heartbeat = bound("heartbeat_ms", usual.heartbeat);
    let grace = bound("grace_ms", usual.grace);
    let retry_ratio = f.optional(
        "retry_ratio",
        problems,
        usual.retry_ratio,
        |at, problems| {
            values::number(at, problems, "write a share from 0 to 1", |share| {
                (0.0..=1.0).contains(&share)
            })
        },
    );
    let warmup_overage = f.optional(
        "warmup_overage",
        problems,
        usual.warmup_overage,
        |at, problems| {
            values::number(at, problems, "write a factor from 1 to 100", |factor| {
                (1.0..=100.0).contains(&factor)
            })
        },
    );
    let warmup_slack = f.optional(
        "warmup_slack",
        problems,
        usual.warmup_slack,
        |at, problems| {
            values::number(at, problems, "write a number from 0 to 10000", |slack| {
                (0.0..=10_000.0).contains(&slack)
            })
        },
    );
    f.finish(problems);
    Some(Bounds {
        keys: keys?,
        weights: weights?,
        stable: stable?,
        config: config?,
        drain: drain?,
        heartbeat: heartbeat?,
        grace: grace?,
        retry_ratio: retry_ratio?,
        warmup_overage: warmup_overage?,
        warmup_slack: warmup_slack?,
    })
}
