//! The configuration: the fold of the stream `config`, and the state in force.

use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::SystemTime;

use tokio::sync::watch;
use wagtailreel_adapters::LogPage;
use wagtailreel_control::EntryControl;
use wagtailreel_core::{Offset, StateView};
use wagtailreel_fold::{Applied, ConfigFold, FoldStop, LogHead, Publication};

use crate::events;
use crate::follower::StreamSink;
use crate::live::GoLiveTimer;
use crate::metrics::Metrics;
use crate::services::Services;

/// The configuration at this entry.
///
/// Invariant: the state in force is always a state of the fold, so it never reverts.
#[derive(Debug)]
pub(crate) struct ConfigBook {
    fold: Mutex<ConfigFold>,
    publication: Publication,
    view: RwLock<Arc<StateView>>,
    offset: watch::Sender<Offset>,
    head: watch::Sender<Option<LogHead>>,
    reading: watch::Sender<bool>,
    services: Arc<Services>,
    control: EntryControl,
    metrics: Metrics,
    live: Arc<GoLiveTimer>,
    started: SystemTime,
}

impl ConfigBook {
    /// Returns a book that has read nothing yet.
    pub(crate) fn new(
        services: Arc<Services>,
        control: EntryControl,
        metrics: Metrics,
        live: Arc<GoLiveTimer>,
    ) -> Self {
        Self {
            fold: Mutex::default(),
            publication: Publication::default(),
            view: RwLock::default(),
            offset: watch::Sender::new(0),
            head: watch::Sender::new(None),
            reading: watch::Sender::new(false),
            services,
            control,
            metrics,
            live,
            started: SystemTime::now(),
        }
    }

