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
        /// The address that was asked for.
        addr: SocketAddr,
        /// The setting that names it.
        setting: &'static str,
        /// What the system says.
        source: io::Error,
    },
    /// An address of the platform is no URL.
    #[snafu(display("{source} in `{setting}`"))]
    Url {
        /// The setting.
        setting: &'static str,
        /// What is wrong.
        source: BaseUrlError,
    },
    /// The control protocol can't be started.
    #[snafu(display("{source}"))]
    Control {
        /// What is wrong.
        source: ControlError,
    },
    /// A metric is registered twice.
    #[snafu(display("can't register metrics: {source}; give each process one registry"))]
    Metrics {
        /// What the registry says.
        source: prometheus::Error,
    },
}
