//! Verified chunks that are kept and given to others.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use wagtailreel_core::ChunkIndex;
use wagtailreel_fleet::{ModelName, WeightsVersion};
use wagtailreel_spread::ChunkSet;

use crate::ChunkManifest;

/// Versions of one model that are kept. The one before the newest still serves agents that are
/// behind; each takes the size of the weights in memory.
const MAX_VERSIONS: usize = 2;

#[derive(Debug)]
struct StoredVersion {
    manifest: Arc<ChunkManifest>,
    have: ChunkSet,
    chunks: Vec<Option<Bytes>>,
}

/// Verified chunks by model and version.
///
/// Invariant: what is here was compared with its digest when it came.
#[derive(Debug, Default)]
pub struct ChunkStore {
    versions: Mutex<BTreeMap<(ModelName, WeightsVersion), StoredVersion>>,
}

impl ChunkStore {
    /// Makes room for the chunks of `manifest`, and lets the oldest versions go.
    pub fn add_version(&self, manifest: &Arc<ChunkManifest>) {
        let mut held = self.lock();
        let key = (manifest.model.clone(), manifest.version);
        held.entry(key).or_insert_with(|| StoredVersion {
            manifest: Arc::clone(manifest),
            have: ChunkSet::new(manifest.count()),
            chunks: vec![None; manifest.digests.len()],
        });
        let versions: Vec<WeightsVersion> = held
            .keys()
            .filter(|(model, _)| *model == manifest.model)
            .map(|(_, version)| *version)
            .collect();
        let surplus = versions.len().saturating_sub(MAX_VERSIONS);
        for version in &versions[..surplus] {
            held.remove(&(manifest.model.clone(), *version));
        }
    }

    /// Puts a chunk in its place if it is the right one; returns whether it is.
    pub fn put(&self, manifest: &ChunkManifest, chunk: ChunkIndex, data: Bytes) -> bool {
        if !manifest.verify(chunk, &data) {
            return false;
        }
        let mut held = self.lock();
        let key = (manifest.model.clone(), manifest.version);
        if let Some(held) = held.get_mut(&key) {
            held.have.insert(chunk);
            held.chunks[chunk as usize] = Some(data);
        }
        true
    }

    /// Returns a chunk.
    pub fn get(&self, model: &str, version: WeightsVersion, chunk: ChunkIndex) -> Option<Bytes> {
        let held = self.lock();
        let held = held.get(&(model.to_owned(), version))?;
        held.chunks.get(chunk as usize)?.clone()
    }

    /// Returns which chunks are there.
    pub fn have(&self, model: &str, version: WeightsVersion) -> Option<ChunkSet> {
        let held = self.lock();
        Some(held.get(&(model.to_owned(), version))?.have.clone())
    }

    /// Returns the manifest of `version`, or of the newest one that is there.
    pub fn manifest(
        &self,
        model: &str,
        version: Option<WeightsVersion>,
    ) -> Option<Arc<ChunkManifest>> {
        let held = self.lock();
        let mut fitting = held.iter().filter(|((name, of), _)| {
            name == model && version.is_none_or(|version| version == *of)
        });
        fitting
            .next_back()
            .map(|(_, held)| Arc::clone(&held.manifest))
    }

    /// Lets the bytes of a version go that the engine has staged and loaded; they are read from
    /// there when they are asked for.
    pub fn release(&self, model: &str, version: WeightsVersion) {
        let mut held = self.lock();
        if let Some(held) = held.get_mut(&(model.to_owned(), version)) {
            held.have = ChunkSet::new(held.manifest.count());
            held.chunks.fill(None);
        }
    }

    /// Says whether all chunks of a version are there.
    pub fn is_full(&self, model: &str, version: WeightsVersion) -> bool {
        self.have(model, version).is_some_and(|have| have.is_full())
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<(ModelName, WeightsVersion), StoredVersion>> {
        self.versions.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
