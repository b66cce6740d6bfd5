//! Starting a fleet.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::Serialize;
use snafu::ResultExt;
use wagtailreel_core::{DataCentre, VmEntry, VmId};

use super::settings::{AgentFile, EntryFile, PlatformUrls};
use super::spec::{FleetSpec, VmSpec};
use super::standins::{Links, Standins};
use super::vm::{Listen, Vm};
use super::{Fleet, FleetBinaries, Folder};
use crate::error::{IoSnafu, ParseSnafu, Result};
use crate::http_client::HttpClient;
use crate::ports::Ports;

/// Time within which a process has to be healthy after its start.
const START_BOUND: Duration = Duration::from_secs(30);

/// What a process's settings are written from.
struct Plan<'a> {
    spec: &'a FleetSpec,
    binaries: &'a FleetBinaries,
    folder: &'a Path,
    listens: BTreeMap<VmId, Listen>,
    urls: BTreeMap<DataCentre, PlatformUrls>,
    /// Control addresses of the entries of each data centre.
    entries: BTreeMap<DataCentre, Vec<SocketAddr>>,
}

impl Fleet {
    /// Starts the stand-ins and all processes, and waits until each process is healthy
    /// and each entry ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a port, file or process can't be had, or if a process ends or is not
    /// healthy within 30 s; the error carries the end of its log.
    pub async fn start(spec: FleetSpec, binaries: FleetBinaries) -> Result<Self> {
        let folder = tempfile::Builder::new()
            .prefix("wagtailreel-fleet-")
            .tempdir()
            .context(IoSnafu {
                what: "make a temporary folder",
            })?;
        let standins = Standins::start(&spec)?;
        let mut ports = Ports::new();
        let mut links = Links::default();
        let vms = {
            let plan = Plan::new(
                &spec,
                &binaries,
                folder.path(),
                &standins,
                &mut ports,
                &mut links,
            );
            let plan = plan.await?;
            plan.fill_lists(&standins, &mut links).await?;
            plan.write_vms(&standins)?
        };
        let fleet = Self {
            standins,
            client: HttpClient::new(),
            spec,
            links,
            vms,
            _ports: ports,
            folder: Folder { dir: folder },
        };
        for vm in fleet.vms.values() {
            vm.start(&fleet.spec.log_level).await?;
        }
        for vm in fleet.vms.keys() {
            fleet.wait_healthy(vm, START_BOUND).await?;
        }
        for entry in fleet.entries() {
            fleet.wait_ready(&entry, START_BOUND).await?;
        }
        Ok(fleet)
    }
}

impl<'a> Plan<'a> {
    async fn new(
        spec: &'a FleetSpec,
        binaries: &'a FleetBinaries,
        folder: &'a Path,
        standins: &Standins,
        ports: &mut Ports,
        links: &mut Links,
    ) -> Result<Self> {
        let mut plan = Self {
            spec,
            binaries,
            folder,
            listens: BTreeMap::new(),
            urls: BTreeMap::new(),
            entries: BTreeMap::new(),
        };
        for vm in spec.vms() {
            let listen = Listen::hold(&vm, ports)?;
            if let Listen::Entry(it) = &listen {
                let entries = plan.entries.entry(vm.data_centre.clone());
                entries.or_default().push(it.control);
            }
            plan.listens.insert(vm.vm, listen);
        }
        for data_centre in &spec.data_centres {
            let urls = links.platform(spec, standins, &data_centre.name).await?;
            plan.urls.insert(data_centre.name.clone(), urls);
        }
        Ok(plan)
    }

    /// Fills each data centre's list of VMs with the addresses that it sees.
    async fn fill_lists(&self, standins: &Standins, links: &mut Links) -> Result<()> {
        let vms = self.spec.vms();
        let entries = vms.iter().map(|vm| self.listens[&vm.vm].list_entry(vm));
        let entries: Vec<VmEntry> = entries.collect();
        for (data_centre, list) in &standins.vm_lists {
            list.set(links.list(self.spec, data_centre, &entries).await?);
        }
        Ok(())
    }

    /// Writes every process's settings.
    fn write_vms(&self, standins: &Standins) -> Result<BTreeMap<VmId, Vm>> {
        let vms = self.spec.vms().into_iter();
        let vms = vms.map(|vm| Ok((vm.vm.clone(), self.write_vm(standins, vm)?)));
        vms.collect()
    }

    fn write_vm(&self, standins: &Standins, vm: VmSpec) -> Result<Vm> {
        let listen = self.listens[&vm.vm];
        let settings = self.folder.join(format!("{}.yaml", vm.vm));
        let urls = &self.urls[&vm.data_centre];
        let own = listen.control();
        let entries = self.entries.get(&vm.data_centre).into_iter().flatten();
        let seeds: Vec<SocketAddr> = entries.copied().filter(|it| *it != own).collect();
        let file = settings.display().to_string();
        let (binary, args) = match (&listen, &vm.upstream) {
            (Listen::Agent(listen), Some(upstream)) => {
                let addr = standins.upstream(&vm.vm).unwrap_or(super::standins::ANY);
                let url = format!("http://{addr}");
                let values = AgentFile::new(self.spec, &vm, upstream, *listen, urls, &seeds, url);
                write_yaml(&settings, &values)?;
                (&self.binaries.agent, vec!["--settings".to_owned(), file])
            }
            (Listen::Entry(listen), _) => {
                let values = EntryFile::new(self.spec, &vm, *listen, urls, &seeds);
                write_yaml(&settings, &values)?;
                let args = ["entry", "--settings", &file].map(str::to_owned);
                (&self.binaries.wagtailreel, args.to_vec())
            }
            (Listen::Agent(_), None) => unreachable!("only upstream VMs have an agent"),
        };
        let log = self.folder.join(format!("{}.log", vm.vm));
        Ok(Vm::new(vm, listen, binary, args, log))
    }
}

fn write_yaml<T>(path: &Path, values: &T) -> Result<()>
where
    T: Serialize,
{
    let text = serde_saphyr::to_string(values).map_err(|source| {
        ParseSnafu {
            what: path.display().to_string(),
            detail: source.to_string(),
        }
        .build()
    })?;
    std::fs::write(path, text).context(IoSnafu {
        what: format!("write {}", path.display()),
    })
}
