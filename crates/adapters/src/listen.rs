//! Opening listeners.

use std::io;
use std::net::SocketAddr;

use tokio::net::TcpListener;

/// Opens a listener on `addr`; returns it with its address, whose port the system chooses for 0.
///
/// # Errors
///
/// Returns what the system says if the address can't be used.
pub async fn bind(addr: SocketAddr) -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind(addr).await?;
    let addr = listener.local_addr()?;
    Ok((listener, addr))
}
