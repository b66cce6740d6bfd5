//! Metrics in the text format.

use prometheus::{Encoder, Registry, TextEncoder};
use snafu::{ResultExt, Snafu};

/// Metrics can't be written.
#[derive(Debug, Snafu)]
pub enum MetricsError {
    /// A metric can't be encoded.
    #[snafu(display("a metric can't be encoded: {source}; report this as a bug"))]
    Encode {
        /// What the encoder says.
        source: prometheus::Error,
    },
}

/// Writes all metrics of `registry` in the Prometheus text format.
///
/// # Errors
///
/// Returns [`MetricsError::Encode`] if a metric can't be encoded.
pub fn encode_metrics(registry: &Registry) -> Result<Vec<u8>, MetricsError> {
    let mut buf = Vec::new();
    TextEncoder::new()
        .encode(&registry.gather(), &mut buf)
        .context(EncodeSnafu)?;
    Ok(buf)
}
