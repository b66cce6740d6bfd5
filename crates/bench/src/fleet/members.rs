//! The VMs of a fleet and their addresses.

use std::net::SocketAddr;
use std::path::Path;

use wagtailreel_core::VmId;

use super::Fleet;
use super::spec::{FleetSpec, VmSpec};
use super::vm::Vm;
use crate::error::{Result, UnknownVmSnafu};

impl Fleet {
    /// Returns what the fleet was made from.
    pub fn spec(&self) -> &FleetSpec {
        &self.spec
    }

    /// Returns the folder with the settings and logs.
    pub fn folder(&self) -> &Path {
        self.folder.dir.path()
    }

    /// Returns the names of the entry VMs.
    pub fn entries(&self) -> Vec<VmId> {
        self.names(|vm| vm.upstream.is_none())
    }

    /// Returns the names of the upstream VMs of `service`.
    pub fn upstreams(&self, service: &str) -> Vec<VmId> {
        self.names(|vm| vm.upstream.as_ref().is_some_and(|it| it.service == service))
    }

    /// Returns the names of all VMs for which `wanted` says yes.
    pub fn names<F>(&self, wanted: F) -> Vec<VmId>
    where
        F: Fn(&VmSpec) -> bool,
    {
        let vms = self.vms.values().filter(|vm| wanted(&vm.spec));
        vms.map(|vm| vm.spec.vm.clone()).collect()
    }

    /// Returns the listener of `vm` for requests: callers' at an entry, `/run` at an agent.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such VM.
    pub fn data_addr(&self, vm: &str) -> Result<SocketAddr> {
        Ok(self.vm(vm)?.listen.data())
    }

    /// Returns the listener of `vm` with `/metrics` and `/healthz`: the administration listener
    /// at an entry.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such VM.
    pub fn health_addr(&self, vm: &str) -> Result<SocketAddr> {
        Ok(self.vm(vm)?.listen.health())
    }

    /// Returns the control listener of `vm`.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such VM.
    pub fn control_addr(&self, vm: &str) -> Result<SocketAddr> {
        Ok(self.vm(vm)?.listen.control())
    }

    pub(super) fn vm(&self, vm: &str) -> Result<&Vm> {
        self.vms.get(vm).ok_or_else(|| {
            let known: Vec<&str> = self.vms.keys().map(String::as_str).collect();
            let known = known.join(", ");
            UnknownVmSnafu { vm, known }.build()
        })
    }
}
