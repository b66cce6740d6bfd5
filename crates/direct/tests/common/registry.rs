//! A registry in memory that can be away.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::Notify;
use wagtailreel_fleet::{Change, Directory, Keyed, Page, Registry, RegistryError, Snapshot, Topic};

#[derive(Debug, Default)]
struct Inner {
    records: Mutex<Vec<(Topic, Change)>>,
    is_away: AtomicBool,
    changed: Notify,
}

/// A registry in memory.
#[derive(Clone, Debug, Default)]
pub(crate) struct MemoryRegistry {
    inner: Arc<Inner>,
}

impl MemoryRegistry {
    /// Puts a configuration in force.
    pub(crate) fn config(&self, directory: Directory) {
        self.push(Topic::Settings, Change::Config(Box::new(directory)));
    }

    /// Appends a record of the upstreams.
    pub(crate) fn upstream(&self, change: Change) {
        self.push(Topic::Upstreams, change);
    }

    /// Makes every call fail, or none.
    pub(crate) fn set_away(&self, is_away: bool) {
        self.inner.is_away.store(is_away, Ordering::SeqCst);
        self.inner.changed.notify_waiters();
    }

    fn push(&self, topic: Topic, change: Change) {
        self.inner.records.lock().unwrap().push((topic, change));
        self.inner.changed.notify_waiters();
    }

    fn check(&self) -> Result<(), RegistryError> {
        if self.inner.is_away.load(Ordering::SeqCst) {
            let reason = "told to be away".to_owned();
            return Err(RegistryError::Away { reason });
        }
        Ok(())
    }

    fn from(&self, topic: Topic, from: u64) -> (Vec<Keyed>, u64) {
        let records = self.inner.records.lock().unwrap();
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

impl Registry for MemoryRegistry {
    async fn newest(&self, topic: Topic, _timeout: Duration) -> Result<Snapshot, RegistryError> {
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
