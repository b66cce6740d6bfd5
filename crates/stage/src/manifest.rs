//! Manifest of the chunks of a model's weights.

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use wagtailreel_core::{ChunkIndex, Digest};
use wagtailreel_fleet::{ModelName, WeightsVersion};

/// How digests are computed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DigestKind {
    /// BLAKE3, as computed by [`Digest::of`].
    Blake3,
    /// SHA-256.
    Sha256,
}

impl DigestKind {
    /// Computes the digest of `data`.
    pub fn of(self, data: &[u8]) -> Digest {
        match self {
            Self::Blake3 => Digest::of(data),
            Self::Sha256 => Digest::new(Sha256::digest(data).into()),
        }
    }
}

/// The chunks of one version of a model's weights.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkManifest {
    /// The model.
    pub model: ModelName,
    /// The version of its weights.
    pub version: WeightsVersion,
    /// How the digests are computed.
    pub kind: DigestKind,
    /// Digest of each chunk, in order.
    pub digests: Vec<Digest>,
}

impl ChunkManifest {
    /// Returns whether `data` has the digest of the chunk `index`.
    pub fn verify(&self, index: ChunkIndex, data: &[u8]) -> bool {
        let digest = self.digests.get(index as usize);
        digest.is_some_and(|digest| *digest == self.kind.of(data))
    }

    /// Returns whether `other` is a copy of this manifest that has `digest` for a chunk.
    pub(crate) fn is_corrected_by(&self, other: &Self, chunk: ChunkIndex, digest: Digest) -> bool {
        let is_copy = other.model == self.model
            && other.version == self.version
            && other.kind == self.kind
            && other.digests.len() == self.digests.len();
        is_copy && other.digests.get(chunk as usize) == Some(&digest)
    }

    /// Returns this manifest with `digest` for a chunk.
    pub(crate) fn with_digest(&self, chunk: ChunkIndex, digest: Digest) -> Self {
        let mut manifest = self.clone();
        if let Some(of_chunk) = manifest.digests.get_mut(chunk as usize) {
            *of_chunk = digest;
        }
        manifest
    }

    /// Returns the number of chunks.
    pub fn count(&self) -> u32 {
        u32::try_from(self.digests.len()).unwrap_or(u32::MAX)
    }
}
