//! Life cycle of a request in the agent: recorded, admitted, started, ended.

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

/// Capacity of one shard in requests. All shards hold about two million, which is 3,500 requests a
/// second over the retention. A record takes 96 bytes, so a full ledger takes 200 MB, and 100
/// requests a second take 6 MB.
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

    /// Locks the shard of `key`; the lock orders a cancel and a start of the request.
    fn lock(&self, key: RequestKey) -> MutexGuard<'_, Ledger> {
        let shard = &self.shards[key.shard(SHARDS)];
        shard.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// This attempt was not run.
    NotRun(NotRunReason),
    /// The request is running or ran before: its outcome is unknown here.
    Duplicate,
}

impl From<NotRunReason> for Refusal {
    fn from(reason: NotRunReason) -> Self {
        Self::NotRun(reason)
    }
}

/// What the gate and the ledger check of a request.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// Key of the request's id.
    pub key: RequestKey,
    /// Fresh or resumed.
    pub mode: StartMode,
    /// The bundle that must answer, if the caller requires a specific one.
    pub pin: Option<Digest>,
    /// Time from which the request must not be started any more.
    pub deadline: Option<Instant>,
}

/// Progress of a request, which decides what the drop of its guard records in the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Accepted,
    Started,
    Undone,
}

/// Guard of an admitted request, which counts as running until the guard is dropped.
///
/// Invariant: a drop before [`RequestGuard::start`] withdraws the request from the ledger. A drop
/// after it records the request as done, unless [`RequestGuard::undo_start`] was called.
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
    /// Returns why the request is refused.
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
    /// The ledger alone decides between the start and a cancel. The last step checks the gate
    /// again with the current time: a process that was suspended after admission detects here that
    /// its lease has expired.
    ///
    /// # Errors
    ///
    /// Returns why the request is refused; nothing was sent then.
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

    /// Reverts the start: the upstream reported definitely that it started nothing.
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
