//! How long a stream is waited for at the upstream that has it.

use std::time::Duration;

/// Least gap between two events after which callers leave a stream.
const LEAST_GAP: Duration = Duration::from_secs(2);

/// Objectives after which callers leave, if that is longer.
const OBJECTIVES: u32 = 4;

/// Longest wanted pauses after which callers leave, if that is longer still.
const PAUSES: u32 = 8;

/// Time between two looks at what is known of the upstream. Near agents tell ten times a second.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// What is known of an upstream that has a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Liveness {
    /// Nothing was heard of it lately, or its link is in doubt.
    #[display("silent")]
    Silent,
    /// It lives and has a free slot.
    #[display("room")]
    Free,
    /// It lives and all its slots are taken.
    #[display("full")]
    Full,
}

/// How long a stream that may go on elsewhere is waited for.
///
/// Load pattern: more is asked than can be served, and streams wait in engines' queues. One that is taken
/// off a full engine loses its place, finds the others as full, and its caller is told that nothing is
/// known of it: 2,300 streams in 14 s where 2.5 times as much is asked as 120 engines can serve. So a
/// full engine that lives is waited for as long as the caller waits; a silent one, and one that has room
/// and still sends nothing, is left in time for another to begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StallPolicy {
    usual: Duration,
}

impl StallPolicy {
    /// Makes the patience for a stream whose first event is wanted within `objective`, and whose events
    /// within `gap` of each other.
    ///
    /// It is half of the gap after which callers leave: the other half is for another upstream.
    pub fn new(objective: Duration, gap: Option<Duration>) -> Self {
        let by_gap = gap.unwrap_or_default() * PAUSES;
        let leaves_after = LEAST_GAP.max(objective * OBJECTIVES).max(by_gap);
        Self {
            usual: leaves_after / 2,
        }
    }

    /// Returns how long to wait before the next look, for an event that has been waited for since
    /// `waited`; none if the stream is to be taken off the upstream.
    pub fn next_check(&self, waited: Duration, liveness: Liveness) -> Option<Duration> {
        let left = self.usual.saturating_sub(waited);
        if !left.is_zero() {
            return Some(left);
        }
        (liveness == Liveness::Full).then_some(LOOK_EVERY)
    }
}
