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
        /// The address that was asked for.
        addr: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// The control protocol can't be started.
    #[snafu(display("{source}"))]
    Control {
        /// What is wrong, with the remedy.
        source: ControlError,
    },
    /// A setting holds no usable address.
    #[snafu(display("setting `{setting}`: {source}"))]
    Address {
        /// Name of the setting.
        setting: &'static str,
        /// What is wrong, with the remedy.
        source: BaseUrlError,
    },
    /// An engine's agent needs the origin of weights.
    #[snafu(display("set `platform.origin`: an agent of an engine fetches weights from it"))]
    NoOrigin,
    /// A metric is registered twice.
    #[snafu(display("can't register metrics: {source}; give each process one registry"))]
    Metrics {
        /// What the registry says.
        source: prometheus::Error,
    },
    /// The transfer of chunks can't be started.
    #[snafu(display("{source}"))]
    Transfer {
        /// What is wrong, with the remedy.
        source: TransferError,
    },
}
