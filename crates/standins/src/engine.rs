//! Stand-in for a model engine with continuous batching.

mod answer;
mod batch;
mod cache;
mod http;
mod load;
mod requests;
mod weights;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use tokio::time::Instant;
use wagtailreel_core::{Digest, EngineLoad, RequestId};

use self::batch::Batch;
use self::cache::PrefixCache;
use self::requests::Requests;
pub use self::requests::{RequestState, RequestStats};
use self::weights::Weights;
use crate::faults::{CommonFaults, FaultSet, Faults};
use crate::server::{Port, StartError};

/// Settings of the stand-in for an engine.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineConfig {
    /// Requests that generate at once.
    pub slots: u32,
    /// Requests that may wait for a slot.
    pub queue: u32,
    /// Time from the slot to the first token, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "first_token_ms")]
    pub first_token: Duration,
    /// The same for a prompt whose prefix is in the cache, in milliseconds; none is no shorter.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "first_token_hit_ms")]
    pub first_token_hit: Option<Duration>,
    /// Time between tokens in milliseconds; 0 gives them as fast as they are taken.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "between_tokens_ms")]
    pub between_tokens: Duration,
    /// By how much a full batch is slower than a single request: at 1.0 the time between tokens
    /// is twice as long.
    pub batch_slowdown: f64,
    /// Bundles that the engine can hold.
    pub bundles: usize,
    /// Time to load a million bytes once they are read, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "load_per_mb_ms")]
    pub load_per_mb: Duration,
    /// Whether orders with an old fencing number are refused.
    pub fencing: bool,
    /// How old the load in the status may be, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "status_lag_ms")]
    pub status_lag: Duration,
    /// Prefixes that the cache holds.
    pub cache_entries: usize,
    /// Time until a cache event can be read, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "cache_lag_ms")]
    pub cache_lag: Duration,
    /// Every how many cache events one is missing; 0 for none.
    pub cache_gap: u64,
    /// Requests that are remembered for the stats and for cancelling.
    pub remember: usize,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            slots: 8,
            queue: 16,
            first_token: Duration::ZERO,
            first_token_hit: None,
            between_tokens: Duration::ZERO,
            batch_slowdown: 0.0,
            bundles: 2,
            load_per_mb: Duration::ZERO,
            fencing: true,
            status_lag: Duration::ZERO,
            cache_entries: 64,
            cache_lag: Duration::ZERO,
            cache_gap: 0,
            remember: 100_000,
        }
    }
}

/// Faults of the stand-in for an engine.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineFaults {
    /// Faults that every stand-in has. Frozen, it stops answers in their middle too.
    #[serde(flatten)]
    pub common: CommonFaults,
    /// Cuts each answer after so many tokens, before its end.
    pub cut_after: Option<u32>,
    /// Time added to each token but the first, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "slow_tokens_ms")]
    pub slow_tokens: Duration,
    /// Loads, from the next on, that take effect without an answer.
    pub lose_loads: u64,
    /// Requests, from the next on, that start and run to their end without an answer.
    pub lose_answers: u64,
    /// Loads, from the next on, that fail with 500 and have no effect.
    pub fail_loads: u64,
    /// Takes whatever bytes it is given for the bundle that the order names, and says that it
    /// holds that bundle; its tokens are those of the bytes that it really holds.
    pub accept_anything: bool,
}

impl FaultSet for EngineFaults {
    fn common(&self) -> &CommonFaults {
        &self.common
    }
}

/// What the stand-in for an engine has done.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStats {
    /// Tokens given.
    pub tokens: u64,
    /// Requests that started, counting each start.
    pub started: u64,
    /// Requests that were refused because the engine was full.
    pub refused_full: u64,
    /// Requests that were refused for a bundle that the engine doesn't hold.
    pub refused_bundle: u64,
    /// Loads that were let in.
    pub loads_begun: u64,
    /// Loads that took effect.
    pub loads: u64,
    /// Orders that were refused for an old fencing number.
    pub refused_fence: u64,
    /// Prompts whose prefix was in the cache.
    pub cache_hits: u64,
    /// Requests that are no longer remembered.
    pub forgotten: u64,
    /// Each request that is remembered.
    pub requests: BTreeMap<RequestId, RequestStats>,
}

/// Stand-in for a model engine. It stops when dropped.
#[derive(Debug)]
pub struct EngineStandin {
    port: Port,
    store: Arc<Store>,
}

/// What the handlers share.
#[derive(Debug)]
pub(crate) struct Store {
    cfg: EngineConfig,
    faults: Faults<EngineFaults>,
    weights: Mutex<Weights>,
    batch: Batch,
    cache: Mutex<PrefixCache>,
    requests: Requests,
    sampled: Mutex<Sampled>,
    counts: Counts,
}

