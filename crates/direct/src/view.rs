//! The last known state of the fleet: configuration, upstreams and namings, with the age of each topic.

mod evacuation;
mod naming;
mod restoration;

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
pub(crate) use restoration::RestorationMetrics;
use wagtailreel_route::direct::{
    Admission, LoadReports, Naming, NamingBounds, Namings, PromptCacheConfig, RefusalRate,
    Upstreams,
};

/// Maximum retries that this entry may save up for each service. The users allow all entries together 104
/// retries beyond the share of the requests; 8 entries spend at most 40 of these.
const RETRY_BURST: f64 = 5.0;

/// One service: its upstreams, retry budget, refusal rate, admission level and connections, each under a separate lock.
#[derive(Debug)]
pub(crate) struct Service {
    upstreams: Mutex<Upstreams>,
    budget: Mutex<RetryBudget>,
    refusal_rate: Mutex<RefusalRate>,
    admission: Mutex<Admission>,
    /// Notified when a load report of one of the upstreams comes.
    pub(crate) load_updated: Notify,
    /// Notified when the registry record of one of the upstreams changes.
    pub(crate) registry_changed: Notify,
    pub(crate) pool: Pool,
}

impl Service {
    pub(crate) fn upstreams(&self) -> MutexGuard<'_, Upstreams> {
        lock(&self.upstreams)
    }

    pub(crate) fn refusal_rate(&self) -> MutexGuard<'_, RefusalRate> {
        lock(&self.refusal_rate)
    }

    pub(crate) fn admission(&self) -> MutexGuard<'_, Admission> {
        lock(&self.admission)
    }

    pub(crate) fn budget(&self) -> MutexGuard<'_, RetryBudget> {
        lock(&self.budget)
    }
}

/// Limits from the settings that apply to all services.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Bounds {
    /// How long requests may begin on older weights after newer ones are named.
    pub(crate) weights: NamingBounds,
    /// Retries that each request adds to the budget.
    pub(crate) retry_ratio: f64,
}

