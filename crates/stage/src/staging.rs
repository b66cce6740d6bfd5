//! Stages a complete version at the engine and orders the engine to load it.

use std::time::{Duration, Instant};

use bytes::Bytes;
use wagtailreel_core::ChunkIndex;
use wagtailreel_fleet::Registry;

use crate::loading::WeightsLoader;
use crate::origin::ChunkOrigin;
use crate::{OrderOutcome, Rollout, StagedEngine, Target, events};

/// Longest time between staging the first chunk and the order to load. Staged chunks can become corrupt
/// at any time, and the engine does not verify them.
const MAX_STAGING_TIME: Duration = Duration::from_millis(2200);

impl<R, E, O> WeightsLoader<R, E, O>
where
    R: Registry,
    E: StagedEngine,
    O: ChunkOrigin,
{
    /// Stages all chunks and orders the engine to load them.
    pub(crate) async fn load(&mut self, target: &Target) {
        let started = Instant::now();
        let Some(chunks) = self.chunks(target) else {
            return;
        };
        if let Err(reason) = self.stage(target, chunks).await {
            events::STAGING_FAILED.emit(&[("reason", &reason)]);
            self.rollout.order_failed(Instant::now());
            return;
        }
        self.cx.board.set_switching(true);
        let held = self.report.as_ref();
        let held = held.and_then(|it| it.version_of(&target.model));
        tokio::time::sleep(Rollout::load_notice(held)).await;
        let took = started.elapsed();
        let orders = self.report.as_ref().map_or(0, |report| report.orders);
        let (outcome, reason) = if took > MAX_STAGING_TIME {
            ("staged-too-slowly", String::new())
        } else {
            self.order(target, orders).await
        };
        if self.ordered_at.is_none() {
            self.cx.board.set_switching(false);
            self.rollout.order_failed(Instant::now());
        }
        let loads = &self.cx.metrics.loads;
        loads.with_label_values(&[outcome]).inc();
        events::LOAD_ORDERED.emit(&[
            ("model", &target.model),
            ("version", &target.version.to_string()),
            ("orders", &orders.to_string()),
            ("outcome", outcome),
            ("reason", &reason),
            ("staging_ms", &took.as_millis().to_string()),
        ]);
    }

    /// Orders the engine to load; returns the outcome and its reason as they are logged.
    async fn order(&mut self, target: &Target, orders: u64) -> (&'static str, String) {
        let engine = &self.cx.engine;
        let outcome = engine.load(&target.model, target.version, orders).await;
        match outcome {
            Ok(OrderOutcome::Begun | OrderOutcome::InEffect) => {
                self.ordered_at = Some(Instant::now());
                ("begun", String::new())
            }
            Ok(OrderOutcome::Unfit) => ("unfit", String::new()),
            Ok(OrderOutcome::Fenced) => ("fenced", String::new()),
            // The engine may have received the order: its next state shows whether it loads.
            Err(error) => {
                self.ordered_at = Some(Instant::now());
                ("unknown", error.to_string())
            }
        }
    }

    fn chunks(&self, target: &Target) -> Option<Vec<Bytes>> {
        let chunk_store = &self.cx.chunk_store;
        let manifest = chunk_store.manifest(&target.model, Some(target.version))?;
        let count = manifest.count();
        let chunks = (0..count).map(|chunk| chunk_store.get(&target.model, target.version, chunk));
        chunks.collect()
    }

    async fn stage(&self, target: &Target, chunks: Vec<Bytes>) -> Result<(), String> {
        let indexes: std::ops::RangeFrom<ChunkIndex> = 0..;
        for (chunk, data) in indexes.zip(chunks) {
            let staged = self.cx.engine.stage(&target.model, chunk, data).await;
            staged.map_err(|error| error.to_string())?;
        }
        Ok(())
    }
}
