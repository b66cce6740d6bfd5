//! Stand-in for the origin of weights.

mod http;
mod model;

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use wagtailreel_core::{Manifest, ModelRef};

pub use self::model::OriginModel;
use self::model::Stored;
use crate::chance::Chance;
use crate::faults::{CommonFaults, FaultSet, Faults};
use crate::link::Link;
use crate::server::{Port, StartError};

/// Settings of the stand-in for the origin.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OriginConfig {
    /// Models at the start.
    pub models: Vec<OriginModel>,
    /// Rate of the link in bytes a second over all readers; 0 is no limit.
    pub rate: u64,
    /// Seed of what goes by chance.
    pub seed: u64,
}

/// Faults of the stand-in for the origin.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct OriginFaults {
    /// Faults that every stand-in has.
    #[serde(flatten)]
    pub common: CommonFaults,
    /// Rate of the link in place of the settings'; 0 is no limit.
    pub rate: Option<u64>,
    /// Share of ranges in which one byte is wrong, from 0 to 1.
    pub corrupt_share: f64,
    /// Share of ranges that are refused with 429, from 0 to 1.
    pub refuse_share: f64,
    /// When a refused reader is told to come back, in milliseconds; rounded up to seconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "retry_after_ms")]
    pub retry_after: Duration,
    /// Share of ranges that stall half way, from 0 to 1.
    pub stall_share: f64,
    /// Readers all of whose ranges stall half way.
    pub stall_readers: Vec<IpAddr>,
    /// How long a range stalls, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "stall_ms")]
    pub stall: Duration,
}

impl FaultSet for OriginFaults {
    fn common(&self) -> &CommonFaults {
        &self.common
    }
}

/// What the stand-in for the origin has done.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginStats {
    /// Bytes of weights given in all.
    pub bytes: u64,
    /// Bytes of weights given of each part, by `name@version`.
    pub parts: BTreeMap<String, u64>,
    /// Bytes of weights given to each address.
    pub readers: BTreeMap<IpAddr, u64>,
    /// Manifests given.
    pub manifests: u64,
    /// Ranges begun.
    pub ranges: u64,
    /// Ranges with a wrong byte.
    pub corrupted: u64,
    /// Ranges refused.
    pub refused: u64,
    /// Ranges stalled.
    pub stalled: u64,
}

/// Stand-in for the origin of weights. It stops when dropped.
#[derive(Debug)]
pub struct OriginStandin {
    port: Port,
    store: Arc<Store>,
}

/// What the handlers share.
#[derive(Debug)]
pub(crate) struct Store {
    faults: Faults<OriginFaults>,
    rate: u64,
    link: Link,
    chance: Chance,
    models: Mutex<BTreeMap<ModelRef, Arc<Stored>>>,
    drawn: Mutex<Drawn>,
    manifests: AtomicU64,
    ranges: AtomicU64,
    corrupted: AtomicU64,
    refused: AtomicU64,
    stalled: AtomicU64,
}

/// Bytes given, by part and by reader.
#[derive(Debug, Default)]
struct Drawn {
    parts: BTreeMap<String, u64>,
    readers: BTreeMap<IpAddr, u64>,
}

impl OriginStandin {
    /// Starts the stand-in on the current runtime.
    ///
    /// # Errors
    ///
    /// Returns a [`StartError`] if `listen` can't be used or a model can't be made.
    ///
    /// # Panics
    ///
    /// Panics outside of a `tokio` runtime.
    pub fn start(cfg: OriginConfig, listen: SocketAddr) -> Result<Self, StartError> {
        let port = Port::reserve(listen)?;
        let store = Arc::new(Store::new(&cfg));
        for model in &cfg.models {
            store.add(model)?;
        }
        port.serve(http::router(&port, &store))?;
        Ok(Self { port, store })
    }

    /// Returns the address.
    pub fn addr(&self) -> SocketAddr {
        self.port.addr()
    }

    /// Returns the switch of the faults.
    pub fn faults(&self) -> Faults<OriginFaults> {
        self.store.faults.clone()
    }

