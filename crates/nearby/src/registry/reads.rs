//! Snapshots and reads through neighbours or from the registry, each checked for its era.

use std::time::Duration;

use wagtailreel_fleet::{Era, Page, Position, Registry, RegistryError, Snapshot, Topic};

use super::SharedRegistry;
use crate::calls::Cause;
use crate::neighbour::{NeighbourAnswer, NeighbourQuery, RelayedRecords};

/// How long a query for a snapshot waits for a starting neighbour to read the registry.
const FIRST_READ_WAIT: Duration = Duration::from_millis(1500);

impl<R> SharedRegistry<R>
where
    R: Registry,
{
    async fn newest_from_registry(
        &self,
        topic: Topic,
        timeout: Duration,
    ) -> Result<Snapshot, RegistryError> {
        self.registry.note_era(self.era.get());
        let snapshot = self.registry.newest(topic, timeout).await?;
        self.era.check(snapshot.end.era)?;
        Ok(snapshot)
    }

    /// Reads from the registry, until a neighbour that reads from this process names a later era. The registry may
    /// hold a read of an offset that it does not have yet.
    async fn read_from_registry(
        &self,
        topic: Topic,
        from: Position,
        wait: Duration,
        timeout: Duration,
    ) -> Result<Page, RegistryError> {
        let read = tokio::select! {
            read = self.registry.read(topic, from, wait, timeout) => read,
            restored = self.era.restored_since(from.era) => Err(restored),
        };
        if let Err(RegistryError::Restored { era }) = &read {
            self.era.note(*era);
        }
        read
    }
}

impl<R> Registry for SharedRegistry<R>
where
    R: Registry,
{
    fn note_era(&self, era: Era) {
        self.era.note(era);
    }

    async fn newest(&self, topic: Topic, timeout: Duration) -> Result<Snapshot, RegistryError> {
        let query = NeighbourQuery {
            topic,
            path: format!("/newest?wait_ms={}", FIRST_READ_WAIT.as_millis()),
            era: self.era.get(),
            wait: FIRST_READ_WAIT,
            waits_for_records: false,
        };
        let snapshot = match self.ask_neighbours(&query).await {
            Ok(NeighbourAnswer::Known(RelayedRecords { records, as_of })) => Snapshot {
                items: records.items,
                end: records.next,
                as_of,
                is_relayed: true,
            },
            Ok(NeighbourAnswer::Expired(_)) => {
                let call = self.newest_from_registry(topic, timeout);
                self.call(topic, Cause::NeighbourOld, call).await?
            }
            Err(cause) => {
                let call = self.newest_from_registry(topic, timeout);
                self.call(topic, cause, call).await?
            }
        };
        self.era.check(snapshot.end.era)?;
        if let Some(mirror) = &self.mirror {
            mirror.store_snapshot(topic, &snapshot);
        }
        self.heard
            .note_answer(topic, snapshot.items.len(), snapshot.end, snapshot.as_of);
        Ok(snapshot)
    }

    async fn read(
        &self,
        topic: Topic,
        from: Position,
        wait: Duration,
        timeout: Duration,
    ) -> Result<Page, RegistryError> {
        self.era.note(from.era);
        let era = self.era.get();
        if from.era < era {
            return Err(RegistryError::Restored { era });
        }
        let query = NeighbourQuery {
            topic,
            era,
            path: format!(
                "?from={}&wait_ms={}",
                from.offset,
                self.cfg.wait.as_millis()
            ),
            wait: self.cfg.wait,
            waits_for_records: true,
        };
        let page = match self.ask_neighbours(&query).await {
            Ok(NeighbourAnswer::Known(RelayedRecords { records, as_of })) => Page {
                items: records.items,
                next: records.next,
                end: records.next,
                as_of,
                is_relayed: true,
            },
            // In a burst the neighbour reads snapshots, so its single records expire again and again. A call
            // to the registry here would make all its followers read the registry themselves.
            Ok(NeighbourAnswer::Expired(first)) => return Err(RegistryError::Expired { first }),
            Err(cause) => {
                let wait = self.max_hold(topic, cause, wait);
                let call = self.read_from_registry(topic, from, wait, timeout);
                self.call(topic, cause, call).await?
            }
        };
        if page.next.era != from.era {
            let era = page.next.era;
            self.era.check(era)?;
            return Err(RegistryError::Restored { era });
        }
        if let Some(mirror) = &self.mirror {
            mirror.store_page(topic, from, &page);
        }
        self.heard
            .note_answer(topic, page.items.len(), page.next, page.as_of);
        Ok(page)
    }
}
