//! A limit on how often something may be done.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// How much of the rate may be used at once.
const BURST: Duration = Duration::from_millis(100);

/// Admits so many acts a second.
#[derive(Debug)]
pub(crate) struct RateLimit {
    free_at: Mutex<Instant>,
}

impl RateLimit {
    pub(crate) fn new() -> Self {
        Self {
            free_at: Mutex::new(Instant::now()),
        }
    }

    /// Admits one act at `rate` a second, 0 being no limit, or says how long to wait.
    pub(crate) fn admit(&self, rate: u64) -> Result<(), Duration> {
        if rate == 0 {
            return Ok(());
        }
        let gap = Duration::from_secs_f64(1.0 / rate as f64);
        let now = Instant::now();
        let mut free_at = self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
        let next = (*free_at).max(now);
        let ahead = next.duration_since(now);
        if ahead > BURST {
            return Err(ahead.saturating_sub(BURST));
        }
        *free_at = next + gap;
        Ok(())
    }
}
