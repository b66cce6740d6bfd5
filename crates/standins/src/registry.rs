//! A registry in memory that can be away; it is handed over as it is, without a protocol.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::{Notify, watch};
use wagtailreel_fleet::{
    Change, Directory, Keyed, NamedWeights, Page, Registry, RegistryError, Snapshot, Topic,
};

#[derive(Debug, Default)]
struct Inner {
    records: Mutex<Vec<(Topic, Change)>>,
    is_away: AtomicBool,
    delay_ms: AtomicU64,
    refused: watch::Sender<u64>,
    changed: Notify,
}

/// A registry in memory.
#[derive(Clone, Debug, Default)]
pub struct RegistryStandin {
    inner: Arc<Inner>,
}

impl RegistryStandin {
    /// Puts a configuration in force.
    pub fn config(&self, directory: Directory) {
        self.push(Topic::Settings, Change::Config(Box::new(directory)));
    }

    /// Names weights that are to be served.
    pub fn weights(&self, weights: NamedWeights) {
        self.push(Topic::Settings, Change::Weights(weights));
    }

    /// Appends a record of the upstreams.
    pub fn upstream(&self, change: Change) {
        self.push(Topic::Upstreams, change);
    }

    /// Makes every call fail, or none.
    pub fn set_away(&self, is_away: bool) {
        self.inner.is_away.store(is_away, Ordering::SeqCst);
        self.inner.changed.notify_waiters();
    }

    /// Makes every answer take `delay` longer.
    pub fn set_delay(&self, delay: Duration) {
        let ms = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        self.inner.delay_ms.store(ms, Ordering::SeqCst);
    }

    async fn delay(&self) {
        let ms = self.inner.delay_ms.load(Ordering::SeqCst);
        if ms > 0 {
            tokio::time::sleep(Duration::from_millis(ms)).await;
        }
    }

    /// Waits until a call was refused since the registry was last told to be away.
    pub async fn until_refused(&self) {
        let mut refused = self.inner.refused.subscribe();
        let before = *refused.borrow_and_update();
        // The sender lives as long as the registry.
        let _ = refused.wait_for(|now| *now > before).await;
    }

    fn push(&self, topic: Topic, change: Change) {
        self.records().push((topic, change));
        self.inner.changed.notify_waiters();
    }

    fn check(&self) -> Result<(), RegistryError> {
        if self.inner.is_away.load(Ordering::SeqCst) {
            self.inner.refused.send_modify(|refused| *refused += 1);
            let reason = "told to be away".to_owned();
            return Err(RegistryError::Away { reason });
        }
        Ok(())
    }

    fn records(&self) -> MutexGuard<'_, Vec<(Topic, Change)>> {
        let records = self.inner.records.lock();
        records.unwrap_or_else(PoisonError::into_inner)
    }

    fn from(&self, topic: Topic, from: u64) -> (Vec<Keyed>, u64) {
        let records = self.records();
        let all = records.iter().zip(0..);
        let items = all
            .filter(|((of, _), offset)| *of == topic && *offset >= from)
            .map(|((_, change), offset)| Keyed {
                offset,
                change: change.clone(),
            });
        (items.collect(), records.len() as u64)
    }
}

impl Registry for RegistryStandin {
    async fn newest(&self, topic: Topic, _timeout: Duration) -> Result<Snapshot, RegistryError> {
        self.delay().await;
        self.check()?;
        let (items, end) = self.from(topic, 0);
        Ok(Snapshot { items, end })
    }

    async fn read(
        &self,
        topic: Topic,
        from: u64,
        wait: Duration,
        _timeout: Duration,
    ) -> Result<Page, RegistryError> {
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let changed = self.inner.changed.notified();
            self.check()?;
            let (items, next) = self.from(topic, from);
            if !items.is_empty() {
                return Ok(Page { items, next });
            }
            if tokio::time::timeout_at(deadline, changed).await.is_err() {
                return Ok(Page { items, next });
            }
        }
    }
}
