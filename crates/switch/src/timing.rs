//! Intervals and time-outs of the switch, all derived from the length of a lease.

use std::time::Duration;

/// Intervals and time-outs of the switch. Every process of a data centre uses the same lease.
///
/// With a lease of length `L`:
///
/// - A sync round starts every `L/8`.
/// - A call to a peer times out after `L/4`.
/// - An entry may grant leases for `L/2` after the start of a round.
/// - A lease that an agent may hold is taken to lapse `9L/8` after the last message from the agent.
///   The extra eighth allows for clocks that run at different rates.
/// - A peer that can't be reached counts as gone after `7L/4`.
///
/// Why `7L/4`: let the first failed attempt start at `f`. If the peer had started a round of its
/// own much after `f`, that round would have reached this entry. So the peer's last grant is before
/// `f + L/2`, and every lease from it has lapsed by `f + 3L/2`. The remaining `L/4` allows for
/// delays and differing clock rates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    lease: Duration,
}

impl Timing {
    /// Derives the intervals and time-outs from the length of a lease.
    pub const fn new(lease: Duration) -> Self {
        Self { lease }
    }

    /// Returns how long an agent may admit requests after it sent a report.
    pub const fn lease(self) -> Duration {
        self.lease
    }

    /// Returns the time from the start of one sync round to the next.
    pub fn round_interval(self) -> Duration {
        self.lease / 8
    }

    /// Returns the time-out of a call to a peer.
    pub fn attempt_timeout(self) -> Duration {
        self.lease / 4
    }

    /// Returns how long an entry may grant leases after it started a sync round.
    pub fn grant_window(self) -> Duration {
        self.lease / 2
    }

    /// Returns how long an agent may be silent before the entry suspects that the agent has died.
    /// An agent sends its entries a message every quarter of a lease.
    pub fn suspect_after(self) -> Duration {
        self.lease * 3 / 8
    }

    /// Returns how long an agent may hold a lease after the last message from it.
    pub fn max_lease(self) -> Duration {
        self.lease + self.lease / 8
    }

    /// Returns how long a peer must have been unreachable to count as gone.
    pub fn grace_time(self) -> Duration {
        self.lease + self.lease * 3 / 4
    }
}
