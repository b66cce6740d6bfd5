//! When a process asks the registry itself.

use std::time::Duration;

use wagtailreel_fleet::BootTime;

/// When a process asks the registry itself though it did not answer before.
///
/// Load pattern: the registry is away, and no neighbour knows anything newer. If each process asks it
/// after each vain question to its neighbours, 219 processes make 700 calls a second to a registry
/// that is in trouble, and its return is noticed no sooner than by the first of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnTurn {
    pause: Duration,
    failed_at: Option<BootTime>,
}

impl OwnTurn {
    /// Makes the turn of a process that waits for `pause` after a call that failed.
    pub const fn new(pause: Duration) -> Self {
        Self {
            pause,
            failed_at: None,
        }
    }

    /// Says whether a call is due at `now`; those that others hear through are always due.
    pub fn is_due(&self, is_reader: bool, now: BootTime) -> bool {
        let rested = |failed_at| now.since(failed_at) >= self.pause;
        is_reader || self.failed_at.is_none_or(rested)
    }

    /// Takes that the registry did not answer.
    pub const fn failed(&mut self, now: BootTime) {
        self.failed_at = Some(now);
    }

    /// Takes that the registry answered.
    pub const fn answered(&mut self) {
        self.failed_at = None;
    }
}
