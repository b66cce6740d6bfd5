//! The order in which states of a fold are put in force.

use std::sync::{Mutex, PoisonError};

/// Puts states in force in the order in which they were read.
///
/// Prevented failure: two threads read the fold, the second reads and publishes a newer state, and
/// the first puts its older one in force over it. The configuration reverted until the next change,
/// and an operator who waited for his edit was told after 5 s that it was not read back.
#[derive(Debug, Default)]
pub struct Publication {
    turn: Mutex<()>,
}

impl Publication {
    /// Reads a state and puts it in force before anybody else reads one; returns what `put` returns.
    pub fn publish<T, U, R, P>(&self, read: R, put: P) -> U
    where
        R: FnOnce() -> T,
        P: FnOnce(T) -> U,
    {
        // A thread that panicked left nothing half done: the next one reads the state anew.
        let _turn = self.turn.lock().unwrap_or_else(PoisonError::into_inner);
        put(read())
    }
}
