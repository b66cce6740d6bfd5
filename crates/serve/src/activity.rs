//! What a connection has done so far.

use std::sync::atomic::{AtomicBool, Ordering};
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
    /// Bytes of a head were read that is not whole yet.
    has_partial_head: bool,
    /// The peer doesn't take what is written.
    is_blocked: bool,
    /// The peer has ended its side.
    has_ended: bool,
}

impl Activity {
    pub(crate) fn new() -> Self {
        Self {
            state: Mutex::new(State {
                last: Instant::now(),
                requests: 0,
                open: 0,
                has_partial_head: false,
                is_blocked: false,
                has_ended: false,
            }),
        }
    }

    /// Takes that `bytes` were read. Empty lines between requests begin no head.
    pub(crate) fn on_read(&self, bytes: &[u8]) {
        let mut state = self.lock();
        state.last = Instant::now();
        let is_head = state.has_partial_head || bytes.iter().any(|it| !b"\r\n".contains(it));
        state.has_partial_head = state.open == 0 && is_head;
    }

    /// Takes that the peer has ended its side, or reset the connection.
    pub(crate) fn on_peer_end(&self) {
        self.lock().has_ended = true;
    }

    /// Says whether the peer has ended its side.
    pub(crate) fn has_ended(&self) -> bool {
        self.lock().has_ended
    }

    /// Takes that bytes were written.
    pub(crate) fn on_write(&self) {
        let mut state = self.lock();
        state.last = Instant::now();
        state.is_blocked = false;
    }

    /// Takes that the peer reads too slowly for more to be written.
    pub(crate) fn on_write_blocked(&self) {
        self.lock().is_blocked = true;
    }

    /// Takes that the head of a request has been read.
    pub(crate) fn on_request(self: &Arc<Self>) -> Arc<OpenRequest> {
        let mut state = self.lock();
        state.requests += 1;
        state.open += 1;
        state.has_partial_head = false;
        drop(state);
        Arc::new(OpenRequest {
            activity: Arc::clone(self),
            is_read: AtomicBool::new(false),
        })
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

    /// Returns for how long the connection has been idle; none while a request is read or answered.
    ///
    /// A head of which nothing came for `head_timeout` counts as none: its caller has given up.
    pub(crate) fn idle(&self, now: Instant, head_timeout: Duration) -> Option<Duration> {
        let state = self.lock();
        let quiet = now.saturating_duration_since(state.last);
        let is_reading = state.has_partial_head && quiet < head_timeout;
        let is_busy = state.open > 0 || state.is_blocked || is_reading;
        (!is_busy).then_some(quiet)
    }

    /// Says whether the beginning of a head is all that is under way.
    pub(crate) fn is_in_head(&self) -> bool {
        let state = self.lock();
        state.has_partial_head && state.open == 0 && !state.is_blocked
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request without a whole answer, or whose body is still read. Dropping it says that both are over.
#[derive(Debug)]
pub(crate) struct OpenRequest {
    activity: Arc<Activity>,
    /// The request's body was read to its end.
    is_read: AtomicBool,
}

impl OpenRequest {
    /// Takes that the request's body was read to its end.
    pub(crate) fn on_body_read(&self) {
        self.is_read.store(true, Ordering::Relaxed);
    }

    /// Says whether the request's body was read to its end.
    pub(crate) fn is_read(&self) -> bool {
        self.is_read.load(Ordering::Relaxed)
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.activity.lock().open -= 1;
    }
}
