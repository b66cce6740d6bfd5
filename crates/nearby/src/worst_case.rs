//! Longest times until a change of the registry is in force, summed up from the time limits.

use std::time::Duration;

use wagtailreel_fleet::FollowConfig;

use crate::SharedRegistryConfig;
use crate::config::NEIGHBOUR_WAIT;
use crate::neighbour::NEIGHBOUR_TIMEOUT;

/// Longest time that a sound but slow registry takes to answer.
const SLOW_ANSWER: Duration = Duration::from_millis(250);

/// Longest time that a large configuration takes to a dozen neighbours.
const SLOW_COPY: Duration = Duration::from_millis(100);

/// Longest times until a change of one topic is in force at the entries of a data centre.
///
/// The times with a sound registry count from the acknowledgement of the change, those after an outage from
/// its end. The worst call after an outage was sent just before its end and is never answered.
#[derive(Clone, Copy, Debug)]
pub struct WorstCase {
    cfg: SharedRegistryConfig,
    follow: FollowConfig,
}

impl WorstCase {
    /// Makes the sums for a topic that is followed by `follow` through neighbours by `cfg`.
    pub const fn new(cfg: SharedRegistryConfig, follow: FollowConfig) -> Self {
        Self { cfg, follow }
    }

    /// Returns the delay at the entry that reads the registry.
    pub fn reader(&self) -> Duration {
        self.follow.interval_after_read(SLOW_ANSWER) + SLOW_ANSWER
    }

    /// Returns the delay at an entry that reads copies.
    pub fn relayed(&self) -> Duration {
        self.reader() + SLOW_COPY
    }

    /// Returns the delay at an entry that has just read the registry itself, and whose neighbour falls silent
    /// while it answers the next query.
    pub fn silent_neighbour(&self) -> Duration {
        let silence = NEIGHBOUR_WAIT + NEIGHBOUR_TIMEOUT * 2;
        self.follow.interval_after_read(SLOW_ANSWER) + silence + SLOW_ANSWER
    }

    /// Returns the delay at an entry whose neighbour is cut off from the registry.
    pub fn cut_neighbour(&self) -> Duration {
        let until_stale = self.cfg.max_age(self.follow.topic) + NEIGHBOUR_WAIT;
        until_stale.max(self.lost_call(true)) + SLOW_COPY + SLOW_ANSWER
    }

    /// Returns the delay after an outage at a reader from which others read copies.
    pub fn reader_after_outage(&self) -> Duration {
        self.lost_call(true) + self.follow.max_backoff + self.read_after_outage()
    }

    /// Returns the delay after an outage at a reader from which nobody reads copies.
    pub fn lone_reader_after_outage(&self) -> Duration {
        self.lost_call(false) + self.follow.max_backoff + self.read_after_outage()
    }

    /// Returns the delay after an outage at an entry that reads copies.
    pub fn relayed_after_outage(&self) -> Duration {
        let own_call = self.lost_call(false);
        own_call.max(self.reader_after_outage()) + self.follow.max_backoff + SLOW_COPY
    }

    /// Returns the delay after an outage at an entry whose readers stay cut off from the registry.
    pub fn cut_readers_after_outage(&self) -> Duration {
        let until_due = self.lost_call(false).max(self.cfg.max_backoff());
        until_due + self.follow.max_backoff + self.read_after_outage()
    }

    /// Returns how long a call lasts that is made in an outage and never answered; `is_queried` says whether
    /// neighbours read from the process that makes it.
    fn lost_call(&self, is_queried: bool) -> Duration {
        let hold = self.cfg.max_hold(self.follow.wait, is_queried, true);
        hold + self.follow.timeout
    }

    /// Returns the time of a read that is told that its records were deleted, and of the snapshot after it.
    fn read_after_outage(&self) -> Duration {
        SLOW_ANSWER * 2
    }
}
