//! What a connection has done so far.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// What a connection has done so far, shared by its socket, its requests and whoever ends it.
#[derive(Debug)]
pub(crate) struct Activity {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    /// When a byte was last read or written.
    last: Instant,
    requests: u64,
    open: u32,
    /// The peer doesn't take what is written.
    is_blocked: bool,
}

impl Activity {
    pub(crate) fn new() -> Self {
        Self {
            state: Mutex::new(State {
                last: Instant::now(),
                requests: 0,
                open: 0,
                is_blocked: false,
            }),
        }
    }

    /// Takes that bytes were read.
    pub(crate) fn read(&self) {
        self.lock().last = Instant::now();
    }

    /// Takes that bytes were written.
    pub(crate) fn wrote(&self) {
        let mut state = self.lock();
        state.last = Instant::now();
        state.is_blocked = false;
    }

    /// Takes that the peer reads too slowly for more to be written.
    pub(crate) fn blocked(&self) {
        self.lock().is_blocked = true;
    }

    /// Takes that a request has been read.
    pub(crate) fn begin(self: &Arc<Self>) -> OpenRequest {
        let mut state = self.lock();
        state.requests += 1;
        state.open += 1;
        drop(state);
        OpenRequest {
            activity: Arc::clone(self),
        }
    }

    /// Returns how many requests came.
    pub(crate) fn requests(&self) -> u64 {
        self.lock().requests
    }

    /// Returns how many requests have no whole answer.
    pub(crate) fn open(&self) -> u32 {
        self.lock().open
    }

    /// Returns for how long no byte has passed.
    pub(crate) fn quiet(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.lock().last)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request without a whole answer. Dropping it says that the answer is whole, or given up.
#[derive(Debug)]
pub(crate) struct OpenRequest {
    activity: Arc<Activity>,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.activity.lock().open -= 1;
    }
}
