//! The origin of weights.

use bytes::Bytes;
use wagtailreel_core::{Manifest, ModelRef};

use crate::PlatformError;

/// The origin of weights. Its link is shared by all readers.
pub trait Origin: Clone + Send + Sync + 'static {
    /// Returns the manifest of `part`, checked to be usable and to be that of `part`.
    ///
    /// # Errors
    ///
    /// Returns a [`PlatformError`] if the manifest can't be had or used.
    fn manifest(
        &self,
        part: &ModelRef,
    ) -> impl Future<Output = Result<Manifest, PlatformError>> + Send;

    /// Returns exactly `length` bytes of `part` from `start` on. They are not verified: the
    /// caller compares them with the manifest's digests.
    ///
    /// # Errors
    ///
    /// Returns a [`PlatformError`] if all of the bytes, and no others, can't be had.
    fn range(
        &self,
        part: &ModelRef,
        start: u64,
        length: u64,
    ) -> impl Future<Output = Result<Bytes, PlatformError>> + Send;
}
