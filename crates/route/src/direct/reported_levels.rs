//! The admission levels that an agent heard of, and their mean for entries.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long a level counts. Entries of the agent's data centre report theirs ten times a second, others by
/// chance about once in 3 s.
const LEVEL_TTL: Duration = Duration::from_secs(2);

/// Maximum number of entries whose levels are kept.
const MAX_ENTRIES: usize = 1024;

/// The last admission level of each entry that reported one recently, in thousandths.
#[derive(Clone, Debug, Default)]
pub struct ReportedLevels {
    levels: BTreeMap<SocketAddr, (u16, Instant)>,
}

impl ReportedLevels {
    /// Records the level of an entry. Levels above 1 count as 1.
    pub fn record(&mut self, entry: SocketAddr, permille: u16, now: Instant) {
        self.levels
            .retain(|_, (_, at)| now.saturating_duration_since(*at) <= LEVEL_TTL);
        if self.levels.len() < MAX_ENTRIES || self.levels.contains_key(&entry) {
            self.levels.insert(entry, (permille.min(1000), now));
        }
    }

    /// Returns the mean of the recent levels in thousandths, or `None` if there are none.
    pub fn mean(&self, now: Instant) -> Option<u16> {
        let recent = self.levels.values();
        let recent = recent.filter(|(_, at)| now.saturating_duration_since(*at) <= LEVEL_TTL);
        let (sum, count) = recent.fold((0_u32, 0_u32), |(sum, count), (level, _)| {
            (sum + u32::from(*level), count + 1)
        });
        u16::try_from(sum.checked_div(count)?).ok()
    }
}
