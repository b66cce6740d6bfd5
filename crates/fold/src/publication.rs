//! Ordered publication of a fold's states.

use std::sync::{Mutex, PoisonError};

/// Publishes states in the order in which they are read.
///
/// Without this, two threads can read the fold, the second publishes a newer state, and the first
/// then replaces it by its older one. The configuration reverts until the next change, and an
/// operator who waits for an edit gets the answer after 5 s that the edit was not read back.
#[derive(Debug, Default)]
pub struct Publication {
    turn: Mutex<()>,
}

impl Publication {
    /// Reads a state and publishes it before any other thread reads one. Returns the result of `put`.
    pub fn publish<T, U, R, P>(&self, read: R, put: P) -> U
    where
        R: FnOnce() -> T,
        P: FnOnce(T) -> U,
    {
        // A poisoned lock is safe: the mutex guards no data, and the next thread reads the state again.
        let _turn = self.turn.lock().unwrap_or_else(PoisonError::into_inner);
        put(read())
    }
}
