//! What all requests of an entry share.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use prometheus::Registry;
use wagtailreel_fleet::Topic;
use wagtailreel_settings::DirectEntrySettings;

use crate::load::Agents;
use crate::metrics::Metrics;
use crate::view::View;

/// What all requests of an entry share.
#[derive(Debug)]
pub(crate) struct Shared<D> {
    pub(crate) dialect: D,
    pub(crate) settings: DirectEntrySettings,
    pub(crate) view: Arc<View>,
    pub(crate) agents: Agents,
    pub(crate) metrics: Metrics,
    pub(crate) registry: Registry,
    /// The entry leaves.
    pub(crate) leaving: AtomicBool,
}

impl<D> Shared<D> {
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
        self.leaving.load(Ordering::Relaxed)
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
