//! An engine in memory that takes weights in chunks.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};

use bytes::Bytes;
use wagtailreel_core::ChunkIndex;
use wagtailreel_fleet::{LoadedModel, WeightsVersion};
use wagtailreel_stage::{EngineError, EngineReport, OrderOutcome, StagedEngine};

use super::{CHUNKS, MODEL, chunk};

/// What happens to the next order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OrderFault {
    /// It is taken, and its answer is lost.
    LostButTaken,
    /// It never arrives.
    LostAndNotTaken,
    /// The engine says that it does not fit its state.
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
    is_spoilt: bool,
}

/// An engine in memory.
#[derive(Clone, Debug, Default)]
pub(crate) struct TestEngine {
    state: Arc<Mutex<State>>,
}

impl TestEngine {
    /// Makes an engine that holds `version`, and has it staged.
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

    /// Says whether the engine only ever loaded whole weights of one version.
    pub(crate) fn is_whole(&self) -> bool {
        !self.lock().is_spoilt
    }

    /// Returns how many orders were taken.
    pub(crate) fn orders(&self) -> u64 {
        self.lock().orders
    }

    pub(crate) fn set_fault(&self, fault: OrderFault) {
        self.lock().fault = Some(fault);
    }

    /// Leaves questions for its state without an answer, or answers again.
    pub(crate) fn set_silent(&self, is_silent: bool) {
        self.lock().is_silent = is_silent;
    }

    /// Loses what was loaded, and keeps what was staged.
    pub(crate) fn restart(&self) {
        let mut state = self.lock();
        state.version = None;
        state.orders = 0;
        state.restarts += 1;
    }

    /// Spoils a staged chunk.
    pub(crate) fn spoil_staged(&self) {
        self.lock().staged.insert(3, Bytes::from_static(b"spoilt"));
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }
}

impl State {
    fn load(&mut self, version: u64) {
        let staged = (0..CHUNKS).map(|it| self.staged.get(&it).cloned());
        let wanted = (0..CHUNKS).map(|it| Some(chunk(version, it)));
        self.is_spoilt |= !staged.eq(wanted);
        self.version = Some(version);
        self.orders += 1;
    }
}

impl StagedEngine for TestEngine {
    async fn report(&self) -> Result<EngineReport, EngineError> {
        let state = self.lock();
        if state.is_silent {
            let reason = "it has not started".to_owned();
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
                reason: "told to be".to_owned(),
            }),
        }
    }
}
