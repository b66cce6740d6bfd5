//! Which requests were started, cancelled or finished: one shard's ledger, without I/O.
//!
//! Two invariants hold as long as an id is remembered, which is at least [`RETENTION`]:
//!
//! - a request is started at most once, but for a resume that the caller asks for, and
//! - once a cancel was answered with [`CancelState::NotRun`], the request never starts.
//!
//! A full ledger refuses new ids rather than forget one early.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use derive_more::Display;
use serde::{Deserialize, Serialize};
use wagtailreel_core::Digest;

/// How long a cancelled or finished request is remembered at least.
pub const RETENTION: Duration = Duration::from_mins(10);

/// Bytes of an id's digest that stand for it; long enough that no two ids share them.
const KEY_BYTES: usize = 16;

/// What stands for a request's id, of the same size for ids of any length.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestKey([u8; KEY_BYTES]);

impl RequestKey {
    /// Makes the key of a request's id.
    pub fn new(request: &str) -> Self {
        let digest = Digest::of(request.as_bytes());
        let mut key = [0; KEY_BYTES];
        key.copy_from_slice(&digest.as_bytes()[..KEY_BYTES]);
        Self(key)
    }

    /// Returns the shard of `shards` that keeps the request.
    pub fn shard(&self, shards: usize) -> usize {
        usize::from(self.0[0]) % shards
    }
}

/// How a request enters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartMode {
    /// From the beginning.
    Fresh,
    /// From a token that the caller names, after its stream was cut.
    Resume,
}

/// Answer to [`Ledger::accept`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Accepted {
    /// The request is pending: the caller goes on to [`Ledger::start`] or [`Ledger::withdraw`].
    #[display("pending")]
    Pending,
    /// The request was cancelled before it was started; it was not run.
    #[display("cancelled")]
    Cancelled,
    /// The request is or was running, so that nothing can be said of its outcome here.
    #[display("duplicate")]
    Duplicate,
    /// The ledger has no room to remember the request.
    #[display("full")]
    Full,
}

/// Answer to [`Ledger::start`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Started {
    /// The request may go to the upstream now.
    #[display("go")]
    Go,
    /// A cancel came first and was told that the request is not run.
    #[display("cancelled")]
    Cancelled,
    /// The request ran before, and a cancel came before it was resumed.
    #[display("duplicate")]
    Duplicate,
}

/// Answer to [`Ledger::cancel`], as the agent's listener gives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CancelState {
    /// The request was not started and never will be.
    #[display("not-run")]
    NotRun,
    /// The request was started.
    #[display("started")]
    Started,
    /// The request has ended.
    #[display("done")]
    Done,
}

/// What is known of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Accepted, and not yet given to the upstream. `ran` tells that an earlier attempt was.
    Pending { ran: bool },
    /// With the upstream, by as many attempts; `cancelled` refuses to resume it.
    Running { attempts: u32, cancelled: bool },
    /// Ended at the instant.
    Done { at: Instant, cancelled: bool },
    /// Cancelled at the instant before it was started.
    Tombstone { at: Instant },
}

impl State {
    /// Returns when the state became final, if it is.
    fn final_since(&self) -> Option<Instant> {
        match self {
            Self::Pending { .. } | Self::Running { .. } => None,
            Self::Done { at, .. } | Self::Tombstone { at } => Some(*at),
        }
    }
}

/// The requests of one shard.
#[derive(Debug)]
pub struct Ledger {
    limit: usize,
    states: BTreeMap<RequestKey, State>,
    /// Requests in the order in which they settled; one that was resumed since is passed over.
    settled: VecDeque<(Instant, RequestKey)>,
}

impl Ledger {
    /// Makes an empty ledger that remembers at most `limit` requests.
    pub const fn new(limit: usize) -> Self {
        Self {
            limit,
            states: BTreeMap::new(),
            settled: VecDeque::new(),
        }
    }

    /// Returns how many requests are remembered.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Says whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// Takes note of a request that wants to run.
    pub fn accept(&mut self, key: RequestKey, mode: StartMode, now: Instant) -> Accepted {
        self.evict_expired(now);
        let Some(state) = self.states.get(&key) else {
            if self.states.len() >= self.limit {
                return Accepted::Full;
            }
            self.states.insert(key, State::Pending { ran: false });
            return Accepted::Pending;
        };
        match (state, mode) {
            (State::Tombstone { .. }, _) => Accepted::Cancelled,
            // Resumes of one request over and over would grow the queue, not the map.
            (State::Done { .. }, StartMode::Resume) if self.settled.len() >= self.limit => {
                Accepted::Full
            }
            (
                State::Done {
                    cancelled: false, ..
                },
                StartMode::Resume,
            ) => {
                self.states.insert(key, State::Pending { ran: true });
                Accepted::Pending
            }
            // The stream of the first attempt may be cut where the agent does not see it yet.
            (
                State::Running {
                    cancelled: false, ..
                },
                StartMode::Resume,
            ) => Accepted::Pending,
            _ => Accepted::Duplicate,
        }
    }

