//! The outside systems of a fleet and the links to them.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

use wagtailreel_core::{DataCentre, VmEntry, VmId};
use wagtailreel_standins::{
    EngineStandin, LogConfig, LogStandin, OriginConfig, OriginStandin, PlainStandin, StartError,
    VmChange, VmListConfig, VmListStandin,
};

use super::relay::{LinkState, Relay};
use super::settings::PlatformUrls;
use super::spec::{FleetSpec, Upstream, VmSpec};
use crate::error::{BrokenSnafu, Result};

/// The stand-ins of a fleet, whose faults a test switches directly.
#[derive(Debug)]
pub struct Standins {
    /// The platform's log.
    pub log: LogStandin,
    /// The origin of weights.
    pub origin: OriginStandin,
    /// The list of VMs as each data centre sees it. Without relays all see the same addresses,
    /// but each has a list of its own all the same, so that one alone can lag.
    pub vm_lists: BTreeMap<DataCentre, VmListStandin>,
    /// The engines by VM.
    pub engines: BTreeMap<VmId, EngineStandin>,
    /// The plain services by VM.
    pub plains: BTreeMap<VmId, PlainStandin>,
}

/// Any free port on the loopback address.
pub(crate) const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

impl Standins {
    /// Starts all stand-ins; the lists of VMs are empty.
    pub(super) fn start(spec: &FleetSpec) -> Result<Self> {
        let log = started(LogStandin::start(LogConfig::default(), ANY))?;
        let origin = OriginConfig {
            models: spec.models.clone(),
            rate: spec.origin_rate,
            ..OriginConfig::default()
        };
        let origin = started(OriginStandin::start(origin, ANY))?;
        let mut standins = Self {
            log,
            origin,
            vm_lists: BTreeMap::new(),
            engines: BTreeMap::new(),
            plains: BTreeMap::new(),
        };
        for data_centre in &spec.data_centres {
            let list = started(VmListStandin::start(VmListConfig::default(), ANY))?;
            standins.vm_lists.insert(data_centre.name.clone(), list);
        }
        for vm in spec.vms() {
            standins.start_upstream(&vm)?;
        }
        Ok(standins)
    }

    fn start_upstream(&mut self, vm: &VmSpec) -> Result<()> {
        let Some(upstream) = &vm.upstream else {
            return Ok(());
        };
        match &upstream.upstream {
            Upstream::Engine(cfg) => {
                let engine = started(EngineStandin::start(cfg.clone(), ANY))?;
                self.engines.insert(vm.vm.clone(), engine);
            }
            Upstream::Plain(cfg) => {
                let plain = started(PlainStandin::start(cfg.clone(), ANY))?;
                self.plains.insert(vm.vm.clone(), plain);
            }
        }
        Ok(())
    }

    /// Returns the address of the upstream of `vm`.
    pub(super) fn upstream(&self, vm: &str) -> Option<SocketAddr> {
        let engine = self.engines.get(vm).map(EngineStandin::addr);
        engine.or_else(|| self.plains.get(vm).map(PlainStandin::addr))
    }

    /// Changes every data centre's list of VMs. The change must name VMs only: their addresses
    /// differ from list to list.
    pub fn change_vms(&self, change: &VmChange) {
        for list in self.vm_lists.values() {
            list.change(change.clone());
        }
    }
}

pub(crate) fn started<T>(result: Result<T, StartError>) -> Result<T> {
    result.map_err(|source| {
        let what = source.to_string();
        BrokenSnafu { what }.build()
    })
}

/// One side of a link.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Site {
    /// The log, the list of VMs and the origin.
    Platform,
    /// The processes of a data centre.
    DataCentre(DataCentre),
}

/// The links between data centres and to the platform; without relays there is nothing to cut.
#[derive(Debug, Default)]
pub(super) struct Links {
    relays: Vec<(DataCentre, Site, Relay)>,
    /// Control connections within a data centre, whose bytes are counted.
    control: Vec<Relay>,
}

impl Links {
    /// Returns the address under which `from` reaches `target`, which lies at `to`.
    pub(super) async fn via(
        &mut self,
        spec: &FleetSpec,
        from: &str,
        to: Site,
        target: SocketAddr,
    ) -> Result<SocketAddr> {
        if !spec.cuttable || to == Site::DataCentre(from.to_owned()) {
            return Ok(target);
        }
        let relay = Relay::start(target).await?;
        let addr = relay.addr();
        self.relays.push((from.to_owned(), to, relay));
        Ok(addr)
    }

    /// Returns the addresses of the platform as `from` reaches them.
    pub(super) async fn platform(
        &mut self,
        spec: &FleetSpec,
        standins: &Standins,
        from: &str,
    ) -> Result<PlatformUrls> {
        let vms = standins.vm_lists[from].addr();
        let mut urls = Vec::new();
        for target in [standins.log.addr(), vms, standins.origin.addr()] {
            let addr = self.via(spec, from, Site::Platform, target).await?;
            urls.push(format!("http://{addr}"));
        }
        let [log, vms, origin] = [urls[0].clone(), urls[1].clone(), urls[2].clone()];
        Ok(PlatformUrls { log, vms, origin })
    }

    /// Returns the list of VMs with the addresses under which `from` reaches them.
    pub(super) async fn list(
        &mut self,
        spec: &FleetSpec,
        from: &str,
        vms: &[VmEntry],
    ) -> Result<Vec<VmEntry>> {
        let mut seen = vms.to_vec();
        for vm in &mut seen {
            let to = Site::DataCentre(vm.data_centre.clone());
            if spec.counted_control && vm.data_centre == from {
                let relay = Relay::start(vm.control).await?;
                vm.control = relay.addr();
                self.control.push(relay);
            }
            vm.control = self.via(spec, from, to.clone(), vm.control).await?;
            vm.data = self.via(spec, from, to, vm.data).await?;
        }
        Ok(seen)
    }

    /// Returns how many bytes have passed over control connections within data centres.
    pub(super) fn control_bytes(&self) -> u64 {
        self.control.iter().map(Relay::bytes).sum()
    }

    /// Changes every link for which `concerns` says yes; it is given both sides.
    pub(super) fn set<F>(&self, state: LinkState, concerns: F)
    where
        F: Fn(&str, &Site) -> bool,
    {
        for (from, to, relay) in &self.relays {
            if concerns(from, to) {
                relay.set(state);
            }
        }
    }
}
