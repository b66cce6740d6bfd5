//! One request's way through the agent: remembered, admitted, started, ended.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use wagtailreel_core::{Digest, NotRunReason};
use wagtailreel_switch::Admission;

use crate::admitter::Admitter;
use crate::events;
use crate::requests::{Accepted, CancelState, Ledger, RequestKey, StartMode, Started};

/// Shards of the ledger, each under its own lock.
const SHARDS: usize = 64;

/// Requests that one shard remembers; over all shards about two million, which is 3,500 requests
/// a second for as long as they are kept. An id takes 96 bytes (measured), so that this much load
/// takes 200 MB, and 100 requests a second take 6 MB.
const MAX_SHARD_REQUESTS: usize = 32_768;

/// The ledger of all requests, in shards.
#[derive(Debug)]
pub struct Requests {
    shards: Vec<Mutex<Ledger>>,
    was_full: AtomicBool,
}

impl Default for Requests {
    fn default() -> Self {
        Self::new()
    }
}

impl Requests {
    /// Makes an empty ledger.
    pub fn new() -> Self {
        let shards = (0..SHARDS).map(|_| Mutex::new(Ledger::new(MAX_SHARD_REQUESTS)));
        Self {
            shards: shards.collect(),
            was_full: AtomicBool::new(false),
        }
    }

    /// Cancels a request.
    pub fn cancel(&self, request: &str) -> CancelState {
        let key = RequestKey::new(request);
        self.lock(key).cancel(key, Instant::now())
    }

    /// Logs that the ledger is full, once.
    fn warn_full(&self) {
        if !self.was_full.swap(true, Ordering::Relaxed) {
            events::LEDGER_FULL.emit(&[]);
        }
    }

    /// Locks the shard of `key`, under which a cancel and a start are told apart.
    fn lock(&self, key: RequestKey) -> MutexGuard<'_, Ledger> {
        let shard = &self.shards[key.shard(SHARDS)];
        shard.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Why a request does not go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// This attempt was not run.
    NotRun(NotRunReason),
    /// The request is or was running: nothing is known of its outcome here.
    Duplicate,
}

impl From<NotRunReason> for Refusal {
    fn from(reason: NotRunReason) -> Self {
        Self::NotRun(reason)
    }
}

/// What a request asks of the gate.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// Stands for the request's id.
    pub key: RequestKey,
    /// From the beginning or resumed.
    pub mode: StartMode,
    /// The bundle that must answer, if the caller wants a certain one.
    pub pin: Option<Digest>,
    /// When the request is no longer worth starting.
    pub deadline: Option<Instant>,
}

/// Where a passage is, so that its drop tells the ledger the truth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Accepted,
    Started,
    Undone,
}

/// A request that was admitted and is counted until this is dropped.
///
/// Invariant: dropped before [`RequestGuard::start`] the request is forgotten, after it remembered as
/// done, unless [`RequestGuard::undo_start`] says that the upstream started nothing.
#[derive(Debug)]
pub struct RequestGuard {
    requests: Arc<Requests>,
    admitter: Arc<Admitter>,
    req: AdmissionRequest,
    admission: Admission,
    stage: Stage,
}

impl RequestGuard {
    /// Checks a request against the ledger, the capacity and the gate, in this order, and counts
    /// it.
    ///
    /// # Errors
    ///
    /// Returns why the request does not go on.
    pub fn enter(
        requests: &Arc<Requests>,
        admitter: &Arc<Admitter>,
        req: AdmissionRequest,
    ) -> Result<Self, Refusal> {
        let now = Instant::now();
        let accepted = requests.lock(req.key).accept(req.key, req.mode, now);
        match accepted {
            Accepted::Pending => {}
            Accepted::Cancelled => return Err(NotRunReason::Cancelled.into()),
            Accepted::Full => {
                requests.warn_full();
                return Err(NotRunReason::Full.into());
            }
            Accepted::Duplicate => return Err(Refusal::Duplicate),
        }
        match admitter.enter(now, req.pin) {
            Ok(admission) => Ok(Self {
                requests: Arc::clone(requests),
                admitter: Arc::clone(admitter),
                req,
                admission,
                stage: Stage::Accepted,
            }),
            Err(reason) => {
                requests.lock(req.key).withdraw(req.key, now);
                Err(reason.into())
            }
        }
    }

    /// Returns the epoch and weights that the request was admitted to.
    pub fn admission(&self) -> Admission {
        self.admission
    }

    /// Marks the request as started; the caller sends it to the upstream right after.
    ///
    /// The ledger alone decides between the start and a cancel. The gate is asked again as the
    /// very last thing, with a fresh time: a process that was frozen since the request entered
    /// finds its lease lapsed here.
    ///
    /// # Errors
    ///
    /// Returns why the request does not go on; nothing was sent then.
    pub fn start(&mut self) -> Result<(), Refusal> {
        let key = self.req.key;
        if self.req.deadline.is_some_and(|at| Instant::now() >= at) {
            return Err(NotRunReason::Deadline.into());
        }
        let started = self.requests.lock(key).start(key, self.req.mode);
        match started {
            Started::Go => self.stage = Stage::Started,
            Started::Cancelled => return Err(NotRunReason::Cancelled.into()),
            Started::Duplicate => return Err(Refusal::Duplicate),
        }
        let confirmed = self.admitter.confirm(Instant::now(), self.admission);
        if confirmed.is_err() {
            self.undo_start();
        }
        confirmed.map_err(Refusal::from)
    }

    /// Takes the start back: the upstream says for certain that it started nothing.
    pub fn undo_start(&mut self) {
        self.stage = Stage::Undone;
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let (key, now) = (self.req.key, Instant::now());
        let mut ledger = self.requests.lock(key);
        match self.stage {
            Stage::Accepted => ledger.withdraw(key, now),
            Stage::Started => ledger.finish(key, now),
            Stage::Undone => ledger.undo_start(key, self.req.mode, now),
        }
        drop(ledger);
        self.admitter.leave(self.admission.epoch);
    }
}
