//! The process of one VM.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use tokio::sync::Mutex;
use wagtailreel_core::{VmEntry, VmRole, VmState};

use super::settings::{AgentListen, EntryListen};
use super::spec::VmSpec;
use crate::error::Result;
use crate::ports::Ports;
use crate::process::Process;

/// Addresses of a VM's process.
#[derive(Clone, Copy, Debug)]
pub(super) enum Listen {
    Entry(EntryListen),
    Agent(AgentListen),
}

impl Listen {
    /// Holds free ports for the process of `vm`.
    pub(super) fn hold(vm: &VmSpec, ports: &mut Ports) -> Result<Self> {
        if vm.upstream.is_some() {
            return Ok(Self::Agent(AgentListen {
                data: ports.hold()?,
                control: ports.hold()?,
            }));
        }
        Ok(Self::Entry(EntryListen {
            callers: ports.hold()?,
            admin: ports.hold()?,
            control: ports.hold()?,
        }))
    }

    pub(super) fn control(&self) -> SocketAddr {
        match self {
            Self::Entry(it) => it.control,
            Self::Agent(it) => it.control,
        }
    }

    /// Returns the listener for requests, and for chunks at an agent.
    pub(super) fn data(&self) -> SocketAddr {
        match self {
            Self::Entry(it) => it.callers,
            Self::Agent(it) => it.data,
        }
    }

    /// Returns the listener with `/metrics` and `/healthz`.
    pub(super) fn health(&self) -> SocketAddr {
        match self {
            Self::Entry(it) => it.admin,
            Self::Agent(it) => it.data,
        }
    }

    /// Returns the VM's entry in the platform's list.
    pub(super) fn list_entry(&self, vm: &VmSpec) -> VmEntry {
        let upstream = vm.upstream.as_ref();
        VmEntry {
            vm: vm.vm.clone(),
            data_centre: vm.data_centre.clone(),
            region: vm.region.clone(),
            role: match upstream {
                Some(_) => VmRole::Upstream,
                None => VmRole::Entry,
            },
            state: VmState::Live,
            service: upstream.map(|it| it.service.clone()),
            control: self.control(),
            data: self.data(),
        }
    }
}

/// A VM of a running fleet.
#[derive(Debug)]
pub(super) struct Vm {
    pub(super) spec: VmSpec,
    pub(super) listen: Listen,
    binary: PathBuf,
    args: Vec<String>,
    log: PathBuf,
    /// None before the first start.
    pub(super) process: Mutex<Option<Process>>,
}

impl Vm {
    pub(super) fn new(
        spec: VmSpec,
        listen: Listen,
        binary: &Path,
        args: Vec<String>,
        log: PathBuf,
    ) -> Self {
        Self {
            spec,
            listen,
            binary: binary.to_owned(),
            args,
            log,
            process: Mutex::new(None),
        }
    }

    /// Starts the process; one that still runs is killed first.
    pub(super) async fn start(&self, log_level: &str) -> Result<()> {
        let mut slot = self.process.lock().await;
        if let Some(process) = slot.as_mut() {
            process.kill().await?;
        }
        let args: Vec<&str> = self.args.iter().map(String::as_str).collect();
        let process = Process::spawn(&self.spec.vm, &self.binary, &args, log_level, &self.log)?;
        *slot = Some(process);
        Ok(())
    }

    /// Returns all that the process logged, over all its starts.
    pub(super) fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}
