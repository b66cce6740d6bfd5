//! Models made up from a seed.

use blake3::Hasher;
use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use snafu::ensure;
use wagtailreel_core::{Manifest, ModelRef};

use crate::server::{ModelSnafu, StartError};

/// One version of a model or adapter, made up from a seed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OriginModel {
    /// Name of the model or adapter.
    pub name: String,
    /// Version of the model or adapter.
    pub version: String,
    /// Length in bytes.
    pub length: usize,
    /// Length of each chunk but the last, in bytes.
    pub chunk_length: usize,
    /// Seed of the bytes.
    #[serde(default)]
    pub seed: u64,
    /// Share of chunks, from the first on, that are the same in every version with this name and
    /// chunk length, from 0 to 1.
    #[serde(default)]
    pub shared_prefix: f64,
}

/// A model as it is served.
#[derive(Debug)]
pub(super) struct Stored {
    pub(super) label: String,
    pub(super) manifest: Manifest,
    pub(super) json: Bytes,
    pub(super) data: Bytes,
}

impl OriginModel {
    /// Makes a model of `length` bytes in chunks of `chunk_length`, with seed 0.
    pub fn new(name: &str, version: &str, length: usize, chunk_length: usize) -> Self {
        Self {
            name: name.to_owned(),
            version: version.to_owned(),
            length,
            chunk_length,
            seed: 0,
            shared_prefix: 0.0,
        }
    }

    /// Sets the seed of the bytes.
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the share of chunks that every version with this name has.
    pub fn with_shared_prefix(mut self, share: f64) -> Self {
        self.shared_prefix = share;
        self
    }

    /// Returns what names the model.
    pub fn part(&self) -> ModelRef {
        ModelRef {
            name: self.name.clone(),
            version: self.version.clone(),
        }
    }

    /// Makes up the bytes.
    pub(super) fn generate(&self) -> Result<Bytes, StartError> {
        check(&self.part(), self.length, self.chunk_length)?;
        let chunks = self.length.div_ceil(self.chunk_length);
        let shared = (chunks as f64 * self.shared_prefix).round() as usize;
        let mut buf = BytesMut::zeroed(self.length);
        for (index, chunk) in buf.chunks_mut(self.chunk_length).enumerate() {
            let mut hasher = Hasher::new();
            hasher.update(self.name.as_bytes());
            hasher.update(&index.to_le_bytes());
            if index >= shared {
                hasher.update(self.version.as_bytes());
                hasher.update(&self.seed.to_le_bytes());
            }
            hasher.finalize_xof().fill(chunk);
        }
        Ok(buf.freeze())
    }
}

impl Stored {
    pub(super) fn new(
        part: &ModelRef,
        data: Bytes,
        chunk_length: usize,
    ) -> Result<Self, StartError> {
        check(part, data.len(), chunk_length)?;
        let manifest = Manifest::from_bytes(&part.name, &part.version, &data, chunk_length);
        // A manifest always has a JSON form.
        let json = serde_json::to_vec(&manifest).unwrap_or_default();
        Ok(Self {
            label: part.to_string(),
            manifest,
            json: Bytes::from(json),
            data,
        })
    }
}

/// Checks that there is something to cut, and into what.
fn check(part: &ModelRef, length: usize, chunk_length: usize) -> Result<(), StartError> {
    ensure!(
        length > 0 && chunk_length > 0,
        ModelSnafu {
            model: part.to_string(),
            reason: "its length and its chunks' length must be above 0",
        }
    );
    Ok(())
}
