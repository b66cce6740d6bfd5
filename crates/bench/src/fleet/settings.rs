//! The settings files that a fleet writes for its processes: the keys of `docs/settings.md`.
//!
//! They are written from types of their own, not from the products', so that a change of the
//! products' keys shows in the tests.

use std::net::SocketAddr;

use serde::Serialize;
use wagtailreel_core::{CustomerId, DataCentre, Digest, Region, ServiceKind, ServiceName, VmId};

use super::spec::{FleetSpec, Upstream, UpstreamSpec, VmSpec};

/// Addresses of the outside systems as one data centre's processes reach them.
#[derive(Clone, Debug)]
pub(crate) struct PlatformUrls {
    pub(crate) log: String,
    pub(crate) vms: String,
    pub(crate) origin: String,
}

#[derive(Debug, Serialize)]
pub(crate) struct EntryFile {
    vm: VmId,
    data_centre: DataCentre,
    region: Region,
    listen: EntryListen,
    platform: EntryPlatform,
    seeds: Vec<SocketAddr>,
    lease_ms: u64,
    body_limit: u64,
    teams: Vec<TeamFile>,
    customers: Vec<CustomerFile>,
    orders: OrdersFile,
    config: ConfigFile,
}

/// Addresses of an entry's listeners.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct EntryListen {
    pub(crate) callers: SocketAddr,
    pub(crate) admin: SocketAddr,
    pub(crate) control: SocketAddr,
}

#[derive(Debug, Serialize)]
struct EntryPlatform {
    log: String,
    vms: String,
}

#[derive(Debug, Serialize)]
struct TeamFile {
    name: String,
    token_hash: Digest,
    services: Vec<ServiceName>,
}

#[derive(Debug, Serialize)]
struct CustomerFile {
    name: CustomerId,
    key_hash: Digest,
}

#[derive(Debug, Serialize)]
struct OrdersFile {
    window_s: u64,
}

#[derive(Debug, Serialize)]
struct ConfigFile {
    snapshot_every: u64,
}

impl EntryFile {
    pub(crate) fn new(
        spec: &FleetSpec,
        vm: &VmSpec,
        listen: EntryListen,
        urls: &PlatformUrls,
        seeds: &[SocketAddr],
    ) -> Self {
        let teams = spec.teams.iter().map(|team| TeamFile {
            name: team.name.clone(),
            token_hash: Digest::of(team.token.as_bytes()),
            services: team.services.clone(),
        });
        let customers = spec.customers.iter().map(|customer| CustomerFile {
            name: customer.name.clone(),
            key_hash: Digest::of(customer.key.as_bytes()),
        });
        Self {
            vm: vm.vm.clone(),
            data_centre: vm.data_centre.clone(),
            region: vm.region.clone(),
            listen,
            platform: EntryPlatform {
                log: urls.log.clone(),
                vms: urls.vms.clone(),
            },
            seeds: seeds.to_vec(),
            lease_ms: millis(spec.lease),
            body_limit: spec.body_limit,
            teams: teams.collect(),
            customers: customers.collect(),
            orders: OrdersFile {
                window_s: spec.orders_window.as_secs(),
            },
            config: ConfigFile {
                snapshot_every: spec.snapshot_every,
            },
        }
    }
}

#[derive(Debug, Serialize)]
pub(crate) struct AgentFile {
    vm: VmId,
    data_centre: DataCentre,
    region: Region,
    service: ServiceName,
    listen: AgentListen,
    platform: AgentPlatform,
    seeds: Vec<SocketAddr>,
    upstream: UpstreamFile,
    weights: WeightsFile,
    report_ms: u64,
}

/// Addresses of an agent's listeners.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct AgentListen {
    pub(crate) data: SocketAddr,
    pub(crate) control: SocketAddr,
}

#[derive(Debug, Serialize)]
struct AgentPlatform {
    vms: String,
    origin: String,
}

#[derive(Debug, Serialize)]
struct UpstreamFile {
    kind: ServiceKind,
    url: String,
    checks_fencing: bool,
    capacity: u32,
    bundles: usize,
}

#[derive(Debug, Serialize)]
struct WeightsFile {
    memory: u64,
    ingress: u64,
    egress: u64,
}

impl AgentFile {
    pub(crate) fn new(
        spec: &FleetSpec,
        vm: &VmSpec,
        upstream: &UpstreamSpec,
        listen: AgentListen,
        urls: &PlatformUrls,
        seeds: &[SocketAddr],
        upstream_url: String,
    ) -> Self {
        Self {
            vm: vm.vm.clone(),
            data_centre: vm.data_centre.clone(),
            region: vm.region.clone(),
            service: upstream.service.clone(),
            listen,
            platform: AgentPlatform {
                vms: urls.vms.clone(),
                origin: urls.origin.clone(),
            },
            seeds: seeds.to_vec(),
            upstream: UpstreamFile {
                kind: match upstream.upstream {
                    Upstream::Engine(_) => ServiceKind::Engine,
                    Upstream::Plain(_) => ServiceKind::Plain,
                },
                url: upstream_url,
                checks_fencing: upstream.engine_config().is_some_and(|it| it.fencing),
                capacity: upstream.capacity,
                bundles: upstream.engine_config().map_or(1, |it| it.bundles),
            },
            weights: WeightsFile {
                memory: upstream.memory,
                ingress: upstream.ingress,
                egress: upstream.egress,
            },
            report_ms: millis(spec.report),
        }
    }
}

/// Returns a time in whole milliseconds.
pub(crate) fn millis(time: std::time::Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
