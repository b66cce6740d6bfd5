//! Where the chunks of a bundle stand.

use std::collections::BTreeMap;
use std::sync::Arc;

use wagtailreel_core::{Bundle, ChunkIndex, Digest, Manifest, ModelRef};
use wagtailreel_spread::ChunkSet;

/// One chunk of a bundle, and the first place where it stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Chunk {
    pub(crate) digest: Digest,
    /// Length in bytes.
    pub(crate) length: u64,
    /// Position of the part in the bundle.
    part: usize,
    /// Offset of the first byte in the part.
    pub(crate) start: u64,
}

/// The chunks of a bundle, each once, in the order of their first places.
///
/// Every VM makes the same list from the same manifests, so that a position in it means the same
/// chunk on each.
#[derive(Debug)]
pub(crate) struct Layout {
    pub(crate) bundle: Arc<Bundle>,
    /// Digest of the bundle.
    pub(crate) digest: Digest,
    pub(crate) chunks: Vec<Chunk>,
    parts: Vec<ModelRef>,
}

impl Layout {
    /// Makes the layout of a bundle.
    ///
    /// Returns what is wrong if chunks of the same digest differ in length, or are too many.
    pub(crate) fn new(bundle: Bundle) -> Result<Self, String> {
        let mut lengths: BTreeMap<Digest, u64> = BTreeMap::new();
        let mut chunks = Vec::new();
        for (part, manifest) in bundle.parts.iter().enumerate() {
            let mut start: u64 = 0;
            for meta in &manifest.chunks {
                let known = lengths.insert(meta.digest, meta.length);
                if known.is_some_and(|length| length != meta.length) {
                    return Err(contradiction(manifest, meta.digest));
                }
                if known.is_none() {
                    chunks.push(Chunk {
                        digest: meta.digest,
                        length: meta.length,
                        part,
                        start,
                    });
                }
                start = start.saturating_add(meta.length);
            }
        }
        if ChunkIndex::try_from(chunks.len()).is_err() {
            return Err("the manifests list too many chunks: publish longer ones".to_owned());
        }
        Ok(Self {
            digest: bundle.digest(),
            parts: bundle.parts.iter().map(part_of).collect(),
            bundle: Arc::new(bundle),
            chunks,
        })
    }

    /// Returns how many chunks there are.
    pub(crate) fn count(&self) -> u32 {
        // `new` refuses more.
        ChunkIndex::try_from(self.chunks.len()).unwrap_or(ChunkIndex::MAX)
    }

    /// Returns a chunk.
    pub(crate) fn chunk(&self, index: ChunkIndex) -> &Chunk {
        &self.chunks[index as usize]
    }

    /// Returns the part in which a chunk stands first.
    pub(crate) fn part(&self, chunk: &Chunk) -> &ModelRef {
        &self.parts[chunk.part]
    }

    /// Returns the digests of the chunks.
    pub(crate) fn digests(&self) -> Vec<Digest> {
        self.chunks.iter().map(|chunk| chunk.digest).collect()
    }

    /// Returns the chunks for whose digest `is_there` says yes.
    pub(crate) fn set_of<F>(&self, is_there: F) -> ChunkSet
    where
        F: Fn(&Digest) -> bool,
    {
        let mut set = ChunkSet::new(self.count());
        for (index, chunk) in (0..).zip(&self.chunks) {
            if is_there(&chunk.digest) {
                set.insert(index);
            }
        }
        set
    }
}

/// Returns what names the part of a manifest.
fn part_of(manifest: &Manifest) -> ModelRef {
    ModelRef {
        name: manifest.name.clone(),
        version: manifest.version.clone(),
    }
}

/// Says that a manifest can't be right.
fn contradiction(manifest: &Manifest, digest: Digest) -> String {
    format!(
        "the manifest of {} gives chunk {} two lengths: publish the weights again",
        part_of(manifest),
        digest.short()
    )
}