    /// Runs `f` on the fold.
    pub(crate) fn with_fold<F, T>(&self, f: F) -> T
    where
        F: FnOnce(&mut ConfigFold) -> T,
    {
        f(&mut self.fold.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns the configuration in force.
    pub(crate) fn view(&self) -> Arc<StateView> {
        Arc::clone(&self.view.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns a receiver of the offset in force.
    pub(crate) fn offset(&self) -> watch::Receiver<Offset> {
        self.offset.subscribe()
    }

    /// Returns a receiver of the first and next offset of the log, as last read.
    pub(crate) fn head(&self) -> watch::Receiver<Option<LogHead>> {
        self.head.subscribe()
    }

    /// Returns whether the configuration is known, from the log or from a peer.
    pub(crate) fn is_known(&self) -> bool {
        let (offset, ready) = self.with_fold(|fold| (fold.offset(), fold.is_ready()));
        (self.head.borrow().is_some() && ready) || offset > 0
    }

    /// Returns whether any service can be served. An agent's report of its service is enough.
    pub(crate) fn can_serve(&self) -> bool {
        self.is_known() || !self.view().services.is_empty()
    }

    /// Returns a receiver of whether the log can be read. The value is also true once the fold has
    /// stopped for good, because a stopped fold accepts no state from peers either.
    pub(crate) fn reading(&self) -> watch::Receiver<bool> {
        self.reading.subscribe()
    }

    /// Merges a peer's state. The state of an agent has one service and no offset. Returns whether
    /// the configuration in force changed.
    pub(crate) fn merge_state(&self, view: &StateView) -> bool {
        let applied = self.with_fold(|fold| {
            let applied = fold.restore(view);
            for state in view.services.values() {
                fold.merge_service(state);
            }
            applied
        });
        self.report_applied(&applied, None);
        self.publish()
    }

    /// Puts the fold's state in force. Returns whether it differs from the one before.
    pub(crate) fn publish(&self) -> bool {
        let read = || self.with_fold(|fold| fold.state().clone());
        self.publication
            .publish(read, |state| self.put_in_force(state))
    }

    fn put_in_force(&self, state: StateView) -> bool {
        if state == *self.view() {
            return false;
        }
        let state = Arc::new(state);
        *self.view.write().unwrap_or_else(PoisonError::into_inner) = Arc::clone(&state);
        self.services.apply(&state);
        self.control.set_state(StateView::clone(&state));
        self.metrics
            .config_offset
            .set(i64::try_from(state.offset).unwrap_or(i64::MAX));
        self.offset.send_replace(state.offset);
        true
    }

    fn report_applied(&self, applied: &[Applied], at: Option<SystemTime>) {
        for applied in applied {
            match applied {
                Applied::Accepted {
                    service,
                    edit_id,
                    revision,
                    ..
                } => {
                    let revision = revision.to_string();
                    events::CONFIG_APPLIED.emit(&[
                        ("service", service),
                        ("edit", edit_id),
                        ("revision", &revision),
                    ]);
                    self.observe_lag(service, at);
                    self.track_live(service, at);
                }
                Applied::Refused {
                    service,
                    edit_id,
                    refusal,
                } => {
                    let reason = refusal.to_string();
                    events::EDIT_REFUSED.emit(&[
                        ("service", service),
                        ("edit", edit_id),
                        ("reason", &reason),
                    ]);
                }
                Applied::SnapshotIgnored { at, contradicts } if !contradicts.is_empty() => {
                    let at = at.to_string();
                    let services = contradicts.join(" ");
                    events::SNAPSHOT_CONTRADICTS.emit(&[("at", &at), ("services", &services)]);
                }
                _ => {}
            }
        }
    }

    /// Observes the time from a document's record until it is in force. Records older than the
    /// process are left out.
    fn observe_lag(&self, service: &str, at: Option<SystemTime>) {
        let Some(at) = at.filter(|at| *at >= self.started) else {
            return;
        };
        let lag = SystemTime::now().duration_since(at).unwrap_or_default();
        self.metrics
            .in_force_lag
            .with_label_values(&[service])
            .observe(lag.as_secs_f64());
    }

    /// Starts to measure the time until an accepted edit's weights are live. Edits older than the
    /// process are left out: other entries measure them, and this one does not know when they
    /// came into force.
    fn track_live(&self, service: &str, at: Option<SystemTime>) {
        if at.is_none_or(|at| at < self.started) {
            return;
        }
        let state = self.with_fold(|fold| fold.state().services.get(service).cloned());
        if let Some(state) = state {
            self.live.accepted(&state);
        }
    }
}

impl StreamSink for ConfigBook {
    const STREAM: &'static str = "config";

    fn next(&self, after_failure: bool) -> Offset {
        self.with_fold(|fold| {
            if after_failure {
                fold.resume_from()
            } else {
                fold.next()
            }
        })
    }

    fn applied(&self) -> Offset {
        self.with_fold(|fold| fold.offset())
    }

    fn apply_page(&self, page: &LogPage, applied: Offset) -> Result<(), FoldStop> {
        self.with_fold(|fold| fold.check_head(applied, page.next))?;
        let mut result = Ok(());
        for record in &page.records {
            let step = self.with_fold(|fold| fold.apply(record.offset, record.at, &record.data));
            match step {
                Ok(applied) => self.report_applied(&applied, Some(record.at)),
                Err(stop) => {
                    result = Err(stop);
                    break;
                }
            }
        }
        // Records that were applied before a stop are put in force as well.
        self.publish();
        self.head.send_replace(Some(LogHead {
            first: page.first,
            next: page.next,
        }));
        result
    }

    fn on_lapsed(&self, first: Offset, next: Offset, applied: Offset) -> Result<bool, FoldStop> {
        self.with_fold(|fold| {
            fold.check_head(applied, next)?;
            let missed = first > fold.next();
            fold.start_from(first);
            Ok(missed)
        })
    }

    fn set_readable(&self, reading: bool) {
        self.metrics.config_reading.set(i64::from(reading));
        self.reading.send_replace(reading);
    }

    fn on_stop(&self, _stop: &FoldStop) {
        self.metrics.config_stopped.set(1);
        self.reading.send_replace(true);
    }
}
