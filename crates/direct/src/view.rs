//! What the entry believes of its fleet, each belief with its age.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::{Duration, Instant};

use tokio::sync::Notify;
use wagtailreel_core::{DataCentre, Region, ServiceName};
use wagtailreel_fleet::{
    BootTime, Change, Directory, HeardNaming, ModelName, NamedWeights, Sink, Topic, Upstream,
    UpstreamId, WeightsVersion,
};
use wagtailreel_route::{BudgetConfig, RetryBudget};

use crate::events;
use crate::pool::Pool;
use wagtailreel_route::direct::{Pressure, Upstreams};

/// Retries that this entry may save up for each service. The budget is one for all entries; with
/// 8 entries they spend 40 of the 104 that the users allow beyond the share of the requests.
const RETRY_BURST: f64 = 5.0;

/// How long a request may wait to begin on weights that were named before the start, beyond their
/// bound: both together stay below the 3 s that a new process is given.
const LAST_BEGIN_AT_START: Duration = Duration::from_millis(250);

/// One service: its upstreams, its retries and its connections, each under a lock of its own.
#[derive(Debug)]
pub(crate) struct Service {
    upstreams: Mutex<Upstreams>,
    budget: Mutex<RetryBudget>,
    pressure: Mutex<Pressure>,
    /// An agent told of one of the upstreams.
    pub(crate) heard: Notify,
    pub(crate) pool: Pool,
}

impl Service {
    pub(crate) fn upstreams(&self) -> MutexGuard<'_, Upstreams> {
        lock(&self.upstreams)
    }

    pub(crate) fn pressure(&self) -> MutexGuard<'_, Pressure> {
        lock(&self.pressure)
    }

    pub(crate) fn budget(&self) -> MutexGuard<'_, RetryBudget> {
        lock(&self.budget)
    }
}

/// Weights that are to be served, and from when on nothing older may begin.
#[derive(Clone, Copy, Debug)]
struct Named {
    version: WeightsVersion,
    binding_from: BootTime,
    /// Requests that wait to begin on older weights are taken back at this moment.
    last_begin: BootTime,
    /// The process was started after they were named, and guessed since when they are.
    is_guess: bool,
    /// An agent told since when they are named.
    was_learned: bool,
}

/// Bounds of what the entry believes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Bounds {
    /// How long requests may begin on older weights after newer ones were named.
    pub(crate) weights: Duration,
    /// How long a request that was sent to older weights may still wait to begin.
    pub(crate) weights_last: Duration,
    /// How long requests may begin on older weights that were named before the process started.
    pub(crate) weights_at_start: Duration,
    /// Retries for each request.
    pub(crate) retry_ratio: f64,
}

/// What the entry believes of its fleet.
#[derive(Debug)]
pub(crate) struct View {
    data_centre: DataCentre,
    regions: BTreeMap<DataCentre, Region>,
    bounds: Bounds,
    directory: RwLock<Option<Arc<Directory>>>,
    confirmed: Mutex<BTreeMap<Topic, BootTime>>,
    services: RwLock<BTreeMap<ServiceName, Arc<Service>>>,
    homes: Mutex<BTreeMap<UpstreamId, ServiceName>>,
    weights: Mutex<BTreeMap<ModelName, Vec<Named>>>,
    started: BootTime,
    /// The registry was away and came back since the start.
    saw_return: AtomicBool,
}

impl View {
    pub(crate) fn new(
        data_centre: DataCentre,
        regions: BTreeMap<DataCentre, Region>,
        bounds: Bounds,
    ) -> Self {
        Self {
            data_centre,
            regions,
            bounds,
            directory: RwLock::default(),
            confirmed: Mutex::default(),
            services: RwLock::default(),
            homes: Mutex::default(),
            weights: Mutex::default(),
            started: BootTime::now(),
            saw_return: AtomicBool::new(false),
        }
    }

