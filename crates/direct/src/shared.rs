//! What all requests of an entry share.

use std::sync::{Arc, OnceLock};
use std::time::Instant;

use prometheus::Registry;
use tokio_util::sync::CancellationToken;
use wagtailreel_fleet::Topic;
use wagtailreel_settings::DirectEntrySettings;

use crate::agents::Agents;
use crate::metrics::Metrics;
use crate::quarantine_sync::QuarantineSync;
use crate::view::View;

/// What all requests of an entry share.
#[derive(Debug)]
pub(crate) struct Shared<D> {
    pub(crate) dialect: D,
    pub(crate) settings: DirectEntrySettings,
    pub(crate) view: Arc<View>,
    pub(crate) agents: Agents,
    pub(crate) quarantine: Arc<QuarantineSync>,
    pub(crate) metrics: Metrics,
    pub(crate) registry: Registry,
    /// Set once the entry leaves.
    pub(crate) leaving: OnceLock<Leaving>,
    /// The entry is about to end: what has no answer yet gets its final one.
    pub(crate) ending: CancellationToken,
}

/// Which requests an entry that leaves still takes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Leaving {
    /// Until then every request is taken that can be given a final answer at any time; the balancer has
    /// not noticed yet.
    takes_all_until: Instant,
    /// Others are taken if their answers are whole before this.
    ends_at: Instant,
}

impl<D> Shared<D> {
    /// Says that the entry leaves.
    pub(crate) fn leave(&self, takes_all_until: Instant, ends_at: Instant) {
        // A second call would be for the same end of the process.
        let _ = self.leaving.set(Leaving {
            takes_all_until,
            ends_at,
        });
    }

    /// Says whether a request can be answered whose answer is whole at `end` at the latest.
    ///
    /// What is cut off in the middle of a stream can't be told of it.
    pub(crate) fn has_time(&self, now: Instant, end: Instant, is_stream: bool) -> bool {
        let Some(leaving) = self.leaving.get() else {
            return true;
        };
        end < leaving.ends_at || (!is_stream && now < leaving.takes_all_until)
    }

    /// Says whether what is believed of keys is young enough to act on.
    ///
    /// A key that was taken away must not work for longer than the operators were promised, also
    /// at an entry that can't hear of it.
    pub(crate) fn trusts_keys(&self) -> bool {
        let age = self.view.age(Topic::Settings);
        age.is_some_and(|age| age < self.settings.bounds.keys)
    }

    /// Says whether what is believed is young enough to deny that a route or key exists.
    pub(crate) fn may_deny(&self) -> bool {
        let age = self.view.age(Topic::Settings);
        age.is_some_and(|age| age < self.settings.bounds.denial)
    }

    /// Says whether the entry leaves.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.get().is_some()
    }

    /// Returns why the balancer should send no callers, or none if it should.
    pub(crate) fn unready(&self) -> Option<&'static str> {
        if self.is_leaving() {
            return Some("leaving");
        }
        let Some(directory) = self.view.directory() else {
            return Some("no-configuration");
        };
        if directory.needs_keys() && !self.trusts_keys() {
            return Some("stale-configuration");
        }
        if self.view.age(Topic::Upstreams).is_none() {
            return Some("no-upstreams");
        }
        None
    }
}
