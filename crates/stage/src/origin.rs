//! Interface to the origin of weights.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use snafu::Snafu;
use wagtailreel_core::ChunkIndex;
use wagtailreel_fleet::{ModelName, WeightsVersion};

use crate::ChunkManifest;

/// An error of a call to the origin.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum OriginError {
    /// The origin refused the call for now.
    #[snafu(display("the origin refused with status {status}: the request is repeated"))]
    Refused {
        /// HTTP status of the answer.
        status: u16,
        /// Time after which to retry, if given by the answer.
        retry_after: Option<Duration>,
    },
    /// The origin no longer has the version.
    #[snafu(display("the origin has no such version: name a newer one"))]
    Gone,
    /// The origin sent no complete answer.
    #[snafu(display("the origin did not answer ({reason}): check its link"))]
    Silent {
        /// Cause.
        reason: String,
    },
    /// The answer cannot be parsed.
    #[snafu(display("the origin's answer cannot be parsed ({reason}): publish the weights again"))]
    Unreadable {
        /// The mistake in the answer.
        reason: String,
    },
}

/// The origin that publishes weights.
pub trait ChunkOrigin: Clone + Send + Sync + 'static {
    /// Reads the manifest of `version`, or of the newest version if none is given.
    ///
    /// # Errors
    ///
    /// Returns an [`OriginError`] if no complete answer came.
    fn manifest(
        &self,
        origin: SocketAddr,
        model: &ModelName,
        version: Option<WeightsVersion>,
    ) -> impl Future<Output = Result<ChunkManifest, OriginError>> + Send;

    /// Reads a chunk. The bytes may be corrupt.
    ///
    /// # Errors
    ///
    /// Returns an [`OriginError`] if no complete answer came.
    fn chunk(
        &self,
        origin: SocketAddr,
        model: &ModelName,
        version: WeightsVersion,
        chunk: ChunkIndex,
    ) -> impl Future<Output = Result<Bytes, OriginError>> + Send;
}
