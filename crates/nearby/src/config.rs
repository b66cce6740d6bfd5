//! Time limits for reading the registry through neighbours.

use std::time::Duration;

use wagtailreel_fleet::Topic;

/// How long a neighbour may wait for new records before it answers. Together with the time-out this stays
/// well below the 2 s in which a change of the registry has to be in force.
pub(crate) const NEIGHBOUR_WAIT: Duration = Duration::from_millis(400);

/// How long the registry may hold a read whose answer is relayed: until the answer, the age of the relayed
/// records grows.
pub(crate) const READER_WAIT: Duration = Duration::from_millis(600);

/// How long the registry may hold a read after one that failed, or beside neighbours that failed. A read that
/// is lost at the end of an outage delays the next one until it times out, and a change has to be in force
/// 3 s after the outage.
const RETRY_WAIT: Duration = Duration::from_millis(1200);

/// How late a neighbour's read of the registry may be.
const MAX_READ_DELAY: Duration = Duration::from_millis(300);

/// Time for a neighbour's stale answer and for the call to the registry that replaces it.
const STALE_ANSWER_AND_READ: Duration = Duration::from_millis(1100);

/// How long a starting entry waits at most to learn its neighbours: a read of the upstreams over a link that
/// is half used (0.35 s), and two polls of their agents. With 0.3 s, ten entries that restart together after
/// a power failure each read 1,500 routes from the registry, which takes 1.3 to 2.2 s; from a neighbour the
/// routes come after 0.2 s.
const ENTRY_START_WAIT: Duration = Duration::from_millis(700);

/// How long another starting process waits to be polled by an entry that is starting too.
const NON_READER_START_WAIT: Duration = Duration::from_secs(2);

/// Number of entries of a data centre that keep calling a registry that does not answer: the first, and one
/// more in case the first is cut off.
const READERS: usize = 2;

/// Backoff of the other entries. A change has to be in force 3 s after an entry reaches the registry again
/// at the earliest: the bound applies only after the entry has been connected for that long. The backoff, which
/// is up to half as long again, leaves time for the pause of the follower and for two slow answers.
const ENTRY_BACKOFF: Duration = Duration::from_millis(1350);

/// How long an entry waits for slow readers whose records get no newer: longer than a read of the upstreams
/// over a link that is half used.
const ENTRY_FALLBACK_AFTER: Duration = Duration::from_millis(350);

/// Time over which the fallback reads of the entries are spread. Of 14 entries one starts every 75 ms, about
/// the time that one compressed configuration of 1,500 routes takes over a link of 26 Mbit/s.
const ENTRY_FALLBACK_SPREAD: Duration = Duration::from_millis(1050);

/// Backoff of processes that read the registry only occasionally. Entries report urgent changes to them.
const NON_READER_BACKOFF: Duration = Duration::from_secs(4);

/// Time limits for reading the registry through neighbours.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharedRegistryConfig {
    /// Age limit for a neighbour's records of the settings.
    pub settings_age: Duration,
    /// Age limit for a neighbour's records of the upstreams.
    pub upstreams_age: Duration,
    /// How long a neighbour may wait for new records before it answers.
    pub wait: Duration,
    /// Number of entries, first in order, that keep calling a registry that does not answer. The others
    /// notice its recovery through them.
    pub readers: usize,
    /// Minimum time from the start of a failed call before the others call the registry again; each process waits up to
    /// half as long in addition.
    pub backoff: Duration,
    /// Minimum time that a process waits for neighbours that are still reading before it reads the registry
    /// itself.
    pub fallback_after: Duration,
    /// Upper bound of the additional wait, of which each process has its own fraction.
    pub fallback_spread: Duration,
    /// How long the first read waits to learn of neighbours. Without this, each of the processes that start
    /// together reads a large configuration over its region's link.
    pub start_wait: Duration,
}

impl SharedRegistryConfig {
    /// Makes the limits under which a change of the settings is in force within `settings`, and a change of
    /// the upstreams within `read_interval`, at which readers read them, plus 1.3 s.
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

    /// Makes the limits of a process that reads the registry occasionally, never for others, and does not
    /// wait for new records.
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

    /// Returns how long the registry may hold a read that wants to wait for `wait`: less while neighbours read
    /// from this process, and while the registry or neighbours are in trouble.
    pub(crate) fn max_hold(
        &self,
        wait: Duration,
        is_queried: bool,
        is_in_trouble: bool,
    ) -> Duration {
        if is_queried {
            wait.min(READER_WAIT)
        } else if is_in_trouble {
            wait.min(RETRY_WAIT)
        } else {
            wait
        }
    }

    /// Returns the longest backoff of any process after a failed call.
    pub(crate) fn max_backoff(&self) -> Duration {
        self.backoff + self.backoff / 2
    }

    pub(crate) const fn max_age(&self, topic: Topic) -> Duration {
        match topic {
            Topic::Settings => self.settings_age,
            Topic::Upstreams => self.upstreams_age,
        }
    }
}