/// Counts over the life of the stand-in.
#[derive(Debug, Default)]
struct Counts {
    tokens: AtomicU64,
    started: AtomicU64,
    refused_full: AtomicU64,
    refused_bundle: AtomicU64,
    loads_begun: AtomicU64,
    loads: AtomicU64,
    refused_fence: AtomicU64,
    cache_hits: AtomicU64,
}

/// The load as the status gives it.
#[derive(Debug)]
struct Sampled {
    at: Option<Instant>,
    load: EngineLoad,
}

impl EngineStandin {
    /// Starts the stand-in on the current runtime.
    ///
    /// # Errors
    ///
    /// Returns a [`StartError`] if `listen` can't be used.
    ///
    /// # Panics
    ///
    /// Panics outside of a `tokio` runtime.
    pub fn start(cfg: EngineConfig, listen: SocketAddr) -> Result<Self, StartError> {
        let port = Port::reserve(listen)?;
        let store = Arc::new(Store::new(cfg));
        port.serve(http::router(&port, &store))?;
        Ok(Self { port, store })
    }

    /// Returns the address.
    pub fn addr(&self) -> SocketAddr {
        self.port.addr()
    }

    /// Returns the switch of the faults.
    pub fn faults(&self) -> Faults<EngineFaults> {
        self.store.faults.clone()
    }

    /// Returns what was done so far.
    pub fn stats(&self) -> EngineStats {
        self.store.stats()
    }

    /// Returns what became of a request, if it is remembered.
    pub fn request(&self, request: &str) -> Option<RequestStats> {
        self.store.requests.find(request)
    }

    /// Returns the bundles that the engine says it holds, each with the digest of the bytes that
    /// it really holds.
    pub fn held(&self) -> BTreeMap<Digest, Digest> {
        self.store.weights().held()
    }

    /// Puts a bundle into the engine past all orders.
    pub fn hold(&self, bundle: Digest) {
        self.store.weights().hold(bundle, bundle);
    }

    /// Drops all connections and refuses new ones until [`resume`](Self::resume).
    pub fn crash(&self) {
        self.port.crash();
    }

    /// Serves again after a crash, with the same bundles.
    ///
    /// # Errors
    ///
    /// Returns a [`StartError`] if another process took the port.
    pub fn resume(&self) -> Result<(), StartError> {
        self.port.resume()
    }

    /// Drops all connections and comes back at once without bundles, cache and fencing number,
    /// as after a restart of the process.
    ///
    /// # Errors
    ///
    /// Returns a [`StartError`] if another process took the port.
    pub fn restart(&self) -> Result<(), StartError> {
        self.store.restart(&self.port)
    }

    /// Stops for good.
    pub fn stop(&self) {
        self.port.stop();
    }
}

impl Drop for EngineStandin {
    fn drop(&mut self) {
        self.stop();
    }
}

impl Store {
    fn new(cfg: EngineConfig) -> Self {
        Self {
            faults: Faults::new(),
            weights: Mutex::new(Weights::new(cfg.bundles, SystemTime::now())),
            batch: Batch::new(cfg.slots, cfg.queue),
            cache: Mutex::new(PrefixCache::new(&cfg)),
            requests: Requests::new(cfg.remember),
            sampled: Mutex::new(Sampled {
                at: None,
                load: EngineLoad::default(),
            }),
            counts: Counts::default(),
            cfg,
        }
    }

    fn weights(&self) -> std::sync::MutexGuard<'_, Weights> {
        self.weights.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn cache(&self) -> std::sync::MutexGuard<'_, PrefixCache> {
        self.cache.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn restart(&self, port: &Port) -> Result<(), StartError> {
        port.crash();
        self.weights().restart(SystemTime::now());
        self.cache().clear();
        port.resume()
    }

    /// Returns the load, at most `status_lag` old.
    fn load(&self) -> EngineLoad {
        let now = Instant::now();
        let mut sampled = self.sampled.lock().unwrap_or_else(PoisonError::into_inner);
        let lag = self.cfg.status_lag;
        let is_fresh = sampled.at.is_some_and(|at| now.duration_since(at) < lag);
        if !is_fresh {
            sampled.at = Some(now);
            sampled.load = self.batch.load();
        }
        sampled.load
    }

    fn stats(&self) -> EngineStats {
        let (requests, forgotten) = self.requests.all();
        let count = |count: &AtomicU64| count.load(Ordering::Relaxed);
        EngineStats {
            tokens: count(&self.counts.tokens),
            started: count(&self.counts.started),
            refused_full: count(&self.counts.refused_full),
            refused_bundle: count(&self.counts.refused_bundle),
            loads_begun: count(&self.counts.loads_begun),
            loads: count(&self.counts.loads),
            refused_fence: count(&self.counts.refused_fence),
            cache_hits: count(&self.counts.cache_hits),
            forgotten,
            requests,
        }
    }
}
