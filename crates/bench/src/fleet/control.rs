//! What a test or experiment does with a running fleet.

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitStatus;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use serde_json::Value;
use wagtailreel_core::{Bundle, Digest, Document, ModelRef, Offset, Report, VmId};
use wagtailreel_standins::VmChange;

use super::Fleet;
use super::admin::{Operator, Submission};
use super::relay::LinkState;
use super::spec::{FleetSpec, VmSpec};
use super::standins::Site;
use super::vm::{Listen, Vm};
use crate::answer::{Answer, AnswerStream, Ask, ask_whole, set};
use crate::error::{MissingSnafu, ParseSnafu, Result, UnknownVmSnafu};
use crate::http_client::{Fetched, request, url_of};
use crate::process::Process;
use crate::wait::{Look, wait_for};

/// Time within which a killed process is reaped and a restarted one healthy.
const RESTART_BOUND: Duration = Duration::from_secs(30);

impl Fleet {
    /// Returns what the fleet was made from.
    pub fn spec(&self) -> &FleetSpec {
        &self.spec
    }

    /// Returns the folder with the settings and logs.
    pub fn folder(&self) -> &Path {
        self.folder.path()
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

    /// Returns the process id of `vm` while it runs.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such VM.
    pub async fn pid(&self, vm: &str) -> Result<Option<u32>> {
        let slot = self.vm(vm)?.process.lock().await;
        Ok(slot.as_ref().and_then(Process::pid))
    }

    /// Returns all that the process of `vm` logged.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such VM.
    pub fn log_text(&self, vm: &str) -> Result<String> {
        Ok(self.vm(vm)?.log_text())
    }

    /// Kills the process of `vm` with SIGKILL.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such VM or the signal can't be sent.
    pub async fn kill(&self, vm: &str) -> Result<()> {
        match self.vm(vm)?.process.lock().await.as_mut() {
            Some(process) => process.kill().await,
            None => Ok(()),
        }
    }

    /// Stops the process of `vm` with SIGSTOP until [`Fleet::thaw`].
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such VM or the signal can't be sent.
    pub async fn freeze(&self, vm: &str) -> Result<()> {
        match self.vm(vm)?.process.lock().await.as_ref() {
            Some(process) => process.freeze(),
            None => Ok(()),
        }
    }

    /// Continues a frozen process.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such VM or the signal can't be sent.
    pub async fn thaw(&self, vm: &str) -> Result<()> {
        match self.vm(vm)?.process.lock().await.as_ref() {
            Some(process) => process.thaw(),
            None => Ok(()),
        }
    }

    /// Asks the process of `vm` to shut down with SIGTERM, without waiting for it.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such VM or the signal can't be sent.
    pub async fn terminate(&self, vm: &str) -> Result<()> {
        match self.vm(vm)?.process.lock().await.as_ref() {
            Some(process) => process.terminate(),
            None => Ok(()),
        }
    }

    /// Waits until the process of `vm` has ended.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such VM or it still runs after `bound`.
    pub async fn wait_exit(&self, vm: &str, bound: Duration) -> Result<ExitStatus> {
        let mut slot = self.vm(vm)?.process.lock().await;
        let Some(process) = slot.as_mut() else {
            let what = format!("process of {vm}");
            return MissingSnafu { what }.fail();
        };
        process.wait(bound).await
    }

    /// Starts the process of `vm` anew with the same settings, and waits until it is healthy. One
    /// that still runs is killed first.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such VM or it does not become healthy.
    pub async fn restart(&self, vm: &str) -> Result<()> {
        self.vm(vm)?.start(&self.spec.log_level).await?;
        self.wait_healthy(vm, RESTART_BOUND).await
    }

    /// Waits until the process of `vm` answers `/healthz`.
    ///
    /// # Errors
    ///
    /// Returns an error if it ends or is not healthy within `bound`.
    pub async fn wait_healthy(&self, vm: &str, bound: Duration) -> Result<()> {
        let url = url_of(self.health_addr(vm)?, "/healthz");
        wait_for(&format!("{vm} to be healthy"), bound, || async {
            if let Err(error) = self.check_running(vm).await {
                return Look::Found(Err(error));
            }
            match self.client.get(&url).await {
                Ok(_) => Look::Found(Ok(())),
                Err(error) => Look::NotYet(error.to_string()),
            }
        })
        .await?
    }

    /// Checks that the process of `vm` runs.
    ///
    /// # Errors
    ///
    /// Returns an error with the end of its log if not.
    pub async fn check_running(&self, vm: &str) -> Result<()> {
        match self.vm(vm)?.process.lock().await.as_mut() {
            Some(process) => process.check_running(),
            None => Ok(()),
        }
    }

    /// Returns an operator of `team` at the entry `vm`.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such entry or team.
    pub fn operator(&self, vm: &str, team: &str) -> Result<Operator> {
        let admin = self.health_addr(vm)?;
        let found = self.spec.teams.iter().find(|it| it.name == team);
        let Some(team) = found else {
            let what = format!("team `{team}`");
            return MissingSnafu { what }.fail();
        };
        Ok(Operator::new(self.client.clone(), admin, &team.token))
    }

    /// Returns an operator of the team that owns `service` at the first entry that runs.
    ///
    /// # Errors
    ///
    /// Returns an error if no team owns it or no entry runs.
    pub async fn owner(&self, service: &str) -> Result<Operator> {
        let owns = |it: &&super::TeamSpec| it.services.iter().any(|name| name == service);
        let Some(team) = self.spec.teams.iter().find(owns) else {
            let what = format!("team that owns `{service}`");
            return MissingSnafu { what }.fail();
        };
        for vm in self.entries() {
            if self.check_running(&vm).await.is_ok() {
                return self.operator(&vm, &team.name);
            }
        }
        MissingSnafu {
            what: "entry that runs",
        }
        .fail()
    }

    /// Submits a document as the service's owner at the first entry that runs.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer comes or it can't be read.
    pub async fn submit(&self, service: &str, yaml: &str, base: Offset) -> Result<Submission> {
        let edit = format!("edit-{:016x}", rand::random::<u64>());
        let owner = self.owner(service).await?;
        owner.submit(service, yaml, base, &edit).await
    }

    /// Returns how the service's rollout stands at the first entry that runs.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer comes or it can't be read.
    pub async fn rollout(&self, service: &str) -> Result<Value> {
        self.owner(service).await?.rollout(service).await
    }

    /// Returns an ordinary request of the customer at position `customer`.
    ///
    /// # Panics
    ///
    /// Panics if the specification has no such customer.
    pub fn ask_of(&self, customer: usize, service: &str, prompt: &str, max_tokens: u32) -> Ask {
        let customer = &self.spec.customers[customer];
        let mut ask = Ask::new(service, &customer.key, prompt, max_tokens);
        ask.customer.clone_from(&customer.name);
        ask
    }

    /// Asks at the entry `vm` and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such entry; a failed request is an ending, not an error.
    pub async fn ask(&self, vm: &str, ask: &Ask) -> Result<Answer> {
        ask_whole(&self.client, self.data_addr(vm)?, ask).await
    }

    /// Asks at the entry `vm` and returns the stream of the answer.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such entry; a failed request is an ending, not an error.
    pub async fn open(&self, vm: &str, ask: &Ask) -> Result<AnswerStream> {
        AnswerStream::open(&self.client, self.data_addr(vm)?, ask).await
    }

    /// Calls a plain service through the entry `vm`; `headers` are sent as they are.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such entry or no whole answer comes.
    pub async fn call(
        &self,
        vm: &str,
        service: &str,
        path: &str,
        headers: &[(&'static str, &str)],
        body: &str,
    ) -> Result<Fetched> {
        let url = url_of(
            self.data_addr(vm)?,
            &format!("/v1/services/{service}/call/{path}"),
        );
        let mut req = request(Method::POST, &url, Bytes::copy_from_slice(body.as_bytes()))?;
        let key = self
            .spec
            .customers
            .first()
            .map(|it| format!("Bearer {}", it.key));
        set(req.headers_mut(), "authorization", key);
        for (name, value) in headers {
            set(req.headers_mut(), name, Some((*value).to_owned()));
        }
        self.client.fetch(req).await
    }

    /// Returns the metrics of `vm` in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such VM or it does not answer.
    pub async fn metrics(&self, vm: &str) -> Result<String> {
        let url = url_of(self.health_addr(vm)?, "/metrics");
        Ok(self.client.get(&url).await?.text())
    }

    /// Returns what the agent of `vm` says of itself.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such agent or it does not answer.
    pub async fn status(&self, vm: &str) -> Result<Report> {
        let url = url_of(self.health_addr(vm)?, "/status");
        let fetched = self.client.get(&url).await?;
        serde_json::from_slice(&fetched.body).map_err(|source| {
            let detail = source.to_string();
            ParseSnafu { what: url, detail }.build()
        })
    }

    /// Changes every link of a data centre to the platform and to other data centres; needs a
    /// fleet with cuttable links.
    pub fn cut(&self, data_centre: &str, state: LinkState) {
        let site = Site::DataCentre(data_centre.to_owned());
        self.links
            .set(state, |from, to| from == data_centre || *to == site);
    }

    /// Changes just the links of a data centre to the platform.
    pub fn cut_platform(&self, data_centre: &str, state: LinkState) {
        self.links.set(state, |from, to| {
            from == data_centre && *to == Site::Platform
        });
    }

    /// Marks a VM as leaving in every list of VMs.
    pub fn leave(&self, vm: &str) {
        self.standins.change_vms(&VmChange {
            leaving: vec![vm.to_owned()],
            ..VmChange::default()
        });
    }

    /// Removes a VM from every list of VMs.
    pub fn remove(&self, vm: &str) {
        self.standins.change_vms(&VmChange {
            remove: vec![vm.to_owned()],
            ..VmChange::default()
        });
    }

    /// Returns the digest of the bundle that `document` names, from the origin's manifests.
    ///
    /// # Errors
    ///
    /// Returns an error if the origin lacks a part.
    pub fn bundle_of(&self, document: &Document) -> Result<Digest> {
        let parts = document.parts();
        let manifests = parts.iter().map(|part| self.manifest(part));
        let parts = manifests.collect::<Result<Vec<_>>>()?;
        Ok(Bundle { parts }.digest())
    }

    fn manifest(&self, part: &ModelRef) -> Result<wagtailreel_core::Manifest> {
        let found = self.standins.origin.manifest(part);
        let missing = || {
            let what = format!("model {part} in the origin");
            MissingSnafu { what }.build()
        };
        found.ok_or_else(missing)
    }

    /// Returns the VMs whose engines hold `bundle`.
    pub fn holders(&self, bundle: Digest) -> Vec<VmId> {
        let engines = self.standins.engines.iter();
        let holders = engines.filter(|(_, engine)| engine.held().contains_key(&bundle));
        holders.map(|(vm, _)| vm.clone()).collect()
    }

    /// Returns the callers' listeners of all entries.
    pub fn callers(&self) -> Vec<SocketAddr> {
        let entries = self.vms.values();
        let entries = entries.filter(|vm| matches!(vm.listen, Listen::Entry(_)));
        entries.map(|vm| vm.listen.data()).collect()
    }

    /// Returns the base URLs of the engines' stand-ins.
    pub fn engine_urls(&self) -> Vec<String> {
        let engines = self.standins.engines.values();
        engines.map(|it| format!("http://{}", it.addr())).collect()
    }

    fn vm(&self, vm: &str) -> Result<&Vm> {
        self.vms.get(vm).ok_or_else(|| {
            let known: Vec<&str> = self.vms.keys().map(String::as_str).collect();
            let known = known.join(", ");
            UnknownVmSnafu { vm, known }.build()
        })
    }
}
