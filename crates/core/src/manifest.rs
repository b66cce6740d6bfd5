//! Manifests of weights, and the bundle that an engine loads.

use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

use crate::Digest;

/// One chunk of a model or adapter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChunkMeta {
    /// Digest of the chunk's bytes.
    pub digest: Digest,
    /// Length of the chunk in bytes.
    pub length: u64,
}

/// Description of one version of a model or adapter, as the origin publishes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// Name of the model or adapter.
    pub name: String,
    /// Version of the model or adapter.
    pub version: String,
    /// Digest of the bytes of all chunks, in order.
    pub digest: Digest,
    /// The chunks in order.
    pub chunks: Vec<ChunkMeta>,
}

/// Why a manifest can't be used.
#[derive(Debug, Snafu)]
pub enum ManifestError {
    /// The manifest lists no chunk.
    #[snafu(display("manifest {name}@{version} lists no chunk: publish the weights again"))]
    Empty {
        /// Name in the manifest.
        name: String,
        /// Version in the manifest.
        version: String,
    },
    /// A chunk has no bytes.
    #[snafu(display(
        "manifest {name}@{version}: chunk {index} has length 0: publish the weights again"
    ))]
    EmptyChunk {
        /// Name in the manifest.
        name: String,
        /// Version in the manifest.
        version: String,
        /// Position of the chunk.
        index: usize,
    },
    /// The manifest is for another model, adapter or version than was requested.
    #[snafu(display(
        "the origin answered {name}@{version} when asked for {wanted}: check the origin's manifest"
    ))]
    WrongName {
        /// Name in the manifest.
        name: String,
        /// Version in the manifest.
        version: String,
        /// Requested name and version.
        wanted: String,
    },
}

impl Manifest {
    /// Makes a manifest of `data`, split into chunks of `chunk_length` bytes.
    ///
    /// # Panics
    ///
    /// Panics if `chunk_length` is 0.
    pub fn from_bytes(name: &str, version: &str, data: &[u8], chunk_length: usize) -> Self {
        let chunks = data
            .chunks(chunk_length)
            .map(|chunk| ChunkMeta {
                digest: Digest::of(chunk),
                length: chunk.len() as u64,
            })
            .collect();
        Self {
            name: name.to_owned(),
            version: version.to_owned(),
            digest: Digest::of(data),
            chunks,
        }
    }

    /// Checks that the manifest is valid and is the one of `name@version`.
    ///
    /// # Errors
    ///
    /// Returns a [`ManifestError`] if the manifest is for another name or version, or has no chunk or an
    /// empty one.
    pub fn check(&self, name: &str, version: &str) -> Result<(), ManifestError> {
        ensure!(
            self.name == name && self.version == version,
            WrongNameSnafu {
                name: &self.name,
                version: &self.version,
                wanted: format!("{name}@{version}"),
            }
        );
        ensure!(
            !self.chunks.is_empty(),
            EmptySnafu {
                name: &self.name,
                version: &self.version,
            }
        );
        let empty = self.chunks.iter().position(|chunk| chunk.length == 0);
        if let Some(index) = empty {
            return EmptyChunkSnafu {
                name: &self.name,
                version: &self.version,
                index,
            }
            .fail();
        }
        Ok(())
    }

    /// Returns the total length of the chunks in bytes.
    pub fn length(&self) -> u64 {
        self.chunks.iter().map(|chunk| chunk.length).sum()
    }
}

/// The weights that an engine loads for one epoch: the model and its adapters, in the document's order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bundle {
    /// The model first, then each adapter.
    pub parts: Vec<Manifest>,
}

impl Bundle {
    /// Returns the digest of the bundle: the digest of its parts' digests, in order.
    ///
    /// An engine computes the digest from the bytes that it received, so an equal digest proves that
    /// the engine holds exactly these weights.
    pub fn digest(&self) -> Digest {
        Self::digest_of(self.parts.iter().map(|part| part.digest))
    }

    /// Computes the digest of a bundle from the digests of its parts, in order.
    pub fn digest_of<I>(parts: I) -> Digest
    where
        I: IntoIterator<Item = Digest>,
    {
        let mut buf = Vec::new();
        for part in parts {
            buf.extend_from_slice(part.as_bytes());
        }
        Digest::of(&buf)
    }

    /// Returns the total length of the parts in bytes.
    pub fn length(&self) -> u64 {
        self.parts.iter().map(Manifest::length).sum()
    }
}
