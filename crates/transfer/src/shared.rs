//! What the driver, the fetches and the served requests share.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use prometheus::Registry;
use tokio::sync::watch;
use wagtailreel_core::Epoch;

use crate::bucket::Bucket;
use crate::gives::Gives;
use crate::haves::Haves;
use crate::layout::Layout;
use crate::metrics::Metrics;
use crate::store::Store;
use crate::{Progress, TransferConfig, TransferError};

/// State that the driver, the fetches and the served requests share, with a lock for each part.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) cfg: TransferConfig,
    pub(crate) store: Store,
    pub(crate) haves: Haves,
    pub(crate) gives: Arc<Gives>,
    pub(crate) ingress: Bucket,
    pub(crate) egress: Bucket,
    pub(crate) metrics: Metrics,
    pub(crate) progress: watch::Sender<Progress>,
    staged: Mutex<BTreeMap<Epoch, Arc<Layout>>>,
}

impl Shared {
    /// Makes the state of a VM that has nothing.
    pub(crate) fn new(cfg: TransferConfig, registry: &Registry) -> Result<Self, TransferError> {
        Ok(Self {
            store: Store::new(),
            haves: Haves::new(),
            gives: Arc::default(),
            ingress: Bucket::new(cfg.ingress),
            egress: Bucket::new(cfg.egress),
            metrics: Metrics::new(registry)?,
            progress: watch::Sender::new(Progress::default()),
            staged: Mutex::default(),
            cfg,
        })
    }

    /// Holds both ways to `rate` bytes a second as well, if it is given.
    pub(crate) fn cap(&self, rate: Option<u64>) {
        self.ingress.set_limit(lower(self.cfg.ingress, rate));
        self.egress.set_limit(lower(self.cfg.egress, rate));
    }

    /// Locks the layouts of the epochs whose chunks are all there and verified.
    pub(crate) fn staged(&self) -> MutexGuard<'_, BTreeMap<Epoch, Arc<Layout>>> {
        self.staged.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the lower of two rates, of which 0 and none are no limit.
fn lower(limit: u64, rate: Option<u64>) -> u64 {
    match rate {
        Some(rate) if rate > 0 && (limit == 0 || rate < limit) => rate,
        _ => limit,
    }
}
