//! Logs fetches of chunks from the origin, and maps the origin's errors to failures for the planner.

use std::time::Duration;

use bytes::Bytes;
use wagtailreel_spread::{Failure, Fetch, Source};

use crate::manifest::ChunkManifest;
use crate::{OriginError, events};

/// Logs an ended fetch from the origin.
///
/// There is about one such fetch for each chunk and region. Fetches from other agents are far more
/// frequent and only counted.
pub(crate) fn log(
    manifest: &ChunkManifest,
    fetch: &Fetch,
    result: &Result<Bytes, Failure>,
    took: Duration,
) {
    if fetch.from != Source::Origin {
        return;
    }
    let outcome = match result {
        Ok(_) => "arrived".to_owned(),
        Err(failure) => failure.to_string(),
    };
    events::CHUNK_DRAWN.emit(&[
        ("model", &manifest.model),
        ("version", &manifest.version.to_string()),
        ("chunk", &fetch.chunk.to_string()),
        ("reason", &fetch.reason.to_string()),
        ("ms", &took.as_millis().to_string()),
        ("outcome", &outcome),
    ]);
}

/// Returns the planner's failure for an error of the origin.
pub(crate) fn failure(error: &OriginError) -> Failure {
    match error {
        OriginError::Refused { retry_after, .. } => Failure::Busy {
            retry_after: *retry_after,
        },
        OriginError::Gone => Failure::Absent,
        OriginError::Silent { .. } => Failure::Broken,
        OriginError::Unreadable { .. } => Failure::Corrupt,
    }
}
