//! Activity of a connection: its requests and when bytes last passed.

use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Maximum bytes of empty lines before a head. The HTTP library skips them without a limit, and with many of
/// them never looks at the time for a head. A caller sends one empty line at most.
const MAX_EMPTY_LINE_BYTES: usize = 1024;

/// Activity of a connection, shared by its socket, its requests and the task that closes it.
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
    /// The head of a request has been read in part.
    has_partial_head: bool,
    /// Bytes of empty lines that were read since the last request.
    empty_line_bytes: usize,
    /// A write is pending because the send buffer is full.
    is_blocked: bool,
    /// The server has the rest of the response.
    has_whole_response: bool,
    /// The body of the response ends with the connection.
    ends_with_connection: bool,
    /// The peer has shut down its writing side or reset the connection.
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
                empty_line_bytes: 0,
                is_blocked: false,
                has_whole_response: false,
                ends_with_connection: false,
                has_ended: false,
            }),
        }
    }

    /// Records that `bytes` were read. Empty lines between requests do not start a head.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller sends too many empty lines.
    pub(crate) fn on_read(&self, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.lock();
        state.last = Instant::now();
        let is_head = state.has_partial_head || bytes.iter().any(|it| !b"\r\n".contains(it));
        state.has_partial_head = state.open == 0 && is_head;
        if state.open == 0 && !is_head {
            state.empty_line_bytes += bytes.len();
        }
        if state.empty_line_bytes > MAX_EMPTY_LINE_BYTES {
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "too many empty lines before a request",
            ));
        }
        Ok(())
    }

    /// Records that the peer has shut down its writing side or reset the connection.
    pub(crate) fn on_peer_end(&self) {
        self.lock().has_ended = true;
    }

    /// Returns whether the peer has shut down its writing side or reset the connection.
    pub(crate) fn has_ended(&self) -> bool {
        self.lock().has_ended
    }

    /// Records that bytes were written.
    pub(crate) fn on_write(&self) {
        let mut state = self.lock();
        state.last = Instant::now();
        state.is_blocked = false;
    }

    /// Records that a write is pending because the peer reads too slowly.
    pub(crate) fn on_write_blocked(&self) {
        self.lock().is_blocked = true;
    }

    /// Records that the head of a request has been read in full.
    pub(crate) fn on_request(self: &Arc<Self>) -> Arc<OpenRequest> {
        let mut state = self.lock();
        state.requests += 1;
        state.open += 1;
        state.has_partial_head = false;
        state.empty_line_bytes = 0;
        state.has_whole_response = false;
        drop(state);
        Arc::new(OpenRequest {
            activity: Arc::clone(self),
            is_read: AtomicBool::new(false),
        })
    }

    /// Returns how long no byte of a response has been written, or `None` if no write is pending.
    pub(crate) fn blocked(&self, now: Instant) -> Option<Duration> {
        let state = self.lock();
        let quiet = now.saturating_duration_since(state.last);
        state.is_blocked.then_some(quiet)
    }

    /// Returns whether the server has the rest of the response that it writes.
    pub(crate) fn has_whole_response(&self) -> bool {
        self.lock().has_whole_response
    }

    /// Records that the body of the response has neither a length nor chunks, and so ends with the connection.
    pub(crate) fn on_unframed_response(&self) {
        self.lock().ends_with_connection = true;
    }

    /// Returns whether the body of the response ends with the connection, as that of no later one can.
    pub(crate) fn ends_with_connection(&self) -> bool {
        self.lock().ends_with_connection
    }

    /// Returns how many requests the connection has received.
    pub(crate) fn requests(&self) -> u64 {
        self.lock().requests
    }

    /// Returns how many requests are not answered in full yet.
    pub(crate) fn open(&self) -> u32 {
        self.lock().open
    }

    /// Returns the time since a byte was last read or written.
    pub(crate) fn quiet(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.lock().last)
    }

    /// Returns how long the connection has been idle, or `None` while a request is read or answered.
    ///
    /// A partial head that has received no byte for `head_timeout` counts as abandoned.
    pub(crate) fn idle(&self, now: Instant, head_timeout: Duration) -> Option<Duration> {
        let state = self.lock();
        let quiet = now.saturating_duration_since(state.last);
        let is_reading = state.has_partial_head && quiet < head_timeout;
        let is_busy = state.open > 0 || state.is_blocked || is_reading;
        (!is_busy).then_some(quiet)
    }

    /// Returns whether a partial head is the only work in progress on the connection.
    pub(crate) fn is_in_head(&self) -> bool {
        let state = self.lock();
        state.has_partial_head && state.open == 0 && !state.is_blocked
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request that is not answered in full, or whose body is still being read.
///
/// Dropping the value marks both as finished.
#[derive(Debug)]
pub(crate) struct OpenRequest {
    activity: Arc<Activity>,
    /// The request body has been read to its end.
    is_read: AtomicBool,
}

impl OpenRequest {
    /// Records that the request body was read to its end.
    pub(crate) fn on_body_read(&self) {
        self.is_read.store(true, Ordering::Relaxed);
    }

    /// Records that the server has the rest of the response.
    pub(crate) fn on_whole_response(&self) {
        self.activity.lock().has_whole_response = true;
    }

    /// Returns whether the request body was read to its end.
    pub(crate) fn is_read(&self) -> bool {
        self.is_read.load(Ordering::Relaxed)
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.activity.lock().open -= 1;
    }
}
