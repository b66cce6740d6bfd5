//! Last known settings of an agent's service: the model, the origin and the named weights.

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
    named: BTreeMap<ModelName, KnownNaming>,
    read: NamingTimes,
    /// The moment as of which the settings were last confirmed.
    confirmed_as_of: Option<BootTime>,
}

/// A naming of weights as far as the agent knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct KnownNaming {
    pub(crate) version: WeightsVersion,
    /// Estimated time of the naming; `None` if it was before the agent's start or there is no evidence
    /// for it.
    pub(crate) named_at: Option<Instant>,
    /// The latest moment at which the weights are proved not to have been named. Entries count the
    /// bound from this moment, so a guess could let requests begin on older weights for too long.
    pub(crate) named_after: Option<BootTime>,
    /// When the agent first learned of the naming.
    pub(crate) received_at: BootTime,
}

/// Last known settings of an agent's service.
#[derive(Debug)]
pub(crate) struct KnownSettings {
    service: ServiceName,
    inner: Mutex<Inner>,
    pub(crate) changed: Notify,
}

/// The weights that the engine should serve, and where to fetch them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct DesiredWeights {
    pub(crate) model: ModelName,
    /// The naming; `None` if no weights of the model are named.
    pub(crate) named: Option<KnownNaming>,
    pub(crate) origin: Option<SocketAddr>,
    /// How long the origin's link takes to transfer one chunk.
    pub(crate) draw_time: Option<Duration>,
}

impl KnownSettings {
    pub(crate) fn new(service: ServiceName) -> Self {
        Self {
            service,
            inner: Mutex::default(),
            changed: Notify::new(),
        }
    }

    /// Returns what the engine should serve, or `None` until the settings have been read.
    pub(crate) fn desired(&self) -> Option<DesiredWeights> {
        let inner = self.lock();
        let model = inner.model.clone();
        let model = model.filter(|_| inner.confirmed_as_of.is_some())?;
        let named = inner.named.get(&model).copied();
        Some(DesiredWeights {
            model,
            named,
            origin: inner.origin,
            draw_time: inner.draw_time,
        })
    }

    /// Merges a naming reported by an entry: the `age` that the entry estimates, and a moment at which the
    /// weights were not named yet, if the entry can prove one.
    ///
    /// A moment in the future comes from another clock and is ignored.
    ///
    /// The time that the engine has to load is counted from the age, which every entry that knows the
    /// naming can report. Without an age all engines load at once, and none accepts requests meanwhile.
    pub(crate) fn merge_report(
        &self,
        weights: &NamedWeights,
        age: Option<Duration>,
        named_after: Option<BootTime>,
    ) {
        let now = BootTime::now();
        let named_after = named_after.filter(|named_after| *named_after <= now);
        let age = age.or_else(|| named_after.map(|named_after| now.since(named_after)));
        let naming = KnownNaming {
            version: weights.version,
            named_at: age.and_then(|age| Instant::now().checked_sub(age)),
            named_after,
            received_at: now,
        };
        if self.merge(&weights.model, naming) {
            self.changed.notify_one();
        }
    }

    fn apply_directory(&self, directory: &Directory) {
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

    /// Applies a naming that was read from the registry.
    fn apply_weights(&self, weights: &NamedWeights) {
        // Namings of the first read were made before the agent started.
        let before = {
            let mut inner = self.lock();
            let confirmed_as_of = inner.confirmed_as_of;
            inner.read.record(weights, confirmed_as_of)
        };
        let naming = KnownNaming {
            version: weights.version,
            named_at: before.map(|_| Instant::now()),
            named_after: before,
            received_at: BootTime::now(),
        };
        self.merge(&weights.model, naming);
    }

    /// Merges a naming; returns whether it is newer than the known one, or proves a later moment for it.
    fn merge(&self, model: &ModelName, naming: KnownNaming) -> bool {
        let mut inner = self.lock();
        let known = inner.named.get(model).copied();
        if let Some(known) = known
            && known.version >= naming.version
        {
            // The naming came after each proved moment, so the latest moment is the tightest limit.
            let is_newer_proof =
                known.version == naming.version && naming.named_after > known.named_after;
            if is_newer_proof {
                let received_at = known.received_at;
                let naming = KnownNaming {
                    received_at,
                    ..naming
                };
                inner.named.insert(model.clone(), naming);
            }
            return is_newer_proof;
        }
        inner.named.insert(model.clone(), naming);
        let age = naming
            .named_after
            .map(|named_after| BootTime::now().since(named_after));
        events::WEIGHTS_NAMED.emit(&[
            ("model", model),
            ("version", &naming.version.to_string()),
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

impl Sink for KnownSettings {
    fn apply(&self, change: Change) {
        match change {
            Change::Config(directory) => self.apply_directory(&directory),
            Change::Weights(weights) => self.apply_weights(&weights),
            // Upstreams are read when a fetch begins; unreadable records were reported before. Agents of an
            // evacuated data centre go on fetching weights, so that its engines hold them when it is taken back.
            Change::Upstream(_)
            | Change::Gone(_)
            | Change::Evacuation { .. }
            | Change::UnreadableEvacuation { .. }
            | Change::Unreadable { .. } => return,
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
