//! Free ports on the loopback address for processes that are started later.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::net::TcpSocket;

use crate::error::{Result, TimeoutSnafu};

/// Ports are taken from here: below the range from which the kernel takes ports for outgoing
/// connections, so that none of those sits on a port between its choice and its use.
const RANGE: std::ops::Range<u16> = 10_000..32_000;

/// Tries before giving up.
const TRIES: u32 = 10_000;

/// Ports that are kept for processes, also while these are not running.
///
/// Each port is bound but never listened at, with its address marked for reuse only after the
/// binding: a process, whose listener asks for reuse, can still take it, but no other pool, which
/// binds without reuse first. So two fleets on one machine never choose the same port, and none is
/// lost while its process is restarted.
#[derive(Debug)]
pub struct Ports {
    rng: StdRng,
    held: Vec<TcpSocket>,
}

impl Ports {
    /// Makes a pool whose choice starts at a place of its own.
    pub fn new() -> Self {
        Self {
            rng: StdRng::seed_from_u64(rand::random()),
            held: Vec::new(),
        }
    }

    /// Chooses a free port and holds it as long as the pool lives.
    ///
    /// # Errors
    ///
    /// Returns [`BenchError::Timeout`](crate::BenchError::Timeout) if no free port is found.
    pub fn hold(&mut self) -> Result<SocketAddr> {
        for _ in 0..TRIES {
            let port = self.rng.random_range(RANGE);
            let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
            if let Ok(socket) = bind_alone(addr) {
                self.held.push(socket);
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
}

/// Binds a port that nobody else has, and then lets listeners share it.
fn bind_alone(addr: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(false)?;
    socket.bind(addr)?;
    socket.set_reuseaddr(true)?;
    Ok(socket)
}

impl Default for Ports {
    fn default() -> Self {
        Self::new()
    }
}
