//! Verified chunks in memory.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use wagtailreel_core::Digest;

/// Parts of the store with a lock each; a power of two.
const SHARDS: usize = 16;

/// One part of the store.
type Shard = BTreeMap<Digest, Bytes>;

/// Verified chunks by their digests.
///
/// Invariant: only bytes whose digest was verified are put in, so whatever is there may be given
/// to peers and to the engine.
#[derive(Debug)]
pub(crate) struct Store {
    shards: [Mutex<Shard>; SHARDS],
    bytes: AtomicU64,
}

impl Store {
    /// Makes an empty store.
    pub(crate) fn new() -> Self {
        Self {
            shards: std::array::from_fn(|_| Mutex::default()),
            bytes: AtomicU64::new(0),
        }
    }

    /// Returns the bytes of a chunk, without a copy.
    pub(crate) fn get(&self, digest: &Digest) -> Option<Bytes> {
        self.shard(digest).get(digest).cloned()
    }

    /// Says whether a chunk is there.
    pub(crate) fn contains(&self, digest: &Digest) -> bool {
        self.shard(digest).contains_key(digest)
    }

    /// Keeps a chunk whose digest was verified.
    pub(crate) fn insert(&self, digest: Digest, bytes: Bytes) {
        let length = bytes.len() as u64;
        if self.shard(&digest).insert(digest, bytes).is_none() {
            self.bytes.fetch_add(length, Ordering::Relaxed);
        }
    }

    /// Drops every chunk that is not in `keep`.
    pub(crate) fn retain(&self, keep: &BTreeSet<Digest>) {
        for shard in &self.shards {
            let mut shard = lock(shard);
            shard.retain(|digest, bytes| {
                let stays = keep.contains(digest);
                if !stays {
                    self.bytes.fetch_sub(bytes.len() as u64, Ordering::Relaxed);
                }
                stays
            });
        }
    }

    /// Returns how many bytes are there.
    pub(crate) fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Locks the part where `digest` belongs.
    fn shard(&self, digest: &Digest) -> MutexGuard<'_, Shard> {
        lock(&self.shards[usize::from(digest.as_bytes()[0]) % SHARDS])
    }
}

/// Locks a part; one that a panic left is whole all the same, since each change is one step.
fn lock(shard: &Mutex<Shard>) -> MutexGuard<'_, Shard> {
    shard.lock().unwrap_or_else(PoisonError::into_inner)
}
