//! What the entry believes of its fleet, each belief with its age.

mod naming;

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::{Duration, Instant};

use tokio::sync::Notify;
use wagtailreel_core::{DataCentre, Region, ServiceName};
use wagtailreel_fleet::{
    BootTime, Change, Directory, ModelName, Sink, Topic, Upstream, UpstreamId, WeightsVersion,
};
use wagtailreel_route::{BudgetConfig, RetryBudget};

use crate::events;
use crate::pool::Pool;
use wagtailreel_route::direct::{
    LoadReports, Naming, NamingBounds, Namings, RefusalRate, Upstreams,
};

/// Retries that this entry may save up for each service. The budget is one for all entries; with
/// 8 entries they spend 40 of the 104 that the users allow beyond the share of the requests.
const RETRY_BURST: f64 = 5.0;

/// One service: its upstreams, its retries and its connections, each under a lock of its own.
#[derive(Debug)]
pub(crate) struct Service {
    upstreams: Mutex<Upstreams>,
    budget: Mutex<RetryBudget>,
    refusal_rate: Mutex<RefusalRate>,
    /// An agent told of one of the upstreams.
    pub(crate) heard: Notify,
    /// The registry told of one of the upstreams.
    pub(crate) changed: Notify,
    pub(crate) pool: Pool,
}

impl Service {
    pub(crate) fn upstreams(&self) -> MutexGuard<'_, Upstreams> {
        lock(&self.upstreams)
    }

    pub(crate) fn refusal_rate(&self) -> MutexGuard<'_, RefusalRate> {
        lock(&self.refusal_rate)
    }

    pub(crate) fn budget(&self) -> MutexGuard<'_, RetryBudget> {
        lock(&self.budget)
    }
}

/// Bounds of what the entry believes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Bounds {
    /// How long older weights may still be used.
    pub(crate) weights: NamingBounds,
    /// Retries for each request.
    pub(crate) retry_ratio: f64,
}

/// What the entry believes of its fleet.
#[derive(Debug)]
pub(crate) struct View {
    data_centre: DataCentre,
    regions: BTreeMap<DataCentre, Region>,
    /// Entries that the settings of all entries name.
    seeds: Vec<IpAddr>,
    bounds: Bounds,
    directory: RwLock<Option<Arc<Directory>>>,
    confirmed: Mutex<BTreeMap<Topic, BootTime>>,
    services: RwLock<BTreeMap<ServiceName, Arc<Service>>>,
    homes: Mutex<BTreeMap<UpstreamId, ServiceName>>,
    namings: Mutex<Namings>,
    /// Others know of newer weights than were read.
    read_due: Notify,
    started: BootTime,
    /// The registry was away and came back since the start.
    saw_return: AtomicBool,
    /// When the last call for the settings that the registry did not answer was sent.
    unanswered: Mutex<Option<BootTime>>,
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
            seeds: Vec::new(),
            bounds,
            directory: RwLock::default(),
            confirmed: Mutex::default(),
            services: RwLock::default(),
            homes: Mutex::default(),
            namings: Mutex::new(Namings::new(bounds.weights)),
            read_due: Notify::new(),
            started: BootTime::now(),
            saw_return: AtomicBool::new(false),
            unanswered: Mutex::default(),
        }
    }

    /// Names entries that all entries know.
    pub(crate) fn with_seeds(mut self, seeds: Vec<IpAddr>) -> Self {
        self.seeds = seeds;
        self
    }

    pub(crate) fn seeds(&self) -> &[IpAddr] {
        &self.seeds
    }

    /// Returns the services whose upstreams are engines, each with its model.
    pub(crate) fn engine_services(&self) -> Vec<(Arc<Service>, ModelName)> {
        let Some(directory) = self.directory() else {
            return Vec::new();
        };
        let engines = directory.services().filter_map(|spec| {
            let engine = spec.engine.as_ref()?;
            Some((self.service(&spec.name), engine.model.clone()))
        });
        engines.collect()
    }

    /// Returns the data centres in which engines stand.
    pub(crate) fn engine_data_centres(&self) -> BTreeSet<DataCentre> {
        let mut data_centres = BTreeSet::new();
        for (service, _) in self.engine_services() {
            let upstreams = service.upstreams();
            let members = upstreams.members();
            data_centres.extend(members.map(|it| it.upstream.data_centre.clone()));
        }
        data_centres
    }

    /// Returns the words on engines in `data_centre` that are no older than `oldest`.
    pub(crate) fn load_reports(
        &self,
        data_centre: &str,
        oldest: Duration,
        now: Instant,
    ) -> LoadReports {
        let mut load_reports = LoadReports::new();
        for (service, _) in self.engine_services() {
            load_reports.extend(service.upstreams().load_reports(data_centre, oldest, now));
        }
        load_reports
    }

    /// Takes what another entry heard of engines.
    pub(crate) fn merge_load_reports(&self, load_reports: &LoadReports) {
        for (service, model) in self.engine_services() {
            let newest = service.upstreams().merge_load_reports(load_reports);
            service.heard.notify_waiters();
            if let Some(version) = newest {
                self.record_held(&model, version);
            }
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
                refusal_rate: Mutex::new(RefusalRate::new(Instant::now())),
                heard: Notify::new(),
                changed: Notify::new(),
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
        lock(&self.namings).least_version(model, BootTime::now())
    }

    /// Returns the newest weights of `model` that are named.
    pub(crate) fn newest_weights(&self, model: &str) -> Option<Naming> {
        lock(&self.namings).newest(model)
    }

    /// Returns how much longer a request may wait to begin on `version` of `model`; none if nothing
    /// newer is named.
    pub(crate) fn begin_within(&self, model: &str, version: WeightsVersion) -> Option<Duration> {
        lock(&self.namings).begin_within(model, version, BootTime::now())
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
        let is_changed = service.upstreams().update(upstream);
        service.changed.notify_waiters();
        if is_changed {
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
            Change::Weights(weights) => self.take_weights(&weights),
            Change::Upstream(upstream) => self.take_upstream(*upstream),
            Change::Gone(id) => self.remove_upstream(&id),
            // The follower has told of it. Of the settings the last good belief stays; a record of an
            // upstream names none any more.
            Change::Unreadable { key, .. } => self.remove_upstream(&key),
        }
    }

    fn returned(&self, topic: Topic, unanswered: Option<BootTime>) {
        if topic == Topic::Settings {
            self.saw_return.store(true, Ordering::Relaxed);
            let mut known = lock(&self.unanswered);
            *known = unanswered.max(*known);
        }
    }

    async fn wake(&self, topic: Topic) {
        match topic {
            Topic::Settings => self.read_due.notified().await,
            Topic::Upstreams => std::future::pending().await,
        }
    }

    fn confirmed(&self, topic: Topic, as_of: BootTime) {
        let mut confirmed = lock(&self.confirmed);
        let latest = confirmed.entry(topic).or_insert(as_of);
        *latest = as_of.max(*latest);
    }
}

/// Locks a mutex; what a panicking thread left is still sound, since every change is one step.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
