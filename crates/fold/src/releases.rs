//! Claims that their holders released.

use std::collections::{BTreeSet, VecDeque};
use std::time::{Duration, SystemTime};

use derive_more::Display;
use serde::Serialize;
use wagtailreel_core::{Incarnation, RequestId, VmId};

/// Identity of a claim's maker. Two claims have the same claimant only if one claim was appended twice.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Display, Serialize)]
#[display("{request} of {holder} (start {incarnation})")]
pub struct Claimant {
    /// Entry that made the claim.
    pub holder: VmId,
    /// Incarnation of the entry that made the claim.
    pub incarnation: Incarnation,
    /// The only request that may run the order.
    pub request: RequestId,
}

impl Claimant {
    /// Returns the approximate memory use in bytes.
    pub(crate) fn approx_bytes(&self) -> usize {
        size_of::<Self>() + self.holder.len() + self.request.len()
    }
}

/// Claimants that released their claims, kept for as long as a late copy of a claim could arrive.
#[derive(Clone, Debug, Default)]
pub(crate) struct Releases {
    released: BTreeSet<Claimant>,
    by_time: VecDeque<(SystemTime, Claimant)>,
}

impl Releases {
    /// Records that `claimant` released its claim at `at`, the time of the record.
    pub(crate) fn insert(&mut self, at: SystemTime, claimant: Claimant) {
        if self.released.insert(claimant.clone()) {
            self.by_time.push_back((at, claimant));
        }
    }

    /// Returns whether `claimant` released its claim.
    pub(crate) fn contains(&self, claimant: &Claimant) -> bool {
        self.released.contains(claimant)
    }

    /// Removes the releases that are older than `age` at `now`.
    pub(crate) fn prune(&mut self, now: SystemTime, age: Duration) {
        let old = |at: SystemTime| now.duration_since(at).is_ok_and(|passed| passed > age);
        while self.by_time.front().is_some_and(|(at, _)| old(*at)) {
            if let Some((_, claimant)) = self.by_time.pop_front() {
                self.released.remove(&claimant);
            }
        }
    }

    /// Returns the approximate memory use in bytes.
    pub(crate) fn approx_bytes(&self) -> usize {
        let claimants = self.released.iter().map(Claimant::approx_bytes);
        claimants.sum::<usize>() * 2
    }
}
