//! All services of the entry, each with a lock of its own.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError, RwLock};

use wagtailreel_control::{AgentView, AgentViews};
use wagtailreel_core::{DataCentre, Region, ServiceName, StateView, VmEntry};

use crate::metrics::Metrics;
use crate::service::Service;

/// The services by name.
///
/// The map's lock is held only for a look-up; each service has its own lock.
#[derive(Debug)]
pub(crate) struct Services {
    data_centre: DataCentre,
    region: Region,
    metrics: Metrics,
    services: RwLock<BTreeMap<ServiceName, Arc<Service>>>,
    /// The latest reports and VMs, for services that are created later.
    latest: Mutex<LatestInputs>,
}

#[derive(Debug, Default)]
struct LatestInputs {
    agents: AgentViews,
    vms: Vec<VmEntry>,
}

impl Services {
    /// Returns an empty map for an entry of `data_centre`.
    pub(crate) fn new(data_centre: DataCentre, region: Region, metrics: Metrics) -> Self {
        Self {
            data_centre,
            region,
            metrics,
            services: RwLock::default(),
            latest: Mutex::default(),
        }
    }

    /// Returns the service `name`, or `None` if no configuration so far had it.
    pub(crate) fn get(&self, name: &str) -> Option<Arc<Service>> {
        let services = self.services.read().unwrap_or_else(PoisonError::into_inner);
        services.get(name).cloned()
    }

    /// Returns all services.
    pub(crate) fn all(&self) -> Vec<Arc<Service>> {
        let services = self.services.read().unwrap_or_else(PoisonError::into_inner);
        services.values().cloned().collect()
    }

    /// Puts a configuration in force.
    pub(crate) fn apply(&self, view: &StateView) {
        for (name, state) in &view.services {
            let service = self.get_or_create(name);
            service.set_document(state.document.as_deref());
        }
    }

    /// Applies the agents' latest reports.
    pub(crate) fn reports(&self, agents: &AgentViews) {
        self.latest().agents = Arc::clone(agents);
        let mut by_service: BTreeMap<&str, Vec<&AgentView>> = BTreeMap::new();
        for view in agents.values() {
            by_service
                .entry(&view.report.service)
                .or_default()
                .push(view);
        }
        for (name, views) in by_service {
            if let Some(service) = self.get(name) {
                service.reports(&views);
            }
        }
    }

    /// Applies the list of VMs.
    pub(crate) fn list(&self, vms: &[VmEntry]) {
        self.latest().vms = vms.to_vec();
        for service in self.all() {
            service.list(vms);
        }
    }

    fn get_or_create(&self, name: &str) -> Arc<Service> {
        if let Some(service) = self.get(name) {
            return service;
        }
        let mut rng = rand::rng();
        let service = Service::new(
            name,
            &self.data_centre,
            &self.region,
            &self.metrics,
            &mut rng,
        );
        let service = Arc::new(service);
        let mut services = self
            .services
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        services.insert(name.to_owned(), Arc::clone(&service));
        drop(services);
        let latest = self.latest();
        service.list(&latest.vms);
        let views: Vec<&AgentView> = latest
            .agents
            .values()
            .filter(|view| view.report.service == name)
            .collect();
        service.reports(&views);
        service
    }

    fn latest(&self) -> std::sync::MutexGuard<'_, LatestInputs> {
        self.latest.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
