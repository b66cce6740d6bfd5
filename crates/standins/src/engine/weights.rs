//! The bundles that the engine holds, and the fencing of orders about them.

use std::collections::BTreeMap;
use std::time::SystemTime;

use tokio_util::sync::CancellationToken;
use wagtailreel_core::{Digest, Epoch};

/// One bundle that the engine holds.
#[derive(Clone, Debug)]
pub(super) struct Held {
    /// Digest of the bytes that it was really given.
    pub(super) real: Digest,
    /// Cancelled when the bundle is dropped.
    pub(super) gone: CancellationToken,
}

/// Why an order about a bundle is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OrderRefusal {
    /// The engine has seen a higher fencing number.
    OldFence,
    /// No place for another bundle is left.
    NoPlace,
}

/// A place for a bundle that is being loaded.
#[derive(Clone, Copy, Debug)]
pub(super) struct Place {
    named: Digest,
    fence: Epoch,
    /// Start of the engine that the place belongs to.
    start: u64,
    /// False if the bundle had a place before.
    is_new: bool,
}

/// The bundles that the engine holds.
#[derive(Debug)]
pub(super) struct Weights {
    most: usize,
    held: BTreeMap<Digest, Held>,
    /// Places for bundles that are being loaded.
    loading: usize,
    highest_fence: Epoch,
    started_at: SystemTime,
    /// Counts restarts, so that a load from before does nothing after.
    start: u64,
}

impl Weights {
    pub(super) fn new(most: usize, started_at: SystemTime) -> Self {
        Self {
            most,
            held: BTreeMap::new(),
            loading: 0,
            highest_fence: 0,
            started_at,
            start: 0,
        }
    }

    /// Forgets everything, as a new process would.
    pub(super) fn restart(&mut self, now: SystemTime) {
        for held in self.held.values() {
            held.gone.cancel();
        }
        let start = self.start + 1;
        *self = Self::new(self.most, now);
        self.start = start;
    }

    pub(super) fn started_at(&self) -> SystemTime {
        self.started_at
    }

    /// Returns the digests of the bundles as they were named.
    pub(super) fn names(&self) -> Vec<Digest> {
        self.held.keys().copied().collect()
    }

    /// Returns each bundle's name with the digest of what is really held.
    pub(super) fn held(&self) -> BTreeMap<Digest, Digest> {
        let held = self.held.iter();
        held.map(|(named, held)| (*named, held.real)).collect()
    }

    pub(super) fn find(&self, named: &Digest) -> Option<Held> {
        self.held.get(named).cloned()
    }

    /// Holds bytes with the digest `real` under the name `named`.
    pub(super) fn hold(&mut self, named: Digest, real: Digest) {
        let held = Held {
            real,
            gone: CancellationToken::new(),
        };
        if let Some(before) = self.held.insert(named, held) {
            before.gone.cancel();
        }
    }

    /// Takes note of an order's fencing number; refuses an old one if `checks` is set.
    pub(super) fn check_fence(&mut self, fence: Epoch, checks: bool) -> Result<(), OrderRefusal> {
        if checks && fence < self.highest_fence {
            return Err(OrderRefusal::OldFence);
        }
        self.highest_fence = self.highest_fence.max(fence);
        Ok(())
    }

    /// Keeps a place for a bundle; [`commit`](Self::commit) or [`abandon`](Self::abandon) ends it.
    pub(super) fn begin(&mut self, named: Digest, fence: Epoch) -> Result<Place, OrderRefusal> {
        let is_new = !self.held.contains_key(&named);
        if is_new && self.held.len() + self.loading >= self.most {
            return Err(OrderRefusal::NoPlace);
        }
        if is_new {
            self.loading += 1;
        }
        Ok(Place {
            named,
            fence,
            start: self.start,
            is_new,
        })
    }

    /// Holds the bundle that was loaded, unless the engine restarted or a higher fencing number
    /// came while it was loading.
    pub(super) fn commit(
        &mut self,
        place: Place,
        real: Digest,
        checks: bool,
    ) -> Result<(), OrderRefusal> {
        self.abandon(place);
        if place.start != self.start {
            return Err(OrderRefusal::NoPlace);
        }
        self.check_fence(place.fence, checks)?;
        let is_same = self.held.get(&place.named).map(|held| held.real) == Some(real);
        if !is_same {
            self.hold(place.named, real);
        }
        Ok(())
    }

    /// Gives a place back.
    pub(super) fn abandon(&mut self, place: Place) {
        if place.is_new && place.start == self.start {
            self.loading -= 1;
        }
    }

    /// Drops a bundle; what runs on it is cut.
    pub(super) fn drop_bundle(&mut self, named: &Digest) {
        if let Some(held) = self.held.remove(named) {
            held.gone.cancel();
        }
    }
}
