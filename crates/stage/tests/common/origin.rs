//! An origin of weights in memory.

use std::collections::BTreeSet;
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
    given: u32,
    spoil: u32,
    is_away: bool,
    asked: BTreeSet<u64>,
    manifests: u32,
}

/// An origin of weights in memory; it has version 1 at first.
#[derive(Clone, Debug)]
pub(crate) struct TestOrigin {
    state: Arc<Mutex<State>>,
}

impl Default for TestOrigin {
    fn default() -> Self {
        let state = State {
            newest: 1,
            given: 0,
            spoil: 0,
            is_away: false,
            asked: BTreeSet::new(),
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

    /// Returns how many chunks were given.
    pub(crate) fn given(&self) -> u32 {
        self.lock().given
    }

    /// Returns how many manifests were given.
    pub(crate) fn manifests(&self) -> u32 {
        self.lock().manifests
    }

    /// Makes every call fail, or none.
    pub(crate) fn set_away(&self, is_away: bool) {
        self.lock().is_away = is_away;
    }

    /// Spoils the next chunks.
    pub(crate) fn spoil_next(&self, count: u32) {
        self.lock().spoil = count;
    }

    /// Says whether the manifest of `version` was asked for.
    pub(crate) fn was_asked(&self, version: u64) -> bool {
        self.lock().asked.contains(&version)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    fn check(&self) -> Result<(), OriginError> {
        if self.lock().is_away {
            let reason = "told to be away".to_owned();
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
        {
            let mut state = self.lock();
            state.asked.insert(version);
            state.manifests += 1;
        }
        let kind = DigestKind::Sha256;
        Ok(ChunkManifest {
            model: model.clone(),
            version,
            kind,
            digests: (0..CHUNKS).map(|it| kind.of(&chunk(version, it))).collect(),
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
        state.given += 1;
        if state.spoil > 0 {
            state.spoil -= 1;
            return Ok(Bytes::from_static(b"spoilt"));
        }
        Ok(chunk(version, index))
    }
}
