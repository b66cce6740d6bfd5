//! What can keep a transfer from starting.

use snafu::Snafu;

/// A transfer can't be started.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum TransferError {
    /// A metric can't be registered.
    #[snafu(display(
        "the transfer's metrics can't be registered ({source}): give each transfer its own registry"
    ))]
    Metrics {
        /// What the registry says.
        source: prometheus::Error,
    },
    /// There is no runtime to run on.
    #[snafu(display("no runtime ({source}): start the transfer inside a tokio runtime"))]
    Runtime {
        /// What the runtime says.
        source: tokio::runtime::TryCurrentError,
    },
}
