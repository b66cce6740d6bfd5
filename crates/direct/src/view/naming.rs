//! Namings that the entry learns of from the registry, agents and engines.

use std::net::IpAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use wagtailreel_fleet::{BootTime, NamedWeights, NamingReport, Topic, WeightsVersion};
use wagtailreel_route::direct::{NamingSource, Namings};

use super::{View, lock};
use crate::events;

impl View {
    /// Merges a naming that the agent at `from` reported in answer to a query sent at `asked_at`, with a
    /// time at which the weights were not named yet.
    ///
    /// The agent computed the age after the query was sent. Counted back from the sending, the age never
    /// makes the naming younger than it is, however long the answer took.
    pub(crate) fn merge_naming(&self, naming: &NamingReport, asked_at: BootTime, from: IpAddr) {
        let now = BootTime::now();
        let after = asked_at.minus(Duration::from_millis(naming.age_ms.into()));
        let read_as_of = self.read_as_of();
        let binding_from = self.merge_reported(|namings| {
            namings.merge_report(&naming.weights, after, read_as_of, now)
        });
        if let Some(binding_from) = binding_from {
            events::NAMING_LEARNED.emit(&[
                ("model", &naming.weights.model),
                ("version", &naming.weights.version.to_string()),
                ("agent", &from.to_string()),
                ("age_ms", &millis(now.since(after))),
                ("binding_in_ms", &millis(binding_from.since(now))),
            ]);
        }
    }

    /// Records that an engine of `model` holds all chunks of `version`.
    pub(crate) fn record_held(&self, model: &str, version: WeightsVersion) {
        let weights = NamedWeights {
            model: model.to_owned(),
            version,
        };
        let now = BootTime::now();
        let read_as_of = self.read_as_of();
        let binding_from =
            self.merge_reported(|namings| namings.record_held(&weights, read_as_of, now));
        log_naming(&weights, NamingSource::Held, binding_from, now);
    }

    /// Merges weights that other processes report, and triggers a read of the registry if only that can
    /// show whether this entry missed their naming.
    fn merge_reported<F, T>(&self, merge: F) -> T
    where
        F: FnOnce(&mut Namings) -> T,
    {
        let mut namings = lock(&self.namings);
        let merged = merge(&mut namings);
        if namings.take_read_due() {
            self.read_due.notify_one();
        }
        merged
    }

    /// Returns the time whose state the last read of the settings shows.
    fn read_as_of(&self) -> Option<BootTime> {
        lock(&self.confirmed).get(&Topic::Settings).copied()
    }

    pub(super) fn apply_weights(&self, weights: &NamedWeights) {
        let now = BootTime::now();
        let source = if self.read_as_of().is_some() {
            self.named_since_last_read(now)
        } else if self.registry_returned.load(Ordering::Relaxed) {
            NamingSource::AfterOutage
        } else {
            NamingSource::BeforeStart(self.started)
        };
        let binding_from = lock(&self.namings).record(weights, source, now);
        log_naming(weights, source, binding_from, now);
    }

    /// Returns the source for weights that the registry has named since the last read.
    ///
    /// Their bound counts from the last read, which did not show them. If it counted from their receipt,
    /// the bound would end later by the time for which this process, or the one that it reads through, was
    /// suspended. The time in which the registry left calls unanswered does not count.
    fn named_since_last_read(&self, now: BootTime) -> NamingSource {
        // Only called after a first read; without one the weights count as named now.
        let after = self.read_as_of().unwrap_or(now);
        let unanswered = *lock(&self.unanswered);
        NamingSource::Registry {
            received_at: after.max(unanswered.unwrap_or(after)),
            after,
        }
    }
}

/// Logs a naming and when it becomes binding; logs nothing if the naming is not new.
fn log_naming(
    weights: &NamedWeights,
    source: NamingSource,
    binding_from: Option<BootTime>,
    now: BootTime,
) {
    let Some(binding_from) = binding_from else {
        return;
    };
    let age = source
        .after()
        .map_or_else(|| "unknown".to_owned(), |after| millis(now.since(after)));
    events::WEIGHTS_NAMED.emit(&[
        ("model", &weights.model),
        ("version", &weights.version.to_string()),
        ("told", &source.to_string()),
        ("age_ms", &age),
        ("binding_in_ms", &millis(binding_from.since(now))),
    ]);
}

fn millis(span: Duration) -> String {
    span.as_millis().to_string()
}
