//! A monotonic clock that keeps running while the VM is suspended.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Offset of the clock's origin before the boot of the VM. Times before the boot can be represented, so
/// that an age which another process reports to a process on a new VM isn't cut to the time since the boot.
const BEFORE_START: Duration = Duration::from_secs(24 * 60 * 60);

/// A time on a clock that includes the time for which the VM was suspended.
///
/// `Instant` does not advance while the VM is suspended: after the VM resumes, old state would look fresh,
/// and a key that was revoked in the meantime would still be accepted.
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

    /// Makes the time `since_origin` after the clock's origin, which is a day before the boot of the VM.
    pub const fn new(since_origin: Duration) -> Self {
        Self(since_origin)
    }

    /// Makes the time `millis` after the clock's origin, as [`Self::as_millis`] returned it.
    pub const fn from_millis(millis: u64) -> Self {
        Self(Duration::from_millis(millis))
    }

    /// Returns the milliseconds since the clock's origin, for sending to another process.
    pub fn as_millis(self) -> u64 {
        u64::try_from(self.0.as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later than this time.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the time `span` later.
    #[must_use]
    pub const fn plus(self, span: Duration) -> Self {
        Self(self.0.saturating_add(span))
    }

    /// Returns the time `span` earlier.
    #[must_use]
    pub const fn minus(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(span))
    }
}
