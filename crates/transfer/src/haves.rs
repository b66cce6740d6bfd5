//! What the own VM has of each bundle, for peers that ask.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::Instant;
use wagtailreel_core::{ChunkIndex, Digest};
use wagtailreel_spread::ChunkSet;

/// Version of a bundle that the VM does not know.
const UNKNOWN: u64 = 0;

/// What a peer is told.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HaveAnswer {
    /// Changes with each chunk; 0 for a bundle that the VM doesn't know.
    pub(crate) version: u64,
    /// Chunks of the bundle, equal ones counted once; 0 for a bundle that the VM doesn't know.
    pub(crate) chunks: u32,
    /// The chunks that are there, as `ChunkSet` writes them.
    pub(crate) have: String,
}

/// What the VM has of one bundle.
#[derive(Debug)]
struct Board {
    version: u64,
    have: ChunkSet,
}

/// What the own VM has of each bundle.
#[derive(Debug)]
pub(crate) struct Haves {
    boards: Mutex<BTreeMap<Digest, Board>>,
    changes: watch::Sender<u64>,
    /// First version of a board. It differs between starts, so that a peer that asks with a
    /// version from before a restart is answered at once.
    first: u64,
}

impl Haves {
    /// Makes an empty view.
    pub(crate) fn new() -> Self {
        Self {
            boards: Mutex::default(),
            changes: watch::Sender::new(0),
            first: 1 + u64::from(rand::random::<u32>()),
        }
    }

    /// Sets what is there of one bundle.
    pub(crate) fn set(&self, bundle: Digest, have: ChunkSet) {
        let mut boards = self.lock();
        let version = boards
            .get(&bundle)
            .map_or(self.first, |board| board.version + 1);
        boards.insert(bundle, Board { version, have });
        drop(boards);
        self.note();
    }

    /// Adds a chunk, which must be in the store already.
    pub(crate) fn add(&self, bundle: &Digest, chunk: ChunkIndex) {
        if let Some(board) = self.lock().get_mut(bundle)
            && board.have.insert(chunk)
        {
            board.version += 1;
        }
        self.note();
    }

    /// Forgets all bundles but those of `keep`.
    pub(crate) fn retain(&self, keep: &BTreeSet<Digest>) {
        self.lock().retain(|bundle, _| keep.contains(bundle));
        self.note();
    }

    /// Returns a receiver that hears of every change.
    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Returns what is there of `bundle` once its version is not `since`, or after `wait`.
    pub(crate) async fn answer(
        &self,
        bundle: &Digest,
        since: Option<u64>,
        wait: Duration,
    ) -> HaveAnswer {
        let deadline = Instant::now() + wait;
        let mut changes = self.subscribe();
        while since == Some(self.version(bundle)) {
            let waited = tokio::time::timeout_at(deadline, changes.changed()).await;
            if !matches!(waited, Ok(Ok(()))) {
                break;
            }
        }
        self.read(bundle)
    }

    /// Returns the version of a bundle.
    fn version(&self, bundle: &Digest) -> u64 {
        self.lock()
            .get(bundle)
            .map_or(UNKNOWN, |board| board.version)
    }

    /// Returns what is there of a bundle.
    fn read(&self, bundle: &Digest) -> HaveAnswer {
        let boards = self.lock();
        boards
            .get(bundle)
            .map_or_else(HaveAnswer::default, |board| HaveAnswer {
                version: board.version,
                chunks: board.have.capacity(),
                have: board.have.to_hex(),
            })
    }

    /// Wakes those who wait.
    fn note(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<Digest, Board>> {
        self.boards.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
