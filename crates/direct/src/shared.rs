//! State that all requests of an entry share.

use std::sync::{Arc, OnceLock};
use std::time::Instant;

use prometheus::Registry;
use tokio_util::sync::CancellationToken;
use wagtailreel_fleet::Topic;
use wagtailreel_settings::DirectEntrySettings;

use crate::agents::Agents;
use crate::held::Held;
use crate::metrics::Metrics;
use crate::quarantine_sync::QuarantineSync;
use crate::view::View;

/// State that all requests of an entry share.
#[derive(Debug)]
pub(crate) struct Shared<D> {
    pub(crate) dialect: D,
    pub(crate) settings: DirectEntrySettings,
    pub(crate) view: Arc<View>,
    pub(crate) agents: Agents,
    pub(crate) quarantine: Arc<QuarantineSync>,
    pub(crate) metrics: Metrics,
    /// Bytes that are held for callers.
    pub(crate) held: Arc<Held>,
    pub(crate) registry: Registry,
    /// Set once the entry shuts down.
    pub(crate) shutdown: OnceLock<Shutdown>,
    /// Cancelled as the grace period ends: each request that is still open gets its final answer.
    pub(crate) ending: CancellationToken,
}

/// Which requests an entry still accepts while it shuts down.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Shutdown {
    /// Until then the entry accepts every request that is no stream, since the balancer may not have noticed
    /// the shutdown yet. Such a request can be given a final answer at any time.
    accepts_all_until: Instant,
    /// The entry accepts any other request only if its answer is complete before this.
    ends_at: Instant,
}

impl<D> Shared<D> {
    /// Records that the entry shuts down.
    pub(crate) fn begin_shutdown(&self, accepts_all_until: Instant, ends_at: Instant) {
        // A second call would be for the same shutdown.
        let _ = self.shutdown.set(Shutdown {
            accepts_all_until,
            ends_at,
        });
    }

    /// Returns whether the entry still accepts a request whose answer is complete at `end` at the latest.
    ///
    /// A stream that is cut off can't be given a final answer any more, so that it has to end in time.
    pub(crate) fn has_time(&self, now: Instant, end: Instant, is_stream: bool) -> bool {
        let Some(shutdown) = self.shutdown.get() else {
            return true;
        };
        end < shutdown.ends_at || (!is_stream && now < shutdown.accepts_all_until)
    }

    /// Returns whether the known configuration is recent enough to accept keys.
    ///
    /// A revoked key must not work for longer than the bound that the settings promise, also at an entry that
    /// can't reach the registry.
    pub(crate) fn trusts_keys(&self) -> bool {
        let age = self.view.age(Topic::Settings);
        age.is_some_and(|age| age < self.settings.bounds.keys)
    }

    /// Returns whether the known configuration is recent enough to answer that a route or a key does not
    /// exist.
    pub(crate) fn may_deny(&self) -> bool {
        let age = self.view.age(Topic::Settings);
        age.is_some_and(|age| age < self.settings.bounds.denial)
    }

    /// Returns whether the entry shuts down.
    pub(crate) fn is_shutting_down(&self) -> bool {
        self.shutdown.get().is_some()
    }

    /// Returns why the balancer should send no callers, or `None` if the entry is ready.
    pub(crate) fn unready_reason(&self) -> Option<&'static str> {
        if self.is_shutting_down() {
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
