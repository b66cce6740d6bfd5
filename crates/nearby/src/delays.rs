//! Delays before a process reads the registry itself, spread by the address of the process.

use std::net::SocketAddr;
use std::time::Duration;

use wagtailreel_core::rank_score;

use crate::SharedRegistryConfig;

/// Delays before a process reads the registry itself.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Delays {
    /// Delay after the registry did not answer.
    pub(crate) backoff: Duration,
    /// Delay while neighbours are reading.
    pub(crate) fallback: Duration,
}

impl Delays {
    pub(crate) fn new(cfg: &SharedRegistryConfig, own: SocketAddr) -> Self {
        let share = share_of(own);
        Self {
            backoff: cfg.backoff + (cfg.max_backoff() - cfg.backoff).mul_f64(share),
            fallback: cfg.fallback_after + cfg.fallback_spread.mul_f64(share),
        }
    }
}

/// Returns a fraction from 0 to 1, derived from the address of the process, so that processes that wait for
/// the same event don't call the registry at the same time.
fn share_of(own: SocketAddr) -> f64 {
    let share = rank_score(&[], &own.to_string()) % 1000;
    // The value is below 1,000 and fits.
    f64::from(u16::try_from(share).unwrap_or_default()) / 1000.0
}