    /// Starts a request that was accepted, unless a cancel came first.
    ///
    /// The caller holds the shard's lock for this call, and sends the request after it; a cancel
    /// that takes the lock first leaves a tombstone here, one that takes it later sees the
    /// request as started.
    pub fn start(&mut self, key: RequestKey, mode: StartMode) -> Started {
        let Some(state) = self.states.get_mut(&key) else {
            return Started::Duplicate;
        };
        match (&mut *state, mode) {
            (State::Tombstone { .. }, _) => return Started::Cancelled,
            (State::Pending { .. }, _) => {}
            // The attempt that is resumed has ended since the resume was accepted.
            (
                State::Done {
                    cancelled: false, ..
                },
                StartMode::Resume,
            ) => {}
            (
                State::Running {
                    attempts,
                    cancelled: false,
                },
                StartMode::Resume,
            ) => {
                *attempts += 1;
                return Started::Go;
            }
            _ => return Started::Duplicate,
        }
        *state = State::Running {
            attempts: 1,
            cancelled: false,
        };
        Started::Go
    }

    /// Takes back an accepted request that was refused before it was started.
    pub fn withdraw(&mut self, key: RequestKey, now: Instant) {
        match self.states.get(&key) {
            Some(State::Pending { ran: false }) => {
                self.states.remove(&key);
            }
            Some(State::Pending { ran: true }) => {
                self.settle(
                    key,
                    State::Done {
                        at: now,
                        cancelled: false,
                    },
                );
            }
            // Another attempt runs, or a cancel has the last word.
            _ => {}
        }
    }

    /// Takes back a started request of which the upstream says that nothing was started.
    ///
    /// A resumed request is not forgotten: it ran before, here or elsewhere.
    pub fn undo_start(&mut self, key: RequestKey, mode: StartMode, now: Instant) {
        let Some(State::Running {
            attempts,
            cancelled,
        }) = self.states.get_mut(&key)
        else {
            return;
        };
        *attempts -= 1;
        if *attempts > 0 {
            return;
        }
        let cancelled = *cancelled;
        match (mode, cancelled) {
            (StartMode::Resume, _) => self.settle(key, State::Done { at: now, cancelled }),
            (StartMode::Fresh, true) => self.settle(key, State::Tombstone { at: now }),
            (StartMode::Fresh, false) => {
                self.states.remove(&key);
            }
        }
    }

    /// Takes note that one attempt of a started request has ended, however it did.
    pub fn finish(&mut self, key: RequestKey, now: Instant) {
        let Some(State::Running {
            attempts,
            cancelled,
        }) = self.states.get_mut(&key)
        else {
            return;
        };
        *attempts -= 1;
        if *attempts > 0 {
            return;
        }
        let cancelled = *cancelled;
        self.settle(key, State::Done { at: now, cancelled });
    }

    /// Cancels a request: one that was not started never will be.
    pub fn cancel(&mut self, key: RequestKey, now: Instant) -> CancelState {
        self.evict_expired(now);
        let has_capacity = self.states.len() < self.limit;
        match self.states.get_mut(&key) {
            // Without room for a tombstone nothing can be promised.
            None if !has_capacity => CancelState::Started,
            None | Some(State::Pending { ran: false }) => {
                self.settle(key, State::Tombstone { at: now });
                CancelState::NotRun
            }
            Some(State::Tombstone { .. }) => CancelState::NotRun,
            Some(State::Running { cancelled, .. }) => {
                *cancelled = true;
                CancelState::Started
            }
            Some(State::Pending { ran: true }) => {
                self.settle(
                    key,
                    State::Done {
                        at: now,
                        cancelled: true,
                    },
                );
                CancelState::Done
            }
            Some(State::Done { cancelled, .. }) => {
                *cancelled = true;
                CancelState::Done
            }
        }
    }

    /// Gives a request its final state, from which its time to be remembered runs.
    fn settle(&mut self, key: RequestKey, state: State) {
        if let Some(at) = state.final_since() {
            self.settled.push_back((at, key));
        }
        self.states.insert(key, state);
    }

    /// Forgets what settled longer ago than [`RETENTION`].
    fn evict_expired(&mut self, now: Instant) {
        while let Some(&(at, key)) = self.settled.front() {
            if now.saturating_duration_since(at) < RETENTION {
                return;
            }
            self.settled.pop_front();
            let final_since = self.states.get(&key).and_then(State::final_since);
            // A request that was resumed has settled again, later.
            if final_since == Some(at) {
                self.states.remove(&key);
            }
        }
    }
}
