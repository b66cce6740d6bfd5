//! What operators and observers do with a fleet.

use std::time::Duration;

use serde_json::Value;
use wagtailreel_core::{Bundle, Digest, Document, Manifest, ModelRef, Offset, Report, VmId};

use super::admin::{Operator, Submission};
use super::document::to_yaml;
use super::{Fleet, TeamSpec};
use crate::error::{BrokenSnafu, MissingSnafu, ParseSnafu, Result};
use crate::http_client::url_of;
use crate::wait::{Look, wait_for};

/// Time within which accepted weights have to be served everywhere.
const LIVE_BOUND: Duration = Duration::from_secs(120);

impl Fleet {
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
        let owns = |it: &&TeamSpec| it.services.iter().any(|name| name == service);
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

    /// Submits `document` as edited from revision `base`, waits until every agent of its service
    /// serves its weights, and returns the new revision.
    ///
    /// # Errors
    ///
    /// Returns an error if the document is not accepted or an agent does not serve its weights
    /// within two minutes.
    pub async fn go_live(&self, document: &Document, base: Offset) -> Result<Offset> {
        let service = &document.service;
        let submitted = self.submit(service, &to_yaml(document)?, base).await?;
        let Submission::Accepted { revision, .. } = submitted else {
            let what = format!("the document was not accepted: {submitted:?}");
            return BrokenSnafu { what }.fail();
        };
        let bundle = self.bundle_of(document)?;
        for vm in self.upstreams(service) {
            self.wait_serving(&vm, bundle, LIVE_BOUND).await?;
        }
        Ok(revision)
    }

    /// Says in a line for each upstream VM of `service` how far its agent is, for errors.
    pub async fn progress(&self, service: &str) -> String {
        let mut text = String::new();
        for vm in self.upstreams(service) {
            text.push_str(&format!("\n  {vm}: {}", self.progress_of(&vm).await));
        }
        text
    }

    async fn progress_of(&self, vm: &str) -> String {
        match self.status(vm).await {
            Ok(it) => {
                let (have, all) = it.chunks;
                let trouble = it.trouble.unwrap_or_default();
                format!(
                    "{have} of {all} chunks, {:?}, open {:?} {trouble}",
                    it.weights, it.open
                )
            }
            Err(error) => error.to_string(),
        }
    }

    /// Waits until the agent of `vm` admits requests to `bundle`.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not within `bound`.
    pub async fn wait_serving(&self, vm: &str, bundle: Digest, bound: Duration) -> Result<()> {
        wait_for(&format!("{vm} to serve the weights"), bound, || async {
            match self.status(vm).await {
                Ok(it) if it.open_weights == Some(bundle) => Look::Found(()),
                _ => Look::NotYet(self.progress_of(vm).await),
            }
        })
        .await
    }

    /// Returns how the service's rollout stands at the first entry that runs.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer comes or it can't be read.
    pub async fn rollout(&self, service: &str) -> Result<Value> {
        self.owner(service).await?.rollout(service).await
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

    /// Returns the metrics of `vm` in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such VM or it does not answer.
    pub async fn metrics(&self, vm: &str) -> Result<String> {
        let url = url_of(self.health_addr(vm)?, "/metrics");
        Ok(self.client.get(&url).await?.text())
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

    fn manifest(&self, part: &ModelRef) -> Result<Manifest> {
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
}
