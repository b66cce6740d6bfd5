//! What an agent believes of its service: the model, the origin, the weights that are named.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::Notify;
use wagtailreel_core::ServiceName;
use wagtailreel_fleet::{
    BootTime, Change, ConfigVersion, Directory, ModelName, NamedWeights, NamingTimes, Sink, Topic,
    WeightsVersion,
};

use crate::events;

#[derive(Debug, Default)]
struct Inner {
    config: Option<ConfigVersion>,
    model: Option<ModelName>,
    origin: Option<SocketAddr>,
    draw_time: Option<Duration>,
    named: BTreeMap<ModelName, HeardWeights>,
    read: NamingTimes,
    /// The moment of which the last read of the settings speaks.
    confirmed_as_of: Option<BootTime>,
}

/// Weights that were named, as an agent heard of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct HeardWeights {
    pub(crate) version: WeightsVersion,
    /// When the agent takes them to be named; none if that was before its start, or can't be known.
    pub(crate) named_at: Option<Instant>,
    /// The latest moment at which they are proved not to have been named. Entries count their bound
    /// from it, so that a guess would let requests begin on older weights for too long.
    pub(crate) after: Option<BootTime>,
    /// When the agent heard of them first.
    pub(crate) heard_at: BootTime,
}

/// What an agent believes of its service.
#[derive(Debug)]
pub(crate) struct Beliefs {
    service: ServiceName,
    inner: Mutex<Inner>,
    pub(crate) changed: Notify,
}

/// What is to be served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Wanted {
    pub(crate) model: ModelName,
    /// The weights that were named; none if none were.
    pub(crate) named: Option<HeardWeights>,
    pub(crate) origin: Option<SocketAddr>,
    /// How long the origin's link takes for one chunk.
    pub(crate) draw_time: Option<Duration>,
}

impl Beliefs {
    pub(crate) fn new(service: ServiceName) -> Self {
        Self {
            service,
            inner: Mutex::default(),
            changed: Notify::new(),
        }
    }

    /// Returns what is to be served, once the settings were read.
    pub(crate) fn wanted(&self) -> Option<Wanted> {
        let inner = self.lock();
        let model = inner.model.clone();
        let model = model.filter(|_| inner.confirmed_as_of.is_some())?;
        let named = inner.named.get(&model).copied();
        Some(Wanted {
            model,
            named,
            origin: inner.origin,
            draw_time: inner.draw_time,
        })
    }

    /// Takes weights that an entry knows to be named, how long ago it takes that to be, and when they were
    /// not yet, if it can prove that. A moment that is still to come is of another clock.
    ///
    /// The time that the engine has to load is counted from the age, which any entry knows that heard of the
    /// naming: without one all engines load at once, and callers find all of them closed.
    pub(crate) fn hear(
        &self,
        weights: &NamedWeights,
        age: Option<Duration>,
        after: Option<BootTime>,
    ) {
        let now = BootTime::now();
        let after = after.filter(|after| *after <= now);
        let age = age.or_else(|| after.map(|after| now.since(after)));
        let heard = HeardWeights {
            version: weights.version,
            named_at: age.and_then(|age| Instant::now().checked_sub(age)),
            after,
            heard_at: now,
        };
        if self.take(&weights.model, heard) {
            self.changed.notify_one();
        }
    }

    fn take_directory(&self, directory: &Directory) {
        let mut inner = self.lock();
        if inner
            .config
            .is_some_and(|known| known >= directory.version())
        {
            return;
        }
        inner.config = Some(directory.version());
        inner.origin = directory.origin().map(|origin| origin.addr);
        let engine = directory
            .service(&self.service)
            .and_then(|spec| spec.engine.as_ref());
        inner.draw_time = engine.and_then(|engine| directory.draw_time(engine));
        inner.model = engine.map(|engine| engine.model.clone());
    }

    /// Takes weights that the registry names.
    fn take_weights(&self, weights: &NamedWeights) {
        // What the first read brings was named before the start.
        let before = {
            let mut inner = self.lock();
            let confirmed_as_of = inner.confirmed_as_of;
            inner.read.record(weights, confirmed_as_of)
        };
        let heard = HeardWeights {
            version: weights.version,
            named_at: before.map(|_| Instant::now()),
            after: before,
            heard_at: BootTime::now(),
        };
        self.take(&weights.model, heard);
    }

    /// Takes weights that are named; returns whether that says more than was known.
    fn take(&self, model: &ModelName, heard: HeardWeights) -> bool {
        let mut inner = self.lock();
        let known = inner.named.get(model).copied();
        if let Some(known) = known
            && known.version >= heard.version
        {
            // They were named after each moment that is proved, so that the latest says most.
            let says_more = known.version == heard.version && heard.after > known.after;
            if says_more {
                let heard_at = known.heard_at;
                let heard = HeardWeights { heard_at, ..heard };
                inner.named.insert(model.clone(), heard);
            }
            return says_more;
        }
        inner.named.insert(model.clone(), heard);
        let age = heard.after.map(|after| BootTime::now().since(after));
        events::WEIGHTS_NAMED.emit(&[
            ("model", model),
            ("version", &heard.version.to_string()),
            (
                "before",
                &known.map_or(0, |known| known.version).to_string(),
            ),
            (
                "age_ms",
                &age.map_or_else(|| "unknown".to_owned(), |age| age.as_millis().to_string()),
            ),
        ]);
        true
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Sink for Beliefs {
    fn apply(&self, change: Change) {
        match change {
            Change::Config(directory) => self.take_directory(&directory),
            Change::Weights(weights) => self.take_weights(&weights),
            // Upstreams are read when a fetch begins; what can't be read was told of.
            Change::Upstream(_) | Change::Gone(_) | Change::Unreadable { .. } => return,
        }
        self.changed.notify_one();
    }

    fn confirmed(&self, _topic: Topic, as_of: BootTime) {
        let mut inner = self.lock();
        let before = inner.confirmed_as_of;
        inner.confirmed_as_of = before.max(Some(as_of));
        if before.is_none() {
            self.changed.notify_one();
        }
    }
}
