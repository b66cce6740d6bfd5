//! Engine in memory that is given weights in chunks.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};

use bytes::Bytes;
use wagtailreel_core::ChunkIndex;
use wagtailreel_fleet::{LoadedModel, WeightsVersion};
use wagtailreel_stage::{EngineError, EngineReport, OrderOutcome, StagedEngine};

use super::{CHUNKS, MODEL, chunk};

/// Fault of the next order to load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OrderFault {
    /// The engine receives the order, and its answer is lost.
    LostButTaken,
    /// The order never arrives.
    LostAndNotTaken,
    /// The engine answers that the order does not fit its state.
    Unfit,
}

#[derive(Debug, Default)]
struct State {
    version: Option<u64>,
    staged: BTreeMap<ChunkIndex, Bytes>,
    orders: u64,
    restarts: u64,
    fault: Option<OrderFault>,
    is_silent: bool,
    loaded_corrupt: bool,
}

/// Engine in memory.
#[derive(Clone, Debug, Default)]
pub(crate) struct TestEngine {
    state: Arc<Mutex<State>>,
}

impl TestEngine {
    /// Creates an engine that holds `version` and has its chunks staged.
    pub(crate) fn new(version: Option<u64>) -> Self {
        let engine = Self::default();
        let mut state = engine.lock();
        state.version = version;
        if let Some(version) = version {
            state.staged = (0..CHUNKS).map(|it| (it, chunk(version, it))).collect();
        }
        drop(state);
        engine
    }

    pub(crate) fn version(&self) -> Option<u64> {
        self.lock().version
    }

    /// Returns whether each load was of complete weights of one version.
    pub(crate) fn is_whole(&self) -> bool {
        !self.lock().loaded_corrupt
    }

    /// Returns the number of accepted orders.
    pub(crate) fn orders(&self) -> u64 {
        self.lock().orders
    }

    pub(crate) fn set_fault(&self, fault: OrderFault) {
        self.lock().fault = Some(fault);
    }

    /// Sets whether the engine leaves queries for its state unanswered.
    pub(crate) fn set_silent(&self, is_silent: bool) {
        self.lock().is_silent = is_silent;
    }

    /// Restarts the engine: its loaded weights are lost, its staged chunks stay.
    pub(crate) fn restart(&self) {
        let mut state = self.lock();
        state.version = None;
        state.orders = 0;
        state.restarts += 1;
    }

    /// Corrupts a staged chunk.
    pub(crate) fn corrupt_staged(&self) {
        self.lock().staged.insert(3, Bytes::from_static(b"corrupt"));
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }
}

impl State {
    fn load(&mut self, version: u64) {
        let staged = (0..CHUNKS).map(|it| self.staged.get(&it).cloned());
        let wanted = (0..CHUNKS).map(|it| Some(chunk(version, it)));
        self.loaded_corrupt |= !staged.eq(wanted);
        self.version = Some(version);
        self.orders += 1;
    }
}

impl StagedEngine for TestEngine {
    async fn report(&self) -> Result<EngineReport, EngineError> {
        let state = self.lock();
        if state.is_silent {
            let reason = "the test made the engine silent".to_owned();
            return Err(EngineError::Silent { reason });
        }
        let models = state.version.map(|version| LoadedModel {
            model: MODEL.to_owned(),
            version,
            whole: true,
        });
        Ok(EngineReport {
            started: state.restarts,
            models: models.into_iter().collect(),
            orders: state.orders,
            ..EngineReport::default()
        })
    }

    async fn staged(&self, _model: &str) -> Result<Vec<ChunkIndex>, EngineError> {
        Ok(self.lock().staged.keys().copied().collect())
    }

    async fn read_staged(
        &self,
        _model: &str,
        chunk: ChunkIndex,
    ) -> Result<Option<Bytes>, EngineError> {
        Ok(self.lock().staged.get(&chunk).cloned())
    }

    async fn stage(&self, _model: &str, chunk: ChunkIndex, data: Bytes) -> Result<(), EngineError> {
        self.lock().staged.insert(chunk, data);
        Ok(())
    }

    async fn load(
        &self,
        _model: &str,
        version: WeightsVersion,
        orders: u64,
    ) -> Result<OrderOutcome, EngineError> {
        let mut state = self.lock();
        let fault = state.fault.take();
        if fault == Some(OrderFault::Unfit) || orders != state.orders {
            return Ok(OrderOutcome::Unfit);
        }
        if fault != Some(OrderFault::LostAndNotTaken) {
            state.load(version);
        }
        match fault {
            None => Ok(OrderOutcome::Begun),
            Some(_) => Err(EngineError::Silent {
                reason: "the test lost the answer".to_owned(),
            }),
        }
    }
}
