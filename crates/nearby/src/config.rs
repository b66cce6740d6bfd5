//! Limits of reading through neighbours.

use std::time::Duration;

use wagtailreel_fleet::Topic;

/// How long a neighbour may wait for news. With the time-out it stays well below the 2 s in which a
/// change of the registry has to be in force.
const NEIGHBOUR_WAIT: Duration = Duration::from_millis(400);

/// How long the registry may hold a read whose answer is passed on: neighbours measure its age.
pub(crate) const READER_WAIT: Duration = Duration::from_millis(600);

/// How late a neighbour's read of the registry may come.
const MAX_READ_DELAY: Duration = Duration::from_millis(300);

/// Time for the neighbour's answer that is too old, and for the own call in its place.
const STALE_ANSWER_AND_READ: Duration = Duration::from_millis(1100);

/// How long an entry that starts waits at most to hear of its neighbours: a read of the upstreams over a link
/// that is half full (0.35 s), and two questions to their agents. With 0.3 s, ten entries that lost power together
/// read 1,500 routes each for themselves and had them after 1.3 to 2.2 s, where the others of their data
/// centre had them from a neighbour after 0.2 s.
const ENTRY_START_WAIT: Duration = Duration::from_millis(700);

/// How long another process that starts waits to be asked by an entry that has started too.
const NON_READER_START_WAIT: Duration = Duration::from_secs(2);

/// Entries of a data centre that go on asking a registry which does not answer: the first, and one
/// that stands in where the first is cut off.
const READERS: usize = 2;

/// Pause of the other entries. A change has to be in force 3 s after an entry reaches the registry
/// again at the earliest, since it has to have been in touch for as long.
const ENTRY_BACKOFF: Duration = Duration::from_millis(1600);

/// How long an entry waits for readers that are slow, and tell of nothing later: longer than a read of
/// the upstreams over a link that is half full.
const ENTRY_FALLBACK_AFTER: Duration = Duration::from_millis(350);

/// How far apart entries begin to read beside such readers: 14 of them one each 75 ms, about as long as one
/// packed configuration of 1,500 routes takes over a link of 26 Mbit/s.
const ENTRY_FALLBACK_SPREAD: Duration = Duration::from_millis(1050);

/// Pause of processes that ask now and then. Entries tell them of what is urgent.
const NON_READER_BACKOFF: Duration = Duration::from_secs(4);

/// How old a neighbour's knowledge may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharedRegistryConfig {
    /// Of the settings.
    pub settings_age: Duration,
    /// Of the upstreams.
    pub upstreams_age: Duration,
    /// How long a neighbour may wait for news.
    pub wait: Duration,
    /// Entries, first in order, that go on asking a registry which does not answer. The others hear
    /// of its return from them.
    pub readers: usize,
    /// How long the others wait after the registry did not answer them before they ask it again; half
    /// as long again at most.
    pub backoff: Duration,
    /// How long a process at least waits for neighbours that are still reading before it reads beside them.
    pub fallback_after: Duration,
    /// How much longer it may wait: each process a share of its own.
    pub fallback_spread: Duration,
    /// How long the first read of the settings waits to hear of neighbours. Of processes that start
    /// together each would read all of a large configuration over its region's link.
    pub start_wait: Duration,
}

impl SharedRegistryConfig {
    /// Makes the limits under which a change of the settings is in force within `settings`, and one
    /// of the upstreams, which readers read each `read_interval`, 1.3 s after that time.
    pub fn new(settings: Duration, read_interval: Duration) -> Self {
        Self {
            settings_age: settings
                .saturating_sub(STALE_ANSWER_AND_READ)
                .max(READER_WAIT + MAX_READ_DELAY),
            upstreams_age: read_interval + MAX_READ_DELAY,
            wait: NEIGHBOUR_WAIT,
            readers: READERS,
            backoff: ENTRY_BACKOFF,
            fallback_after: ENTRY_FALLBACK_AFTER,
            fallback_spread: ENTRY_FALLBACK_SPREAD,
            start_wait: ENTRY_START_WAIT,
        }
    }

    /// Makes the limits of a process that asks now and then, and does not wait for news.
    pub const fn for_non_reader(age: Duration) -> Self {
        Self {
            settings_age: age,
            upstreams_age: age,
            wait: Duration::ZERO,
            readers: 0,
            backoff: NON_READER_BACKOFF,
            fallback_after: NON_READER_BACKOFF,
            fallback_spread: NON_READER_BACKOFF,
            start_wait: NON_READER_START_WAIT,
        }
    }

    pub(crate) const fn max_age(&self, topic: Topic) -> Duration {
        match topic {
            Topic::Settings => self.settings_age,
            Topic::Upstreams => self.upstreams_age,
        }
    }
}
