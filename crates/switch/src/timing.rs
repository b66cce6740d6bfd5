//! Times of the switch, all derived from the lease.

use std::time::Duration;

/// Times of the switch. Every process of a data centre uses the same lease.
///
/// With lease `L`: sync rounds start every `L/8`; an attempt to reach a peer fails after `L/4`; an
/// entry may grant for `L/2` after it started a round; a lease that an agent may hold is waited
/// out for `9L/8` after the last message from it, the eighth being for clocks that run at different
/// rates; a peer that can't be reached is given up after `7L/4`.
///
/// Why `7L/4`: let the first failed attempt start at `f`. If the peer had started a round of its
/// own much after `f`, that round would have reached us. So its last grant is before `f + L/2`
/// and every lease from it has lapsed by `f + 3L/2`; a quarter is left for delays and clocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    lease: Duration,
}

impl Timing {
    /// Derives the times from the length of a lease.
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

    /// Returns how long an attempt to reach a peer may take.
    pub fn attempt_timeout(self) -> Duration {
        self.lease / 4
    }

    /// Returns how long an entry may grant leases after it started a sync round.
    pub fn grant_window(self) -> Duration {
        self.lease / 2
    }

    /// Returns how long an agent may be silent before it looks as if it had died. An agent sends
    /// its entries a message every quarter of a lease.
    pub fn suspect_after(self) -> Duration {
        self.lease * 3 / 8
    }

    /// Returns how long an agent may hold a lease after the last message from it.
    pub fn max_lease(self) -> Duration {
        self.lease + self.lease / 8
    }

    /// Returns how long a peer must have been out of reach until it is counted as gone.
    pub fn grace_time(self) -> Duration {
        self.lease + self.lease * 3 / 4
    }
}
