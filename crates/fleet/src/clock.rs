//! A clock that goes on while the VM is suspended.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Time before the start of the VM that can still be told, so that an age which another process tells
/// to one on a new VM isn't cut to the time since the start.
const BEFORE_START: Duration = Duration::from_secs(24 * 60 * 60);

/// A moment on the clock that counts the time of a suspended VM.
///
/// `Instant` stands still while a VM is suspended: a belief would look fresh after it woke up, and
/// a key that was revoked meanwhile would still be honoured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootTime(Duration);

impl BootTime {
    /// Reads the clock.
    pub fn now() -> Self {
        let now = clock_gettime(ClockId::Boottime);
        let secs = u64::try_from(now.tv_sec).unwrap_or(0);
        let nanos = u32::try_from(now.tv_nsec).unwrap_or(0);
        Self(BEFORE_START.saturating_add(Duration::new(secs, nanos)))
    }

    /// Makes the moment `since_origin` after the clock's origin, a day before the start of the VM.
    pub const fn new(since_origin: Duration) -> Self {
        Self(since_origin)
    }

    /// Makes the moment `millis` after the clock's origin, as another process was told it.
    pub const fn from_millis(millis: u64) -> Self {
        Self(Duration::from_millis(millis))
    }

    /// Returns the milliseconds since the clock's origin, to be told to another process.
    pub fn as_millis(self) -> u64 {
        u64::try_from(self.0.as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns the time from `earlier` to this moment, zero if it lies before.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the moment `span` later.
    #[must_use]
    pub const fn plus(self, span: Duration) -> Self {
        Self(self.0.saturating_add(span))
    }

    /// Returns the moment `span` earlier.
    #[must_use]
    pub const fn minus(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(span))
    }
}
