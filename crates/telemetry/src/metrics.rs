//! Metrics in the Prometheus text format.

use prometheus::{Encoder, Registry, TextEncoder};
use snafu::{ResultExt, Snafu};

/// Error of encoding metrics.
#[derive(Debug, Snafu)]
pub enum MetricsError {
    /// A metric can't be encoded.
    #[snafu(display("a metric can't be encoded: {source}; report this as a bug"))]
    Encode {
        /// Error of the encoder.
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
