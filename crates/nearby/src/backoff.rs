//! Backoff of a process's own calls to the registry.

use std::collections::BTreeMap;
use std::time::Duration;

use wagtailreel_fleet::{BootTime, Topic};

/// Decides when a process calls the registry again after a failed call.
///
/// Load pattern: the registry is unreachable, and no neighbour has newer records. Without this, each
/// process calls the registry after each unsuccessful query to its neighbours: 219 processes make 700 calls
/// per second to a registry that has trouble answering, and notice its recovery no sooner than the readers
/// alone.
///
/// A failed call delays only calls for the same topic: a link that is too slow for a large configuration may
/// still carry the upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegistryBackoff {
    backoff: Duration,
    /// When the last failed call of each topic was sent. A call that is never answered fails seconds later, and
    /// a backoff from then on outlasts the bound on a change after an outage.
    failed: BTreeMap<Topic, BootTime>,
}

impl RegistryBackoff {
    /// Makes the state of a process that makes no further call for `backoff` from the start of a failed one.
    pub const fn new(backoff: Duration) -> Self {
        Self {
            backoff,
            failed: BTreeMap::new(),
        }
    }

    /// Returns whether a call for `topic` may be made at `now`. Readers, which relay the records to others,
    /// may always call.
    pub fn is_due(&self, topic: Topic, is_reader: bool, now: BootTime) -> bool {
        let has_passed = |sent: &BootTime| now.since(*sent) >= self.backoff;
        is_reader || self.failed.get(&topic).is_none_or(has_passed)
    }

    /// Returns whether the last call for `topic` failed, and none was answered since.
    pub fn has_failed(&self, topic: Topic) -> bool {
        self.failed.contains_key(&topic)
    }

    /// Records that the registry did not answer the call for `topic` that was sent at `sent`.
    pub fn note_failure(&mut self, topic: Topic, sent: BootTime) {
        self.failed.insert(topic, sent);
    }

    /// Records that the registry answered, which ends the backoff of both topics.
    pub fn note_answer(&mut self) {
        self.failed.clear();
    }
}
