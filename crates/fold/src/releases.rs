//! Claims that their holders gave up.

use std::collections::{BTreeSet, VecDeque};
use std::time::{Duration, SystemTime};

use derive_more::Display;
use serde::Serialize;
use wagtailreel_core::{Incarnation, RequestId, VmId};

/// Who made a claim. Two are never the same unless one claim was appended twice.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Display, Serialize)]
#[display("{request} of {holder} (start {incarnation})")]
pub struct Claimant {
    /// Entry that made the claim.
    pub holder: VmId,
    /// Start of the entry that made it.
    pub incarnation: Incarnation,
    /// The one request that may run the order.
    pub request: RequestId,
}

impl Claimant {
    /// Returns about how many bytes it takes up.
    pub(crate) fn approx_bytes(&self) -> usize {
        size_of::<Self>() + self.holder.len() + self.request.len()
    }
}

/// The claimants that gave up, for as long as a late copy of their claims could come.
#[derive(Clone, Debug, Default)]
pub(crate) struct Releases {
    released: BTreeSet<Claimant>,
    by_time: VecDeque<(SystemTime, Claimant)>,
}

impl Releases {
    /// Notes that `claimant` gave up at `at`, the time of the record.
    pub(crate) fn insert(&mut self, at: SystemTime, claimant: Claimant) {
        if self.released.insert(claimant.clone()) {
            self.by_time.push_back((at, claimant));
        }
    }

    /// Says whether `claimant` gave up.
    pub(crate) fn contains(&self, claimant: &Claimant) -> bool {
        self.released.contains(claimant)
    }

    /// Forgets what is older than `age` at `now`.
    pub(crate) fn prune(&mut self, now: SystemTime, age: Duration) {
        let old = |at: SystemTime| now.duration_since(at).is_ok_and(|passed| passed > age);
        while self.by_time.front().is_some_and(|(at, _)| old(*at)) {
            if let Some((_, claimant)) = self.by_time.pop_front() {
                self.released.remove(&claimant);
            }
        }
    }

    /// Returns about how many bytes they take up.
    pub(crate) fn approx_bytes(&self) -> usize {
        let claimants = self.released.iter().map(Claimant::approx_bytes);
        claimants.sum::<usize>() * 2
    }
}
