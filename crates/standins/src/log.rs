//! Stand-in for the platform's append-only log.

mod http;
mod stream;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use serde_with::{DurationMilliSeconds, serde_as};
use tokio::sync::watch;
use wagtailreel_core::Offset;

use self::stream::LogStream;
use crate::chance::Chance;
use crate::faults::{CommonFaults, FaultSet, Faults};
use crate::rate::RateLimit;
use crate::server::{Port, StartError};

/// Settings of the stand-in for the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogConfig {
    /// Seed of what goes by chance.
    pub seed: u64,
}

/// Faults of the stand-in for the log.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LogFaults {
    /// Faults that every stand-in has.
    #[serde(flatten)]
    pub common: CommonFaults,
    /// Appends, from the next on, that take effect without an answer.
    pub lose_appends: u64,
    /// Share of appends that take effect without an answer, from 0 to 1.
    pub lose_share: f64,
    /// Records that each stream keeps; none keeps all.
    pub retain_records: Option<usize>,
    /// Age in milliseconds at which records lapse; none keeps all.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "retain_ms")]
    pub retain: Option<Duration>,
    /// Appends a second that are taken; 0 is no limit.
    pub append_rate: u64,
}

impl FaultSet for LogFaults {
    fn common(&self) -> &CommonFaults {
        &self.common
    }
}

/// What the stand-in for the log has done.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogStats {
    /// Appends that took effect.
    pub appends: u64,
    /// Of these, appends without an answer.
    pub lost: u64,
    /// Appends that were over the rate.
    pub refused: u64,
    /// Reads.
    pub reads: u64,
    /// Oldest offset kept and next offset of each stream.
    pub streams: BTreeMap<String, (Offset, Offset)>,
}

/// Stand-in for the platform's append-only log. It stops when dropped.
#[derive(Debug)]
pub struct LogStandin {
    port: Port,
    store: Arc<Store>,
}

/// What the handlers share.
#[derive(Debug)]
pub(crate) struct Store {
    faults: Faults<LogFaults>,
    streams: Mutex<BTreeMap<String, LogStream>>,
    /// Counts changes, for reads that wait.
    changes: watch::Sender<u64>,
    chance: Chance,
    rate: RateLimit,
    appends: AtomicU64,
    lost: AtomicU64,
    refused: AtomicU64,
    reads: AtomicU64,
}

impl LogStandin {
    /// Starts the stand-in on the current runtime.
    ///
    /// # Errors
    ///
    /// Returns a [`StartError`] if `listen` can't be used.
    ///
    /// # Panics
    ///
    /// Panics outside of a `tokio` runtime.
    pub fn start(cfg: LogConfig, listen: SocketAddr) -> Result<Self, StartError> {
        let port = Port::reserve(listen)?;
        let store = Arc::new(Store::new(&cfg));
        port.serve(http::router(&port, &store))?;
        Ok(Self { port, store })
    }

    /// Returns the address.
    pub fn addr(&self) -> SocketAddr {
        self.port.addr()
    }

    /// Returns the switch of the faults.
    pub fn faults(&self) -> Faults<LogFaults> {
        self.store.faults.clone()
    }

    /// Returns what was done so far.
    pub fn stats(&self) -> LogStats {
        self.store.stats()
    }

    /// Appends a record past all faults.
    pub fn append(&self, stream: &str, record: &Value) -> Offset {
        self.store.append(stream, Bytes::from(record.to_string()))
    }

    /// Returns the records that `stream` keeps, past all faults.
    pub fn records(&self, stream: &str) -> Vec<(Offset, Value)> {
        let mut streams = self.store.lock();
        let Some(stream) = streams.get_mut(stream) else {
            return Vec::new();
        };
        let parse = |data: &Bytes| serde_json::from_slice(data).unwrap_or(Value::Null);
        let records = stream.iter();
        records.map(|(at, data)| (at, parse(data))).collect()
    }

    /// Cuts `stream` short, so that its next offset is `next`: the log comes back shorter.
    pub fn truncate(&self, stream: &str, next: Offset) {
        self.store.change(stream, |stream| stream.truncate(next));
    }

    /// Drops the records of `stream` before `first`.
    pub fn drop_before(&self, stream: &str, first: Offset) {
        self.store
            .change(stream, |stream| stream.drop_before(first));
    }

    /// Drops all connections and refuses new ones until [`resume`](Self::resume).
    pub fn crash(&self) {
        self.port.crash();
    }

    /// Serves again after a crash, with the same records.
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

impl Drop for LogStandin {
    fn drop(&mut self) {
        self.stop();
    }
}

impl Store {
    fn new(cfg: &LogConfig) -> Self {
        Self {
            faults: Faults::new(),
            streams: Mutex::default(),
            changes: watch::Sender::new(0),
            chance: Chance::new(cfg.seed),
            rate: RateLimit::new(),
            appends: AtomicU64::new(0),
            lost: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            reads: AtomicU64::new(0),
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, LogStream>> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn append(&self, stream: &str, record: Bytes) -> Offset {
        let offset = self.change(stream, |stream| stream.append(record));
        self.appends.fetch_add(1, Ordering::Relaxed);
        offset
    }

    /// Changes one stream and wakes the reads that wait.
    fn change<U, T>(&self, stream: &str, change: U) -> T
    where
        U: FnOnce(&mut LogStream) -> T,
    {
        let (count, age) = self.retention();
        let mut streams = self.lock();
        let stream = streams.entry(stream.to_owned()).or_default();
        let changed = change(stream);
        stream.retain(count, age);
        drop(streams);
        self.changes.send_modify(|changes| *changes += 1);
        changed
    }

    fn retention(&self) -> (Option<usize>, Option<Duration>) {
        self.faults
            .read(|faults| (faults.retain_records, faults.retain))
    }

    fn stats(&self) -> LogStats {
        let streams = self.lock();
        let ends = |stream: &LogStream| (stream.first(), stream.next());
        LogStats {
            appends: self.appends.load(Ordering::Relaxed),
            lost: self.lost.load(Ordering::Relaxed),
            refused: self.refused.load(Ordering::Relaxed),
            reads: self.reads.load(Ordering::Relaxed),
            streams: streams
                .iter()
                .map(|(name, stream)| (name.clone(), ends(stream)))
                .collect(),
        }
    }
}