    /// Returns the configuration in force.
    pub(crate) fn directory(&self) -> Option<Arc<Directory>> {
        let directory = self.directory.read();
        directory.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns how long ago the registry last confirmed what is believed of `topic`.
    pub(crate) fn age(&self, topic: Topic) -> Option<Duration> {
        let as_of = lock(&self.confirmed).get(&topic).copied()?;
        Some(BootTime::now().since(as_of))
    }

    /// Returns a service, made empty if it is new.
    pub(crate) fn service(&self, name: &str) -> Arc<Service> {
        let services = self.services.read();
        if let Some(service) = services.unwrap_or_else(PoisonError::into_inner).get(name) {
            return Arc::clone(service);
        }
        let services = self.services.write();
        let mut services = services.unwrap_or_else(PoisonError::into_inner);
        let service = services.entry(name.to_owned()).or_insert_with(|| {
            let upstreams = Upstreams::new(self.data_centre.clone(), self.regions.clone());
            let budget = BudgetConfig {
                ratio: self.bounds.retry_ratio,
                burst: RETRY_BURST,
            };
            Arc::new(Service {
                upstreams: Mutex::new(upstreams),
                budget: Mutex::new(RetryBudget::new(budget)),
                pressure: Mutex::new(Pressure::new(Instant::now())),
                heard: Notify::new(),
                pool: Pool::default(),
            })
        });
        Arc::clone(service)
    }

    /// Returns all services that have or had upstreams.
    pub(crate) fn services(&self) -> Vec<Arc<Service>> {
        let services = self.services.read();
        let services = services.unwrap_or_else(PoisonError::into_inner);
        services.values().cloned().collect()
    }

    /// Returns the oldest version of `model` on which a request may begin now.
    pub(crate) fn least_version(&self, model: &str) -> Option<WeightsVersion> {
        let now = BootTime::now();
        let weights = lock(&self.weights);
        let named = weights.get(model)?.iter();
        let binding = named.filter(|named| named.binding_from <= now);
        binding.map(|named| named.version).max()
    }

    /// Returns the newest weights of `model` that are named.
    pub(crate) fn newest_weights(&self, model: &str) -> Option<NamedWeights> {
        let weights = lock(&self.weights);
        let newest = weights
            .get(model)?
            .iter()
            .map(|named| named.version)
            .max()?;
        Some(NamedWeights {
            model: model.to_owned(),
            version: newest,
        })
    }

    /// Returns how much longer a request may wait to begin on `version` of `model`; none if nothing
    /// newer is named.
    pub(crate) fn begin_within(&self, model: &str, version: WeightsVersion) -> Option<Duration> {
        let now = BootTime::now();
        let weights = lock(&self.weights);
        let newer = weights.get(model)?.iter().filter(|it| it.version > version);
        newer.map(|named| named.last_begin.since(now)).min()
    }

    fn take_directory(&self, directory: Directory) {
        let slot = self.directory.write();
        let mut slot = slot.unwrap_or_else(PoisonError::into_inner);
        let before = slot.as_ref().map(|it| it.version());
        let version = directory.version();
        let event = match before {
            Some(before) if version < before => events::CONFIG_OLD,
            Some(before) if version == before => return,
            _ => events::CONFIG_IN_FORCE,
        };
        event.emit(&[
            ("version", &version.to_string()),
            ("before", &before.unwrap_or_default().to_string()),
            ("routes", &directory.routes().len().to_string()),
        ]);
        if event == events::CONFIG_IN_FORCE {
            *slot = Some(Arc::new(directory));
        }
    }

    /// Takes when an agent heard of weights that were named before this process started.
    ///
    /// The earliest that any agent heard of them counts; the entry's own guess gives way to it.
    pub(crate) fn learn_naming(&self, naming: &HeardNaming) {
        let mut all = lock(&self.weights);
        let Some(named) = all.get_mut(&naming.weights.model) else {
            return;
        };
        let mut named = named.iter_mut();
        let Some(named) = named.find(|it| it.version == naming.weights.version) else {
            return;
        };
        let heard_at = BootTime::now().minus(Duration::from_millis(naming.age_ms.into()));
        let binding_from = heard_at.plus(self.bounds.weights);
        if named.is_guess || (named.was_learned && binding_from < named.binding_from) {
            named.is_guess = false;
            named.was_learned = true;
            named.binding_from = binding_from;
            named.last_begin = heard_at.plus(self.bounds.weights_last);
        }
    }

    fn take_weights(&self, weights: NamedWeights) {
        let is_first = !lock(&self.confirmed).contains_key(&Topic::Settings);
        let waits = self.bounds.weights_last.saturating_sub(self.bounds.weights);
        let now = BootTime::now();
        // After an outage of the registry the bound counts from its return, also for what was named
        // before the start.
        let is_guess = is_first && !self.saw_return.load(Ordering::Relaxed);
        let (binding_from, last_begin) = if is_guess {
            // A new process is given a time from its start on, and no more.
            let binding_from = self.started.plus(self.bounds.weights_at_start);
            (
                binding_from,
                binding_from.plus(waits.min(LAST_BEGIN_AT_START)),
            )
        } else {
            let binding_from = self.heard_since(&weights).plus(self.bounds.weights);
            (binding_from, binding_from.plus(waits))
        };
        let mut all = lock(&self.weights);
        let named = all.entry(weights.model.clone()).or_default();
        if named.iter().any(|it| it.version >= weights.version) {
            return;
        }
        named.push(Named {
            version: weights.version,
            binding_from,
            last_begin,
            is_guess: is_first,
            was_learned: false,
        });
        events::WEIGHTS_NAMED.emit(&[
            ("model", &weights.model),
            ("version", &weights.version.to_string()),
            (
                "binding_in_ms",
                &binding_from.since(now).as_millis().to_string(),
            ),
        ]);
    }

    /// Returns since when `weights` may be known to be named.
    ///
    /// Of several versions that were named between two reads only the newest may be heard of. Its
    /// bound counts from the read before, so that it also holds for those that were passed over.
    fn heard_since(&self, weights: &NamedWeights) -> BootTime {
        let now = BootTime::now();
        let known = lock(&self.weights)
            .get(&weights.model)
            .and_then(|named| named.iter().map(|it| it.version).max());
        let was_skipped = known.is_some_and(|known| known + 1 < weights.version);
        let before = lock(&self.confirmed).get(&Topic::Settings).copied();
        before.filter(|_| was_skipped).unwrap_or(now)
    }

    fn take_upstream(&self, upstream: Upstream) {
        let service = self.service(&upstream.service);
        let home = lock(&self.homes).insert(upstream.id.clone(), upstream.service.clone());
        if let Some(home) = home
            && home != upstream.service
        {
            self.service(&home).upstreams().remove(&upstream.id);
        }
        let version = upstream.models.first().map(|held| held.version);
        let fields = [
            ("upstream", upstream.id.clone()),
            ("service", upstream.service.clone()),
            ("started", upstream.started.to_string()),
            ("addr", upstream.addr.to_string()),
            ("state", upstream.state.to_string()),
            ("version", version.unwrap_or_default().to_string()),
        ];
        if service.upstreams().update(upstream) {
            let fields: Vec<(&str, &str)> = fields.iter().map(|(k, v)| (*k, v.as_str())).collect();
            events::UPSTREAM_CHANGED.emit(&fields);
        }
    }

    fn remove_upstream(&self, id: &str) {
        let Some(home) = lock(&self.homes).remove(id) else {
            return;
        };
        if self.service(&home).upstreams().remove(id) {
            events::UPSTREAM_CHANGED.emit(&[("upstream", id), ("state", "gone")]);
        }
    }
}

impl Sink for View {
    fn apply(&self, change: Change) {
        match change {
            Change::Config(directory) => self.take_directory(*directory),
            Change::Weights(weights) => self.take_weights(weights),
            Change::Upstream(upstream) => self.take_upstream(*upstream),
            Change::Gone(id) => self.remove_upstream(&id),
            // The follower has told of it. Of the settings the last good belief stays; a record of an
            // upstream names none any more.
            Change::Unreadable { key, .. } => self.remove_upstream(&key),
        }
    }

    fn returned(&self, topic: Topic) {
        if topic == Topic::Settings {
            self.saw_return.store(true, Ordering::Relaxed);
        }
    }

    fn confirmed(&self, topic: Topic, as_of: BootTime) {
        let mut confirmed = lock(&self.confirmed);
        let latest = confirmed.entry(topic).or_insert(as_of);
        *latest = as_of.max(*latest);
    }
}

/// Locks a mutex; what a panicking thread left is still sound, since every change is one step.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
