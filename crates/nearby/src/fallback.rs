//! Fallback reads of the registry by processes whose readers are slow.

use std::collections::BTreeMap;
use std::time::Duration;

use wagtailreel_fleet::{BootTime, Topic};

/// Decides when a process reads the registry itself while neighbours with old records are still reading it.
///
/// Load pattern: the link of a data centre is saturated, and reads by its readers take longer than the age
/// limit of their records. Without this, all other entries read too: 14 complete configurations cross the
/// link in place of one, and none arrives in time until long after the cause has ended. If only the readers'
/// own links are slow, others have to read in their place before a change has to be in force. So processes
/// start to read one after the other, each after a delay of its own, and each newer answer from a reader
/// restarts the delay.
#[derive(Clone, Debug)]
pub struct FallbackRead {
    after: Duration,
    waits: BTreeMap<Topic, Wait>,
}

/// A wait for the readers of a topic.
#[derive(Clone, Copy, Debug)]
struct Wait {
    since: BootTime,
    /// The latest time as of which a reader's records held.
    as_of: Option<BootTime>,
}

impl FallbackRead {
    /// Makes the state of a process that waits `after` for its readers.
    pub const fn new(after: Duration) -> Self {
        Self {
            after,
            waits: BTreeMap::new(),
        }
    }

    /// Returns whether to read `topic` at `now` although neighbours are reading it. The records of these
    /// neighbours hold as of `as_of`.
    pub fn is_due(&mut self, topic: Topic, as_of: Option<BootTime>, now: BootTime) -> bool {
        let started = Wait { since: now, as_of };
        let wait = self.waits.entry(topic).or_insert(started);
        if wait.as_of < as_of {
            *wait = started;
        }
        now.since(wait.since) >= self.after
    }

    /// Records that a neighbour returned sufficiently recent records of `topic`.
    pub fn note_fresh_answer(&mut self, topic: Topic) {
        self.waits.remove(&topic);
    }
}
