//! Errors of the control protocol's server and client.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use snafu::Snafu;

/// The control protocol can't be started, or a call failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ControlError {
    /// The listener can't be opened.
    #[snafu(display("can't listen on {addr}: {source}; set a free address for `listen.control`"))]
    Listen {
        /// The configured address.
        addr: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The thread of the control protocol can't be started.
    #[snafu(display("can't start the control thread: {source}; raise the VM's thread limit"))]
    Thread {
        /// Error of the operating system.
        source: io::Error,
    },
    /// A metric is registered twice.
    #[snafu(display("can't register metrics: {source}; give each process one registry"))]
    Metrics {
        /// Error of the metrics registry.
        source: prometheus::Error,
    },
    /// The peer can't be reached.
    #[snafu(display("can't connect to {addr}: {source}; check that the process runs there"))]
    Connect {
        /// Address of the peer.
        addr: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The peer did not answer in time.
    #[snafu(display("{addr} did not answer within {} ms; ask another", timeout.as_millis()))]
    Timeout {
        /// Address of the peer.
        addr: SocketAddr,
        /// The time-out.
        timeout: Duration,
    },
    /// The peer closed the connection or rejected the call.
    #[snafu(display("the call to {addr} failed: {source}; ask another"))]
    Call {
        /// Address of the peer.
        addr: SocketAddr,
        /// Error of the RPC library.
        source: capnp::Error,
    },
    /// The control thread has ended.
    #[snafu(display("the control thread has ended; start the process again"))]
    Ended,
}
