//! Storage in memory for verified chunks, which other agents can fetch.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use wagtailreel_core::ChunkIndex;
use wagtailreel_fleet::{ModelName, WeightsVersion};
use wagtailreel_spread::ChunkSet;

use crate::ChunkManifest;

/// Versions of one model that are stored. The version before the newest still serves agents that have
/// not caught up. Each version takes as much memory as the weights have bytes.
const MAX_VERSIONS: usize = 2;

#[derive(Debug)]
struct StoredVersion {
    manifest: Arc<ChunkManifest>,
    have: ChunkSet,
    chunks: Vec<Option<Bytes>>,
}

/// Verified chunks by model and version.
///
/// Invariant: each stored chunk was compared with its digest when it was added.
#[derive(Debug, Default)]
pub struct ChunkStore {
    versions: Mutex<BTreeMap<(ModelName, WeightsVersion), StoredVersion>>,
}

impl ChunkStore {
    /// Adds the version of `manifest` without chunks, and evicts the oldest versions above the limit.
    pub fn add_version(&self, manifest: &Arc<ChunkManifest>) {
        let mut stored = self.lock();
        let key = (manifest.model.clone(), manifest.version);
        stored.entry(key).or_insert_with(|| StoredVersion {
            manifest: Arc::clone(manifest),
            have: ChunkSet::new(manifest.count()),
            chunks: vec![None; manifest.digests.len()],
        });
        let versions: Vec<WeightsVersion> = stored
            .keys()
            .filter(|(model, _)| *model == manifest.model)
            .map(|(_, version)| *version)
            .collect();
        let surplus = versions.len().saturating_sub(MAX_VERSIONS);
        for version in &versions[..surplus] {
            stored.remove(&(manifest.model.clone(), *version));
        }
    }

    /// Replaces the manifest of a version by `manifest`, and drops the chunks whose digests differ.
    pub fn replace_manifest(&self, manifest: &Arc<ChunkManifest>) {
        let mut stored = self.lock();
        let key = (manifest.model.clone(), manifest.version);
        let Some(stored) = stored.get_mut(&key) else {
            return;
        };
        let before = std::mem::replace(&mut stored.manifest, Arc::clone(manifest));
        stored.chunks.resize(manifest.digests.len(), None);
        stored.have = ChunkSet::new(manifest.count());
        for (chunk, data) in (0..).zip(&mut stored.chunks) {
            let index = chunk as usize;
            if before.digests.get(index) != manifest.digests.get(index) {
                *data = None;
            }
            if data.is_some() {
                stored.have.insert(chunk);
            }
        }
    }

    /// Verifies a chunk and stores it if its version was added.
    ///
    /// Returns whether the chunk has the digest that the manifest gives for it.
    pub fn put(&self, manifest: &ChunkManifest, chunk: ChunkIndex, data: Bytes) -> bool {
        if !manifest.verify(chunk, &data) {
            return false;
        }
        let mut stored = self.lock();
        let key = (manifest.model.clone(), manifest.version);
        if let Some(stored) = stored.get_mut(&key) {
            stored.have.insert(chunk);
            stored.chunks[chunk as usize] = Some(data);
        }
        true
    }

    /// Returns a chunk, or `None` if it is not stored.
    pub fn get(&self, model: &str, version: WeightsVersion, chunk: ChunkIndex) -> Option<Bytes> {
        let stored = self.lock();
        let stored = stored.get(&(model.to_owned(), version))?;
        stored.chunks.get(chunk as usize)?.clone()
    }

    /// Returns which chunks of a version are stored, or `None` if the version was not added.
    pub fn have(&self, model: &str, version: WeightsVersion) -> Option<ChunkSet> {
        let stored = self.lock();
        Some(stored.get(&(model.to_owned(), version))?.have.clone())
    }

    /// Returns the manifest of `version`, or of the newest version if none is given.
    pub fn manifest(
        &self,
        model: &str,
        version: Option<WeightsVersion>,
    ) -> Option<Arc<ChunkManifest>> {
        let stored = self.lock();
        let mut matching = stored.iter().filter(|((name, of), _)| {
            name == model && version.is_none_or(|version| version == *of)
        });
        matching
            .next_back()
            .map(|(_, stored)| Arc::clone(&stored.manifest))
    }

    /// Drops the chunks of a version that the engine has loaded, but not its manifest.
    ///
    /// The engine still has these chunks staged, and they are read from there on request.
    pub fn release(&self, model: &str, version: WeightsVersion) {
        let mut stored = self.lock();
        if let Some(stored) = stored.get_mut(&(model.to_owned(), version)) {
            stored.have = ChunkSet::new(stored.manifest.count());
            stored.chunks.fill(None);
        }
    }

    /// Returns whether all chunks of a version are stored.
    pub fn is_full(&self, model: &str, version: WeightsVersion) -> bool {
        self.have(model, version).is_some_and(|have| have.is_full())
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<(ModelName, WeightsVersion), StoredVersion>> {
        self.versions.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
