//! What an agent believes of its service: the model, the origin, the weights that are named.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::Notify;
use wagtailreel_core::ServiceName;
use wagtailreel_fleet::{
    BootTime, Change, ConfigVersion, Directory, ModelName, NamedWeights, Sink, Topic,
    WeightsVersion,
};

use crate::events;

#[derive(Debug, Default)]
struct Inner {
    config: Option<ConfigVersion>,
    model: Option<ModelName>,
    origin: Option<SocketAddr>,
    draw_time: Option<Duration>,
    named: BTreeMap<ModelName, (WeightsVersion, Option<Instant>)>,
    is_confirmed: bool,
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
    /// The version that was named, and when the agent heard of it; none if none was.
    pub(crate) version: Option<(WeightsVersion, Option<Instant>)>,
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
        let model = inner.model.clone().filter(|_| inner.is_confirmed)?;
        let version = inner.named.get(&model).copied();
        Some(Wanted {
            model,
            version,
            origin: inner.origin,
            draw_time: inner.draw_time,
        })
    }

    /// Takes weights that an entry knows to be named.
    pub(crate) fn hear(&self, weights: &NamedWeights) {
        if self.take_weights(weights) {
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

    /// Takes weights that are named; returns whether they are news.
    fn take_weights(&self, weights: &NamedWeights) -> bool {
        let mut inner = self.lock();
        let heard_at = inner.is_confirmed.then(Instant::now);
        let known = inner.named.get(&weights.model).map(|(version, _)| *version);
        if known.is_some_and(|known| known >= weights.version) {
            return false;
        }
        let named = (weights.version, heard_at);
        inner.named.insert(weights.model.clone(), named);
        events::WEIGHTS_NAMED.emit(&[
            ("model", &weights.model),
            ("version", &weights.version.to_string()),
            ("before", &known.unwrap_or_default().to_string()),
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
            Change::Weights(weights) => {
                self.take_weights(&weights);
            }
            // Upstreams are read when a fetch begins; what can't be read was told of.
            Change::Upstream(_) | Change::Gone(_) | Change::Unreadable { .. } => return,
        }
        self.changed.notify_one();
    }

    fn confirmed(&self, _topic: Topic, _as_of: BootTime) {
        let mut inner = self.lock();
        if !inner.is_confirmed {
            inner.is_confirmed = true;
            self.changed.notify_one();
        }
    }
}
