//! Ledger of one shard: which requests were started, cancelled or finished. Does no I/O.
//!
//! Two invariants hold while the ledger has a record of an id, which is at least [`RETENTION`]:
//!
//! - a request is started at most once, except for a resume that the caller asks for, and
//! - once a cancel was answered with [`CancelState::NotRun`], the request never starts.
//!
//! A full ledger refuses new ids instead of evicting a record early.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use derive_more::Display;
use serde::{Deserialize, Serialize};
use wagtailreel_core::Digest;

/// Minimum time for which the record of a cancelled or finished request is kept.
pub const RETENTION: Duration = Duration::from_mins(10);

/// Bytes of an id's digest that form its key; enough that collisions do not occur in practice.
const KEY_BYTES: usize = 16;

/// Key of a request: a prefix of the digest of its id, so that its size is fixed.
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

    /// Returns the index of the shard, of `shards`, that holds the record of the request.
    pub fn shard(&self, shards: usize) -> usize {
        usize::from(self.0[0]) % shards
    }
}

/// How a request starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartMode {
    /// From the first token.
    Fresh,
    /// From a token that the caller names, after its stream was cut.
    Resume,
}

/// Answer to [`Ledger::accept`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Accepted {
    /// The request is pending: the caller must call [`Ledger::start`] or [`Ledger::withdraw`].
    #[display("pending")]
    Pending,
    /// The request was cancelled before it was started; it was not run.
    #[display("cancelled")]
    Cancelled,
    /// The request is running or ran before, so its outcome is unknown here.
    #[display("duplicate")]
    Duplicate,
    /// The ledger has no capacity for another record.
    #[display("full")]
    Full,
}

/// Answer to [`Ledger::start`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Started {
    /// The request may be sent to the upstream now.
    #[display("go")]
    Go,
    /// A cancel came first and was answered that the request is not run.
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

/// State of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Accepted and not yet sent to the upstream. `ran` is set if an earlier attempt was sent.
    Pending { ran: bool },
    /// Sent to the upstream by this many running attempts; a cancelled request can't be resumed.
    Running { attempts: u32, cancelled: bool },
    /// Ended at `at`.
    Done { at: Instant, cancelled: bool },
    /// Cancelled at `at`, before it was started.
    Tombstone { at: Instant },
}

impl State {
    /// Returns when the state became final, or `None` if it is not final.
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
    /// Requests in the order in which they settled. Eviction skips a request that was resumed since.
    settled: VecDeque<(Instant, RequestKey)>,
}

impl Ledger {
    /// Creates an empty ledger with capacity for `limit` requests.
    pub const fn new(limit: usize) -> Self {
        Self {
            limit,
            states: BTreeMap::new(),
            settled: VecDeque::new(),
        }
    }

    /// Returns the number of recorded requests.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Returns whether no request is recorded.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// Records a request that is to run.
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
            // Repeated resumes of one request grow the queue but not the map.
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
            // The stream of the first attempt may be cut without the agent having noticed.
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
    /// The caller holds the shard's lock during this call and sends the request after it. A cancel
    /// that takes the lock earlier leaves a tombstone; one that takes it later finds the request
    /// started.
    pub fn start(&mut self, key: RequestKey, mode: StartMode) -> Started {
        let Some(state) = self.states.get_mut(&key) else {
            return Started::Duplicate;
        };
        match (&mut *state, mode) {
            (State::Tombstone { .. }, _) => return Started::Cancelled,
            (State::Pending { .. }, _) => {}
            // The previous attempt ended after the resume was accepted.
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

    /// Withdraws an accepted request that was refused before it was started.
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
            // Another attempt runs, or the request was cancelled.
            _ => {}
        }
    }

    /// Reverts the start of a request after the upstream reported that it started nothing.
    ///
    /// The record of a resumed request stays: the request ran before, here or elsewhere.
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

    /// Records that one attempt of a started request ended, with any outcome.
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

    /// Cancels a request. A request that was not started never starts afterwards.
    pub fn cancel(&mut self, key: RequestKey, now: Instant) -> CancelState {
        self.evict_expired(now);
        let has_capacity = self.states.len() < self.limit;
        match self.states.get_mut(&key) {
            // Without capacity for a tombstone, a later start can't be ruled out.
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

    /// Sets the final state of a request, from which its retention is counted.
    fn settle(&mut self, key: RequestKey, state: State) {
        if let Some(at) = state.final_since() {
            self.settled.push_back((at, key));
        }
        self.states.insert(key, state);
    }

    /// Evicts records that settled at least [`RETENTION`] ago.
    fn evict_expired(&mut self, now: Instant) {
        while let Some(&(at, key)) = self.settled.front() {
            if now.saturating_duration_since(at) < RETENTION {
                return;
            }
            self.settled.pop_front();
            let final_since = self.states.get(&key).and_then(State::final_since);
            // A resumed request has a later entry, or none until it settles again.
            if final_since == Some(at) {
                self.states.remove(&key);
            }
        }
    }
}
