//! The attempts of one request, which may have several at once.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use wagtailreel_fleet::UpstreamId;

/// The attempts of one request. An attempt beside a stalled one counts as well.
///
/// Invariant: an attempt counts as one that may have run from before its first byte is sent, unless no byte was
/// sent or the upstream states that it did not run the request.
#[derive(Debug, Default)]
pub(crate) struct Attempts {
    sent: AtomicU32,
    may_have_run: AtomicU32,
    tried: Mutex<BTreeSet<UpstreamId>>,
}

impl Attempts {
    /// Counts an attempt whose first byte is about to be sent.
    pub(crate) fn begin(&self) {
        self.sent.fetch_add(1, Ordering::AcqRel);
        self.may_have_run.fetch_add(1, Ordering::AcqRel);
    }

    /// Takes back an attempt of which no byte was sent.
    pub(crate) fn not_sent(&self) {
        self.sent.fetch_sub(1, Ordering::AcqRel);
        self.not_run();
    }

    /// Records that the upstream of an attempt did not run the request.
    pub(crate) fn not_run(&self) {
        self.may_have_run.fetch_sub(1, Ordering::AcqRel);
    }

    /// Returns the number of attempts.
    pub(crate) fn sent(&self) -> u32 {
        self.sent.load(Ordering::Acquire)
    }

    /// Returns whether an attempt may have run the request.
    pub(crate) fn may_have_run(&self) -> bool {
        self.may_have_run.load(Ordering::Acquire) > 0
    }

    /// Records that the upstream `id` is tried.
    pub(crate) fn tries(&self, id: &str) {
        self.lock().insert(id.to_owned());
    }

    /// Returns the upstreams that were tried.
    pub(crate) fn tried(&self) -> BTreeSet<UpstreamId> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeSet<UpstreamId>> {
        self.tried.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
