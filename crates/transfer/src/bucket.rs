//! Token bucket of one direction of the link.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// How much of the rate may be caught up on at once.
const BURST: Duration = Duration::from_millis(10);

/// Smallest share of its rate that a transfer keeps, however slow live answers get.
const MIN_SHARE: f64 = 0.05;

/// How much of the rate comes back each second once live answers are fast again.
const RECOVERY: f64 = 0.2;

/// Rate of an unlimited link that was never measured, in bytes a second: 10 Gbit/s.
const ASSUMED: f64 = 1.25e9;

/// Span over which the rate of an unlimited link is measured.
const WINDOW: Duration = Duration::from_millis(250);

/// What a measured rate keeps of itself when the next span was slower. Spans with little to
/// carry say nothing of the link, so it is much.
const MEASURE_DECAY: f64 = 0.998;

/// A limit in bytes a second, of which a part can be given up for a while.
///
/// Takers wait in the order in which they asked. One that takes small slices shares fairly with
/// others that do.
#[derive(Debug)]
pub(crate) struct Bucket {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    /// Bytes a second; none for no limit.
    limit: Option<f64>,
    /// Share of the rate that is used now.
    share: f64,
    /// Share of the rate that `share` moves to.
    target: f64,
    stepped_at: Instant,
    /// When the link is free for the next taker.
    free_at: Instant,
    /// Highest rate that was seen lately, in bytes a second.
    measured: Option<f64>,
    window_from: Instant,
    window_bytes: u64,
}

impl Bucket {
    /// Makes a bucket of `limit` bytes a second, 0 for no limit.
    pub(crate) fn new(limit: u64) -> Self {
        let now = Instant::now();
        Self {
            state: Mutex::new(State {
                limit: as_limit(limit),
                share: 1.0,
                target: 1.0,
                stepped_at: now,
                free_at: now,
                measured: None,
                window_from: now,
                window_bytes: 0,
            }),
        }
    }

    /// Sets the limit in bytes a second, 0 for no limit.
    pub(crate) fn set_limit(&self, limit: u64) {
        self.lock().limit = as_limit(limit);
    }

    /// Gives up a share of the rate from 0 to 1: at once if more than before, and taken back
    /// little by little.
    pub(crate) fn give_up(&self, share: f64) {
        let share = if share.is_nan() { 0.0 } else { share };
        let mut state = self.lock();
        // What came back before belongs to the old target.
        state.step(Instant::now());
        state.target = 1.0 - share.clamp(0.0, 1.0) * (1.0 - MIN_SHARE);
    }

    /// Returns the rate now, in bytes a second; none if nothing limits it.
    pub(crate) fn rate(&self) -> Option<f64> {
        let mut state = self.lock();
        state.step(Instant::now());
        state.rate()
    }

    /// Waits until `bytes` may pass.
    pub(crate) async fn take(&self, bytes: usize) {
        let at = self.lock().reserve(bytes as u64, Instant::now());
        if let Some(at) = at {
            tokio::time::sleep_until(at).await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Books `bytes`, and returns when they may pass if that isn't at once.
    fn reserve(&mut self, bytes: u64, now: Instant) -> Option<Instant> {
        self.step(now);
        self.measure(bytes, now);
        let rate = self.rate()?;
        let earliest = now.checked_sub(BURST).unwrap_or(now);
        let start = self.free_at.max(earliest);
        self.free_at = start + Duration::from_secs_f64(bytes as f64 / rate);
        (start > now).then_some(start)
    }

    /// Returns the rate, in bytes a second.
    fn rate(&self) -> Option<f64> {
        let full = match self.limit {
            Some(limit) => limit,
            None if self.share < 1.0 => self.measured.unwrap_or(ASSUMED),
            None => return None,
        };
        Some((full * self.share).max(1.0))
    }

    /// Moves the share to its target: down at once, up a bit.
    fn step(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.stepped_at);
        self.stepped_at = now;
        let share = self.share + RECOVERY * passed.as_secs_f64();
        self.share = share.min(self.target);
    }

    /// Measures the rate while nothing holds it back.
    fn measure(&mut self, bytes: u64, now: Instant) {
        self.window_bytes += bytes;
        let span = now.saturating_duration_since(self.window_from);
        if span < WINDOW {
            return;
        }
        let seen = self.window_bytes as f64 / span.as_secs_f64();
        if self.share >= 1.0 {
            let before = self.measured.unwrap_or_default();
            self.measured = Some(seen.max(before * MEASURE_DECAY));
        }
        self.window_bytes = 0;
        self.window_from = now;
    }
}

/// Reads a limit in which 0 is none.
fn as_limit(limit: u64) -> Option<f64> {
    (limit > 0).then_some(limit as f64)
}
