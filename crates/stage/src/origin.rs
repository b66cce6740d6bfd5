//! The origin of weights.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use snafu::Snafu;
use wagtailreel_core::ChunkIndex;
use wagtailreel_fleet::{ModelName, WeightsVersion};

use crate::ChunkManifest;

/// The origin did not give what was asked for.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum OriginError {
    /// The origin refused for now.
    #[snafu(display("the origin refused with {status}: it is asked again"))]
    Refused {
        /// Status of the answer.
        status: u16,
        /// When to come back, if the answer says so.
        retry_after: Option<Duration>,
    },
    /// The origin no longer has the version.
    #[snafu(display("the origin has no such version: name a newer one"))]
    Gone,
    /// No whole answer came.
    #[snafu(display("the origin did not answer ({reason}): look at its link"))]
    Silent {
        /// What happened.
        reason: String,
    },
    /// The answer can't be understood.
    #[snafu(display("the origin's answer can't be read ({reason}): publish the weights again"))]
    Unreadable {
        /// What is wrong.
        reason: String,
    },
}

/// The origin of weights.
pub trait ChunkOrigin: Clone + Send + Sync + 'static {
    /// Reads the manifest of `version`, or of the newest one.
    ///
    /// # Errors
    ///
    /// Returns an [`OriginError`] if no whole answer came.
    fn manifest(
        &self,
        origin: SocketAddr,
        model: &ModelName,
        version: Option<WeightsVersion>,
    ) -> impl Future<Output = Result<ChunkManifest, OriginError>> + Send;

    /// Reads a chunk. Its bytes may have been spoilt.
    ///
    /// # Errors
    ///
    /// Returns an [`OriginError`] if no whole answer came.
    fn chunk(
        &self,
        origin: SocketAddr,
        model: &ModelName,
        version: WeightsVersion,
        chunk: ChunkIndex,
    ) -> impl Future<Output = Result<Bytes, OriginError>> + Send;
}
