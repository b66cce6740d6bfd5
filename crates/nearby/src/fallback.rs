//! When a process reads the registry beside the neighbours that read it.

use std::collections::BTreeMap;
use std::time::Duration;

use wagtailreel_fleet::{BootTime, Topic};

/// When a process stands in for neighbours that are still reading, though what they know is old.
///
/// Load pattern: the link of a data centre is full, and the reads of those that read for it take longer
/// than what they know may be old. If all others then read too, 14 whole configurations cross the
/// link in place of one, and none comes in time until long after the cause is over. But where only the
/// readers' own links are slow, others have to read in their place before a change is due: so they begin
/// one after the other, each after a time of its own, and each new word from a reader begins the wait
/// anew.
#[derive(Clone, Debug)]
pub struct FallbackRead {
    after: Duration,
    waits: BTreeMap<Topic, Wait>,
}

/// A wait for readers.
#[derive(Clone, Copy, Debug)]
struct Wait {
    since: BootTime,
    /// The latest moment that they told of.
    as_of: Option<BootTime>,
}

impl FallbackRead {
    /// Makes the turn of a process that waits for its readers for the time `after`.
    pub const fn new(after: Duration) -> Self {
        Self {
            after,
            waits: BTreeMap::new(),
        }
    }

    /// Says whether a read of `topic` is due at `now` though neighbours are reading it, which told of the
    /// moment `as_of`.
    pub fn is_due(&mut self, topic: Topic, as_of: Option<BootTime>, now: BootTime) -> bool {
        let started = Wait { since: now, as_of };
        let wait = self.waits.entry(topic).or_insert(started);
        if wait.as_of < as_of {
            *wait = started;
        }
        now.since(wait.since) >= self.after
    }

    /// Takes that a neighbour told of `topic` what is young enough.
    pub fn note_fresh_answer(&mut self, topic: Topic) {
        self.waits.remove(&topic);
    }
}
