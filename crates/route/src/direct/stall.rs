//! How long a stream may stall before it is moved to another upstream.

use std::time::{Duration, Instant};

use super::pick::Pick;
use super::upstreams::Upstreams;

/// Shortest gap between two events after which callers abandon a stream.
const MIN_CALLER_TIMEOUT: Duration = Duration::from_secs(2);

/// Number of objectives after which callers abandon a stream, if that is longer than the minimum.
const TIMEOUT_OBJECTIVES: u32 = 4;

/// Number of wanted gaps between events after which callers abandon a stream, if that is longer still.
const TIMEOUT_GAPS: u32 = 8;

/// Interval of the checks of the upstream's state once the stall timeout has passed. Local agents report ten
/// times a second.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Known state of an upstream that runs a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Liveness {
    /// There is no recent report on the upstream, or its link is suspect.
    #[display("silent")]
    Silent,
    /// The upstream responds and has a free slot.
    #[display("room")]
    Free,
    /// The upstream responds and all its slots are taken.
    #[display("full")]
    Full,
}

/// How long a stream that may continue elsewhere may stall.
///
/// Load pattern: under overload, streams wait in the queues of engines. A stream that is moved away from a
/// full engine loses its place in the queue, finds the other engines full as well, and its caller gets an
/// unknown outcome. This happened to 2,300 streams in 14 s under 2.5 times the load that 120 engines can
/// serve. So an upstream that is full and responds is waited for as long as the caller waits. A stream leaves
/// a silent upstream, or one with a free slot that sends nothing, early enough to begin at another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StallPolicy {
    stall_timeout: Duration,
}

impl StallPolicy {
    /// Creates the policy for a stream whose first event is wanted within `objective`, and whose events are
    /// wanted within `gap` of each other.
    ///
    /// The stall timeout is half of the time after which callers abandon the stream. The other half is for
    /// another upstream.
    pub fn new(objective: Duration, gap: Option<Duration>) -> Self {
        let by_gap = gap.unwrap_or_default() * TIMEOUT_GAPS;
        let caller_timeout = MIN_CALLER_TIMEOUT
            .max(objective * TIMEOUT_OBJECTIVES)
            .max(by_gap);
        Self {
            stall_timeout: caller_timeout / 2,
        }
    }

    /// Returns how long to wait before the next check if the next event has been awaited for `waited`, or
    /// `None` if the stream has to leave the upstream.
    pub fn next_check(&self, waited: Duration, liveness: Liveness) -> Option<Duration> {
        let left = self.stall_timeout.saturating_sub(waited);
        if !left.is_zero() {
            return Some(left);
        }
        (liveness == Liveness::Full).then_some(CHECK_INTERVAL)
    }
}

impl Upstreams {
    /// Returns whether the upstream that has a request responds, and whether it has a free slot.
    pub fn liveness(&self, pick: &Pick, now: Instant) -> Liveness {
        let member = self.members.get(&pick.id);
        let member = member.filter(|it| it.upstream.started == pick.started);
        let Some(member) = member.filter(|it| it.is_responsive(now) && !it.is_link_suspect(now))
        else {
            return Liveness::Silent;
        };
        if member.in_flight(now).0 >= member.upstream.slots {
            Liveness::Full
        } else {
            Liveness::Free
        }
    }
}
