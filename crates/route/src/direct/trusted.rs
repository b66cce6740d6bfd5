//! What completed lately, and so does not crash upstreams.

use std::collections::BTreeMap;

use wagtailreel_fleet::{BootTime, Fingerprint};

/// Maximum entries of a generation.
const MAX_TRUSTED: usize = 4096;

/// Requests and parts of prompts that completed, in two generations, so that those that come often are kept.
#[derive(Clone, Debug, Default)]
pub(super) struct Trusted {
    finished: BTreeMap<Fingerprint, BootTime>,
    before: BTreeMap<Fingerprint, BootTime>,
}

impl Trusted {
    pub(super) fn insert(&mut self, fingerprint: Fingerprint, now: BootTime) {
        if self.finished.len() >= MAX_TRUSTED && !self.finished.contains_key(&fingerprint) {
            self.before = std::mem::take(&mut self.finished);
        }
        self.finished.insert(fingerprint, now);
    }

    /// Returns when a suspect last completed.
    pub(super) fn last(&self, fingerprint: Fingerprint) -> Option<BootTime> {
        let last = self.finished.get(&fingerprint);
        last.or_else(|| self.before.get(&fingerprint)).copied()
    }
}
