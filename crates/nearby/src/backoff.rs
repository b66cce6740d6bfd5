//! When a process asks the registry itself.

use std::collections::BTreeMap;
use std::time::Duration;

use wagtailreel_fleet::{BootTime, Topic};

/// When a process asks the registry itself though it did not answer before.
///
/// Load pattern: the registry is away, and no neighbour knows anything newer. If each process asks it
/// after each vain question to its neighbours, 219 processes make 700 calls a second to a registry
/// that is in trouble, and its return is noticed no sooner than by the first of them.
///
/// A call that failed holds back those of its own topic alone: a large configuration may not come over a link
/// that brings the upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegistryBackoff {
    backoff: Duration,
    failed_at: BTreeMap<Topic, BootTime>,
}

impl RegistryBackoff {
    /// Makes the turn of a process that waits for `backoff` after a call that failed.
    pub const fn new(backoff: Duration) -> Self {
        Self {
            backoff,
            failed_at: BTreeMap::new(),
        }
    }

    /// Says whether a call for `topic` is due at `now`; those that others hear through are always due.
    pub fn is_due(&self, topic: Topic, is_reader: bool, now: BootTime) -> bool {
        let has_passed = |failed_at: &BootTime| now.since(*failed_at) >= self.backoff;
        is_reader || self.failed_at.get(&topic).is_none_or(has_passed)
    }

    /// Takes that the registry did not answer a call for `topic`.
    pub fn note_failure(&mut self, topic: Topic, now: BootTime) {
        self.failed_at.insert(topic, now);
    }

    /// Takes that the registry answered: it is there for the other topic too.
    pub fn note_answer(&mut self) {
        self.failed_at.clear();
    }
}
