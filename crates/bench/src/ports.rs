//! Free ports on the loopback address for processes that are started later.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::error::{Result, TimeoutSnafu};

/// Ports are taken from here: below the range from which the kernel takes ports for outgoing
/// connections, so that none of those sits on a port between its choice and its use.
const RANGE: std::ops::Range<u16> = 10_000..32_000;

/// Tries before giving up.
const TRIES: u32 = 10_000;

/// Ports that are kept for processes that are not started yet.
///
/// A port stays bound until [`Ports::release`], so that two fleets on one machine never choose
/// the same.
#[derive(Debug)]
pub struct Ports {
    rng: StdRng,
    held: BTreeMap<u16, TcpListener>,
}

impl Ports {
    /// Makes a pool whose choice starts at a place of its own.
    pub fn new() -> Self {
        Self {
            rng: StdRng::seed_from_u64(rand::random()),
            held: BTreeMap::new(),
        }
    }

    /// Chooses a free port and holds it.
    ///
    /// # Errors
    ///
    /// Returns [`BenchError::Timeout`](crate::BenchError::Timeout) if no free port is found.
    pub fn hold(&mut self) -> Result<SocketAddr> {
        for _ in 0..TRIES {
            let port = self.rng.random_range(RANGE);
            let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
            if let Ok(listener) = TcpListener::bind(addr) {
                self.held.insert(port, listener);
                return Ok(addr);
            }
        }
        TimeoutSnafu {
            what: "a free port",
            bound: std::time::Duration::ZERO,
            seen: format!("{TRIES} tries failed"),
        }
        .fail()
    }

    /// Lets go of the port of `addr`, so that its process can bind it.
    pub fn release(&mut self, addr: SocketAddr) {
        self.held.remove(&addr.port());
    }
}

impl Default for Ports {
    fn default() -> Self {
        Self::new()
    }
}
