//! What the entry is told of the weights that are named.

use std::net::IpAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use wagtailreel_fleet::{BootTime, HeardNaming, NamedWeights, Topic, WeightsVersion};
use wagtailreel_route::direct::{NamingSource, Namings};

use super::{View, lock};
use crate::events;

impl View {
    /// Takes when weights were not named yet by the agent at `from`, which was asked at `asked_at`.
    ///
    /// The age was told after the question, however long the answer took: counted back from the
    /// question it never makes the naming younger than it is.
    pub(crate) fn learn_naming(&self, naming: &HeardNaming, asked_at: BootTime, from: IpAddr) {
        let now = BootTime::now();
        let after = asked_at.minus(Duration::from_millis(naming.age_ms.into()));
        let read_as_of = self.read_as_of();
        let binding_from = self
            .record_missed(|namings| namings.merge_report(&naming.weights, after, read_as_of, now));
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

    /// Takes that an engine of `model` holds `version` whole.
    pub(crate) fn record_held(&self, model: &str, version: WeightsVersion) {
        let weights = NamedWeights {
            model: model.to_owned(),
            version,
        };
        let now = BootTime::now();
        let read_as_of = self.read_as_of();
        let binding_from =
            self.record_missed(|namings| namings.record_held(&weights, read_as_of, now));
        tell_named(&weights, NamingSource::Held, binding_from, now);
    }

    /// Takes weights that others know of, and has the registry read where that has to show whether their
    /// naming was missed.
    fn record_missed<F, T>(&self, take: F) -> T
    where
        F: FnOnce(&mut Namings) -> T,
    {
        let mut namings = lock(&self.namings);
        let taken = take(&mut namings);
        if namings.take_read_due() {
            self.read_due.notify_one();
        }
        taken
    }

    /// Returns the moment of which the last read of the settings speaks.
    fn read_as_of(&self) -> Option<BootTime> {
        lock(&self.confirmed).get(&Topic::Settings).copied()
    }

    pub(super) fn take_weights(&self, weights: &NamedWeights) {
        let now = BootTime::now();
        let source = if self.read_as_of().is_some() {
            self.news(now)
        } else if self.saw_return.load(Ordering::Relaxed) {
            NamingSource::AfterOutage
        } else {
            NamingSource::BeforeStart(self.started)
        };
        let binding_from = lock(&self.namings).record(weights, source, now);
        tell_named(weights, source, binding_from, now);
    }

    /// Returns how weights that the registry names now are told.
    ///
    /// They were named after the last read that did not know them. Counted from when it is heard of, the bound
    /// of a process that stood still, or reads through one that does, would end as much later. The time in which
    /// the registry left calls unanswered does not count.
    fn news(&self, now: BootTime) -> NamingSource {
        // Without a read before there is nothing that the weights could be news to.
        let after = self.read_as_of().unwrap_or(now);
        let unanswered = *lock(&self.unanswered);
        NamingSource::Registry {
            received_at: after.max(unanswered.unwrap_or(after)),
            after,
        }
    }
}

/// Tells of weights from which on nothing older may begin; of nothing where they are no news.
fn tell_named(
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
