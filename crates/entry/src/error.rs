//! Why an entry can't start.

use std::io;
use std::net::SocketAddr;

use snafu::Snafu;
use wagtailreel_adapters::BaseUrlError;
use wagtailreel_control::ControlError;

/// An entry can't start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum EntryError {
    /// A listener can't be opened.
    #[snafu(display("can't listen on {addr}: {source}; set a free address for `{setting}`"))]
    Listen {
        /// The requested address.
        addr: SocketAddr,
        /// The setting that gives the address.
        setting: &'static str,
        /// The system's error.
        source: io::Error,
    },
    /// An address of the platform is not a URL.
    #[snafu(display("{source} in `{setting}`"))]
    Url {
        /// The setting that gives the address.
        setting: &'static str,
        /// The fault of the URL.
        source: BaseUrlError,
    },
    /// The control protocol can't be started.
    #[snafu(display("{source}"))]
    Control {
        /// The error of the control protocol.
        source: ControlError,
    },
    /// A metric is registered twice.
    #[snafu(display("can't register metrics: {source}; give each process one registry"))]
    Metrics {
        /// The registry's error.
        source: prometheus::Error,
    },
}
