//! What became of each request.

use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};
use tokio_util::sync::CancellationToken;
use wagtailreel_core::{Digest, RequestId};

use crate::token::prompt_hash;

/// How far a request is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestState {
    /// Waits for a slot.
    #[default]
    Waiting,
    /// Generates.
    Running,
    /// Was answered whole.
    Done,
    /// Was cancelled.
    Cancelled,
    /// Was cut: by a fault, by the loss of its bundle, or since nobody reads it any more.
    Cut,
}

/// What became of one request, over all times that it was sent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestStats {
    /// How often it was let in.
    pub received: u32,
    /// How often it was started. Above 1 it ran more than once.
    pub started: u32,
    /// How many of its starts were from the first token on. Above 1 it ran anew, not resumed.
    pub from_first: u32,
    /// Hash of the prompt as [`prompt_hash`](crate::prompt_hash) gives it, by which a caller who
    /// does not know the system's ids finds its own requests.
    pub prompt: String,
    /// Tokens given.
    pub tokens: u64,
    /// Bundle that it last ran on: the digest of the bytes that the engine really held.
    pub bundle: Option<Digest>,
    /// How far it is.
    pub state: RequestState,
}

/// One request that is remembered.
#[derive(Debug, Default)]
struct Entry {
    stats: RequestStats,
    tokens: Arc<AtomicU64>,
    cancel: CancellationToken,
    /// Answers that wait or run; more than one if the request was sent again.
    active: u32,
}

/// The requests that are remembered.
#[derive(Debug)]
pub(super) struct Requests {
    most: usize,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    entries: BTreeMap<RequestId, Entry>,
    /// Names in the order in which they came.
    order: VecDeque<RequestId>,
    forgotten: u64,
}

/// Follows one request that was let in.
#[derive(Clone, Debug)]
pub(super) struct Track {
    pub(super) tokens: Arc<AtomicU64>,
    pub(super) cancel: CancellationToken,
}

impl Requests {
    pub(super) fn new(most: usize) -> Self {
        Self {
            most: most.max(1),
            state: Mutex::default(),
        }
    }

    /// Notes that a request was let in.
    pub(super) fn receive(&self, request: &str, prompt: &str) -> Track {
        let mut state = self.lock();
        if !state.entries.contains_key(request) {
            state.order.push_back(request.to_owned());
            state.forget_beyond(self.most);
        }
        let entry = state.entries.entry(request.to_owned()).or_default();
        if entry.cancel.is_cancelled() {
            entry.cancel = CancellationToken::new();
        }
        entry.active += 1;
        entry.stats.received += 1;
        entry.stats.prompt = prompt_hash(prompt);
        entry.stats.state = RequestState::Waiting;
        Track {
            tokens: entry.tokens.clone(),
            cancel: entry.cancel.clone(),
        }
    }

    /// Notes that a request starts to generate, from the token `from` on, on the bytes with the
    /// digest `bundle`; false if
    /// it was cancelled and must not start.
    pub(super) fn start(&self, request: &str, bundle: Digest, from: u32) -> bool {
        let mut state = self.lock();
        let Some(entry) = state.entries.get_mut(request) else {
            return true;
        };
        // Under the lock of `cancel`: a request that was cancelled waiting never starts.
        if entry.cancel.is_cancelled() {
            return false;
        }
        entry.stats.started += 1;
        entry.stats.from_first += u32::from(from == 0);
        entry.stats.bundle = Some(bundle);
        entry.stats.state = RequestState::Running;
        true
    }

    /// Notes how a request ended.
    pub(super) fn end(&self, request: &str, end: RequestState) {
        let mut state = self.lock();
        let Some(entry) = state.entries.get_mut(request) else {
            return;
        };
        entry.active = entry.active.saturating_sub(1);
        let stays_cancelled = end == RequestState::Cut && entry.cancel.is_cancelled();
        if !stays_cancelled {
            entry.stats.state = end;
        }
    }

    /// Cancels a request that waits or runs; says whether it did, or none for an unknown one.
    pub(super) fn cancel(&self, request: &str) -> Option<bool> {
        let mut state = self.lock();
        let entry = state.entries.get_mut(request)?;
        if entry.active == 0 {
            return Some(false);
        }
        entry.cancel.cancel();
        entry.stats.state = RequestState::Cancelled;
        Some(true)
    }

    /// Returns what became of a request.
    pub(super) fn find(&self, request: &str) -> Option<RequestStats> {
        let state = self.lock();
        state.entries.get(request).map(Entry::stats)
    }

    /// Returns what became of all requests, and how many are forgotten.
    pub(super) fn all(&self) -> (BTreeMap<RequestId, RequestStats>, u64) {
        let state = self.lock();
        let entries = state.entries.iter();
        let all = entries.map(|(name, entry)| (name.clone(), entry.stats()));
        (all.collect(), state.forgotten)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Forgets the oldest requests, so that at most `most` are remembered.
    fn forget_beyond(&mut self, most: usize) {
        while self.order.len() > most {
            if let Some(oldest) = self.order.pop_front() {
                self.entries.remove(&oldest);
                self.forgotten += 1;
            }
        }
    }
}

impl Entry {
    fn stats(&self) -> RequestStats {
        RequestStats {
            tokens: self.tokens.load(Ordering::Relaxed),
            ..self.stats.clone()
        }
    }
}