    /// Returns what was done so far.
    pub fn stats(&self) -> OriginStats {
        self.store.stats()
    }

    /// Publishes a model made up from its seed, and returns its manifest.
    ///
    /// # Errors
    ///
    /// Returns a [`StartError`] if the model can't be made.
    pub fn add(&self, model: &OriginModel) -> Result<Manifest, StartError> {
        self.store.add(model)
    }

    /// Publishes `data` in chunks of `chunk_length` bytes, and returns its manifest.
    ///
    /// # Errors
    ///
    /// Returns a [`StartError`] if `data` is empty or `chunk_length` 0.
    pub fn add_bytes(
        &self,
        part: &ModelRef,
        data: Bytes,
        chunk_length: usize,
    ) -> Result<Manifest, StartError> {
        self.store.add_bytes(part, data, chunk_length)
    }

    /// Returns the manifest of a part.
    pub fn manifest(&self, part: &ModelRef) -> Option<Manifest> {
        self.store.find(part).map(|stored| stored.manifest.clone())
    }

    /// Returns all bytes of a part.
    pub fn bytes(&self, part: &ModelRef) -> Option<Bytes> {
        self.store.find(part).map(|stored| stored.data.clone())
    }

    /// Drops all connections and refuses new ones until [`resume`](Self::resume).
    pub fn crash(&self) {
        self.port.crash();
    }

    /// Serves again after a crash, with the same models.
    ///
    /// # Errors
    ///
    /// Returns a [`StartError`] if another process took the port.
    pub fn resume(&self) -> Result<(), StartError> {
        self.port.resume()
    }

    /// Stops for good.
    pub fn stop(&self) {
        self.port.stop();
    }
}

impl Drop for OriginStandin {
    fn drop(&mut self) {
        self.stop();
    }
}

impl Store {
    fn new(cfg: &OriginConfig) -> Self {
        Self {
            faults: Faults::new(),
            rate: cfg.rate,
            link: Link::new(),
            chance: Chance::new(cfg.seed),
            models: Mutex::default(),
            drawn: Mutex::default(),
            manifests: AtomicU64::new(0),
            ranges: AtomicU64::new(0),
            corrupted: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            stalled: AtomicU64::new(0),
        }
    }

    fn models(&self) -> MutexGuard<'_, BTreeMap<ModelRef, Arc<Stored>>> {
        self.models.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn find(&self, part: &ModelRef) -> Option<Arc<Stored>> {
        self.models().get(part).cloned()
    }

    fn add(&self, model: &OriginModel) -> Result<Manifest, StartError> {
        let part = model.part();
        self.add_bytes(&part, model.generate()?, model.chunk_length)
    }

    fn add_bytes(
        &self,
        part: &ModelRef,
        data: Bytes,
        chunk_length: usize,
    ) -> Result<Manifest, StartError> {
        let stored = Stored::new(part, data, chunk_length)?;
        let manifest = stored.manifest.clone();
        self.models().insert(part.clone(), Arc::new(stored));
        Ok(manifest)
    }

    /// Counts bytes given.
    fn count(&self, part: &str, reader: IpAddr, bytes: u64) {
        let mut drawn = self.drawn.lock().unwrap_or_else(PoisonError::into_inner);
        match drawn.parts.get_mut(part) {
            Some(count) => *count += bytes,
            None => {
                drawn.parts.insert(part.to_owned(), bytes);
            }
        }
        *drawn.readers.entry(reader).or_default() += bytes;
    }

    fn stats(&self) -> OriginStats {
        let drawn = self.drawn.lock().unwrap_or_else(PoisonError::into_inner);
        OriginStats {
            bytes: drawn.parts.values().sum(),
            parts: drawn.parts.clone(),
            readers: drawn.readers.clone(),
            manifests: self.manifests.load(Ordering::Relaxed),
            ranges: self.ranges.load(Ordering::Relaxed),
            corrupted: self.corrupted.load(Ordering::Relaxed),
            refused: self.refused.load(Ordering::Relaxed),
            stalled: self.stalled.load(Ordering::Relaxed),
        }
    }
}