/// The last known state of the fleet.
#[derive(Debug)]
pub(crate) struct View {
    data_centre: DataCentre,
    regions: BTreeMap<DataCentre, Region>,
    /// Entries that the settings of all entries name as seeds.
    seeds: Vec<IpAddr>,
    bounds: Bounds,
    prompt_cache: Option<PromptCacheConfig>,
    restoration_metrics: Option<RestorationMetrics>,
    directory: RwLock<Option<Arc<Directory>>>,
    confirmed: Mutex<BTreeMap<Topic, BootTime>>,
    services: RwLock<BTreeMap<ServiceName, Arc<Service>>>,
    homes: Mutex<BTreeMap<UpstreamId, ServiceName>>,
    evacuated: Mutex<BTreeSet<DataCentre>>,
    namings: Mutex<Namings>,
    /// Notified when other processes report newer weights than the registry has named to this entry.
    read_due: Notify,
    started: BootTime,
    /// Whether the registry was unreachable and answered again since the start.
    registry_returned: AtomicBool,
    /// When the last read of the settings was sent that the registry did not answer.
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
            prompt_cache: None,
            restoration_metrics: None,
            directory: RwLock::default(),
            confirmed: Mutex::default(),
            services: RwLock::default(),
            homes: Mutex::default(),
            evacuated: Mutex::default(),
            namings: Mutex::new(Namings::new(bounds.weights)),
            read_due: Notify::new(),
            started: BootTime::now(),
            registry_returned: AtomicBool::new(false),
            unanswered: Mutex::default(),
        }
    }

    /// Sets the entries that the settings name as seeds.
    pub(crate) fn with_seeds(mut self, seeds: Vec<IpAddr>) -> Self {
        self.seeds = seeds;
        self
    }

    /// Sets how long and how much engines retain of prompts.
    pub(crate) fn with_prompt_cache(mut self, cfg: Option<PromptCacheConfig>) -> Self {
        self.prompt_cache = cfg;
        self
    }

    /// Counts restorations of the registry in `metrics`.
    pub(crate) fn with_restoration_metrics(mut self, metrics: RestorationMetrics) -> Self {
        self.restoration_metrics = Some(metrics);
        self
    }

    pub(crate) fn seeds(&self) -> &[IpAddr] {
        &self.seeds
    }

    /// Returns the services whose upstreams are engines, each with the model that it serves.
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

    /// Returns the data centres that have engines.
    pub(crate) fn engine_data_centres(&self) -> BTreeSet<DataCentre> {
        let mut data_centres = BTreeSet::new();
        for (service, _) in self.engine_services() {
            let upstreams = service.upstreams();
            let members = upstreams.members();
            data_centres.extend(members.map(|it| it.upstream.data_centre.clone()));
        }
        data_centres
    }

    /// Returns the load reports of engines in `data_centre` that are no older than `oldest`.
    pub(crate) fn load_reports(
        &self,
        data_centre: &str,
        oldest: Duration,
        now: Instant,
    ) -> LoadReports {
        let mut reports = LoadReports::new();
        for (service, _) in self.engine_services() {
            reports.extend(service.upstreams().load_reports(data_centre, oldest, now));
        }
        reports
    }

    /// Merges load reports that another entry received.
    pub(crate) fn merge_load_reports(&self, reports: &LoadReports) {
        for (service, model) in self.engine_services() {
            let newest = service.upstreams().merge_load_reports(reports);
            service.load_updated.notify_waiters();
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

    /// Returns the time since the registry last confirmed the known state of `topic`. Returns `None` if it
    /// never has.
    pub(crate) fn age(&self, topic: Topic) -> Option<Duration> {
        let as_of = lock(&self.confirmed).get(&topic).copied()?;
        Some(BootTime::now().since(as_of))
    }

    /// Returns a service, and creates it without upstreams if it is new.
    pub(crate) fn service(&self, name: &str) -> Arc<Service> {
        let services = self.services.read();
        if let Some(service) = services.unwrap_or_else(PoisonError::into_inner).get(name) {
            return Arc::clone(service);
        }
        let services = self.services.write();
        let mut services = services.unwrap_or_else(PoisonError::into_inner);
        let service = services.entry(name.to_owned()).or_insert_with(|| {
            let upstreams = Upstreams::new(self.data_centre.clone(), self.regions.clone());
            let mut upstreams = match self.prompt_cache {
                Some(cfg) => upstreams.with_prompt_cache(cfg),
                None => upstreams,
            };
            for data_centre in lock(&self.evacuated).iter() {
                upstreams.set_evacuated(data_centre, true);
            }
            let budget = BudgetConfig {
                ratio: self.bounds.retry_ratio,
                burst: RETRY_BURST,
            };
            Arc::new(Service {
                upstreams: Mutex::new(upstreams),
                budget: Mutex::new(RetryBudget::new(budget)),
                refusal_rate: Mutex::new(RefusalRate::new(Instant::now())),
                admission: Mutex::new(Admission::new(Instant::now())),
                load_updated: Notify::new(),
                registry_changed: Notify::new(),
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

    /// Returns the naming of the newest version of `model`.
    pub(crate) fn newest_weights(&self, model: &str) -> Option<Naming> {
        lock(&self.namings).newest(model)
    }

    /// Returns the time left in which a request may begin on `version` of `model`. Returns `None` if no
    /// newer version is named.
    pub(crate) fn begin_within(&self, model: &str, version: WeightsVersion) -> Option<Duration> {
        lock(&self.namings).begin_within(model, version, BootTime::now())
    }

    fn apply_directory(&self, directory: Directory) {
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

    fn apply_upstream(&self, upstream: Upstream) {
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
        service.registry_changed.notify_waiters();
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
            Change::Config(directory) => self.apply_directory(*directory),
            Change::Weights(weights) => self.apply_weights(&weights),
            Change::Upstream(upstream) => self.apply_upstream(*upstream),
            Change::Gone(id) => self.remove_upstream(&id),
            Change::Evacuation {
                data_centre,
                is_evacuated,
            } => self.apply_evacuation(&data_centre, is_evacuated),
            // The follower has logged the unreadable record.
            Change::UnreadableEvacuation { .. } => {}
            // The follower has logged the unreadable record. The last readable settings stay in force,
            // whereas an upstream without a readable record is removed.
            Change::Unreadable { key, .. } => self.remove_upstream(&key),
        }
    }

    fn returned(&self, topic: Topic, unanswered: Option<BootTime>) {
        if topic == Topic::Settings {
            self.registry_returned.store(true, Ordering::Relaxed);
            let mut known = lock(&self.unanswered);
            *known = unanswered.max(*known);
        }
    }

    fn restored(&self, topic: Topic) {
        if let Some(metrics) = &self.restoration_metrics {
            metrics.count(topic);
        }
    }

    fn settings_kept(&self, count: usize) {
        if let Some(metrics) = &self.restoration_metrics {
            metrics.set_kept(count);
        }
    }

    async fn read_now_requested(&self, topic: Topic) {
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

/// Locks a mutex, also after a thread panicked with it: each change is a single step, so the state stays
/// consistent.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
