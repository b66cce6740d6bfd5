//! How long a process waits before it reads the registry itself.

use std::net::SocketAddr;
use std::time::Duration;

use wagtailreel_core::rank_score;

use crate::SharedRegistryConfig;

/// How long a process waits before it reads the registry itself.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Delays {
    /// After the registry did not answer.
    pub(crate) backoff: Duration,
    /// For neighbours that are reading.
    pub(crate) fallback: Duration,
}

impl Delays {
    pub(crate) fn new(cfg: &SharedRegistryConfig, own: SocketAddr) -> Self {
        let share = share_of(own);
        Self {
            backoff: cfg.backoff + cfg.backoff.mul_f64(share / 2.0),
            fallback: cfg.fallback_after + cfg.fallback_spread.mul_f64(share),
        }
    }
}

/// Returns a share from 0 to 1 that is a process's own, by its address, so that processes which wait for
/// the same don't call together.
fn share_of(own: SocketAddr) -> f64 {
    let share = rank_score(&[], &own.to_string()) % 1000;
    // Below 1,000, so that nothing is lost.
    f64::from(u16::try_from(share).unwrap_or_default()) / 1000.0
}
