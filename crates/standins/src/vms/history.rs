//! Versions of the list, of which the newest may not show yet.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;
use tokio::time::Instant;
use wagtailreel_core::{VmEntry, VmId, VmState};

use super::VmChange;

/// One version of the list, written out once for all readers.
#[derive(Clone, Debug)]
pub(super) struct Version {
    pub(super) version: u64,
    pub(super) json: Bytes,
    shows_at: Instant,
}

/// The list as it is, and the versions that readers see.
#[derive(Debug)]
pub(super) struct History {
    vms: BTreeMap<VmId, VmEntry>,
    latest: u64,
    shown: Version,
    pending: VecDeque<Version>,
}

#[derive(Serialize)]
struct Page<'a> {
    version: u64,
    vms: Vec<&'a VmEntry>,
}

impl History {
    pub(super) fn new(vms: Vec<VmEntry>) -> Self {
        let vms = by_name(vms);
        let shown = write_version(&vms, 1, Instant::now());
        Self {
            vms,
            latest: 1,
            shown,
            pending: VecDeque::new(),
        }
    }

    pub(super) fn latest(&self) -> u64 {
        self.latest
    }

    /// Changes the list; readers see it after `lag`.
    pub(super) fn change(&mut self, change: VmChange, lag: Duration) {
        if let Some(vms) = change.set {
            self.vms = by_name(vms);
        }
        self.vms.extend(by_name(change.add));
        for vm in change.remove {
            self.vms.remove(&vm);
        }
        for vm in change.leaving {
            if let Some(entry) = self.vms.get_mut(&vm) {
                entry.state = VmState::Leaving;
            }
        }
        self.latest += 1;
        // No version shows before an older one.
        let after = self
            .pending
            .back()
            .map_or(self.shown.shows_at, |last| last.shows_at);
        let shows_at = after.max(Instant::now() + lag);
        let version = write_version(&self.vms, self.latest, shows_at);
        self.pending.push_back(version);
    }

    /// Returns the newest version that shows now.
    pub(super) fn shown(&mut self) -> &Version {
        let now = Instant::now();
        while self
            .pending
            .front()
            .is_some_and(|next| next.shows_at <= now)
        {
            if let Some(next) = self.pending.pop_front() {
                self.shown = next;
            }
        }
        &self.shown
    }

    /// Returns when the next version shows.
    pub(super) fn next_at(&self) -> Option<Instant> {
        self.pending.front().map(|next| next.shows_at)
    }
}

fn by_name(vms: Vec<VmEntry>) -> BTreeMap<VmId, VmEntry> {
    vms.into_iter().map(|vm| (vm.vm.clone(), vm)).collect()
}

fn write_version(vms: &BTreeMap<VmId, VmEntry>, version: u64, shows_at: Instant) -> Version {
    let vms = vms.values().collect();
    let page = Page { version, vms };
    // Entries of the list always have a JSON form.
    let json = serde_json::to_vec(&page).unwrap_or_default();
    Version {
        version,
        json: Bytes::from(json),
        shows_at,
    }
}
