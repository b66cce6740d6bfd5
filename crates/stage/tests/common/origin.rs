//! Origin of weights in memory.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use bytes::Bytes;
use wagtailreel_core::ChunkIndex;
use wagtailreel_fleet::{ModelName, WeightsVersion};
use wagtailreel_stage::{ChunkManifest, ChunkOrigin, DigestKind, OriginError};

use super::{CHUNKS, chunk};

#[derive(Debug)]
struct State {
    newest: u64,
    served: u32,
    corrupt_chunks_left: u32,
    /// Chunks whose digests the next manifests have wrong, one manifest each.
    spoilt_digests: VecDeque<ChunkIndex>,
    is_unreachable: bool,
    requested: BTreeSet<u64>,
    manifests: u32,
}

/// Origin of weights in memory; starts with version 1.
#[derive(Clone, Debug)]
pub(crate) struct TestOrigin {
    state: Arc<Mutex<State>>,
}

impl Default for TestOrigin {
    fn default() -> Self {
        let state = State {
            newest: 1,
            served: 0,
            corrupt_chunks_left: 0,
            spoilt_digests: VecDeque::new(),
            is_unreachable: false,
            requested: BTreeSet::new(),
            manifests: 0,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }
}

impl TestOrigin {
    /// Publishes a version.
    pub(crate) fn publish(&self, version: u64) {
        self.lock().newest = version;
    }

    /// Returns the number of served chunks.
    pub(crate) fn served(&self) -> u32 {
        self.lock().served
    }

    /// Returns the number of served manifests.
    pub(crate) fn manifests(&self) -> u32 {
        self.lock().manifests
    }

    /// Sets whether every call fails.
    pub(crate) fn set_unreachable(&self, is_unreachable: bool) {
        self.lock().is_unreachable = is_unreachable;
    }

    /// Corrupts the next `count` chunks.
    pub(crate) fn corrupt_next(&self, count: u32) {
        self.lock().corrupt_chunks_left = count;
    }

    /// Has each of the next manifests give a wrong digest for one of `chunks`.
    pub(crate) fn spoil_digests(&self, chunks: &[ChunkIndex]) {
        self.lock().spoilt_digests = chunks.iter().copied().collect();
    }

    /// Returns whether the manifest of `version` was requested.
    pub(crate) fn was_requested(&self, version: u64) -> bool {
        self.lock().requested.contains(&version)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    fn check(&self) -> Result<(), OriginError> {
        if self.lock().is_unreachable {
            let reason = "the test made the origin unreachable".to_owned();
            return Err(OriginError::Silent { reason });
        }
        Ok(())
    }
}

impl ChunkOrigin for TestOrigin {
    async fn manifest(
        &self,
        _origin: SocketAddr,
        model: &ModelName,
        version: Option<WeightsVersion>,
    ) -> Result<ChunkManifest, OriginError> {
        self.check()?;
        let version = version.unwrap_or(self.lock().newest);
        let spoilt = {
            let mut state = self.lock();
            state.requested.insert(version);
            state.manifests += 1;
            state.spoilt_digests.pop_front()
        };
        let kind = DigestKind::Sha256;
        let mut digests: Vec<_> = (0..CHUNKS).map(|it| kind.of(&chunk(version, it))).collect();
        if let Some(spoilt) = spoilt {
            digests[spoilt as usize] = kind.of(b"spoilt");
        }
        Ok(ChunkManifest {
            model: model.clone(),
            version,
            kind,
            digests,
        })
    }

    async fn chunk(
        &self,
        _origin: SocketAddr,
        _model: &ModelName,
        version: WeightsVersion,
        index: ChunkIndex,
    ) -> Result<Bytes, OriginError> {
        self.check()?;
        let mut state = self.lock();
        state.served += 1;
        if state.corrupt_chunks_left > 0 {
            state.corrupt_chunks_left -= 1;
            return Ok(Bytes::from_static(b"corrupt"));
        }
        Ok(chunk(version, index))
    }
}
