//! Errors of the agent process.

use std::io;
use std::net::SocketAddr;

use snafu::Snafu;
use wagtailreel_adapters::BaseUrlError;
use wagtailreel_control::ControlError;
use wagtailreel_transfer::TransferError;

/// The agent can't start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum AgentError {
    /// The data listener can't be opened.
    #[snafu(display("can't listen on {addr}: {source}; set a free address for `listen.data`"))]
    Listen {
        /// The configured address.
        addr: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// The control protocol can't be started.
    #[snafu(display("{source}"))]
    Control {
        /// The cause, with the remedy.
        source: ControlError,
    },
    /// A setting holds an unusable URL.
    #[snafu(display("setting `{setting}`: {source}"))]
    Address {
        /// Name of the setting.
        setting: &'static str,
        /// The cause, with the remedy.
        source: BaseUrlError,
    },
    /// An engine's agent needs the origin of weights.
    #[snafu(display("set `platform.origin`: an agent of an engine fetches weights from it"))]
    NoOrigin,
    /// A metric is registered twice.
    #[snafu(display("can't register metrics: {source}; give each process one registry"))]
    Metrics {
        /// The registry's error.
        source: prometheus::Error,
    },
    /// The transfer of chunks can't be started.
    #[snafu(display("{source}"))]
    Transfer {
        /// The cause, with the remedy.
        source: TransferError,
    },
}
