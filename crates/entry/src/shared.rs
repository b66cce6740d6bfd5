//! State that all requests of an entry share.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use prometheus::Registry;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use wagtailreel_adapters::HttpClient;
use wagtailreel_control::EntryControl;
use wagtailreel_core::{Incarnation, RequestId};
use wagtailreel_settings::{EntrySettings, Keyring};

use crate::claims::Claims;
use crate::config::ConfigBook;
use crate::live::GoLiveTimer;
use crate::metrics::Metrics;
use crate::services::Services;

/// State that all requests share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: EntrySettings,
    pub(crate) customers: Keyring,
    pub(crate) teams: Keyring,
    pub(crate) incarnation: Incarnation,
    pub(crate) control: EntryControl,
    pub(crate) client: HttpClient,
    pub(crate) registry: Registry,
    pub(crate) metrics: Metrics,
    pub(crate) book: Arc<ConfigBook>,
    pub(crate) services: Arc<Services>,
    pub(crate) live: Arc<GoLiveTimer>,
    pub(crate) claims: Arc<Claims>,
    /// Requests in flight, including streams to callers.
    pub(crate) requests: TaskTracker,
    /// Cancels and releases that outlive their request.
    pub(crate) cleanups: TaskTracker,
    pub(crate) leaving: AtomicBool,
    pub(crate) cancel: CancellationToken,
    pub(crate) next_request: AtomicU64,
}

impl Shared {
    /// Returns an id that is unique among the requests of all entries.
    pub(crate) fn new_request_id(&self) -> RequestId {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:x}-{number:x}", self.settings.vm, self.incarnation)
    }

    /// Returns whether the entry refuses new requests because it shuts down.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Returns the longest time that a request waits for a switch: twice the lease.
    pub(crate) fn switch_wait(&self) -> Duration {
        self.settings.lease * 2
    }
}
