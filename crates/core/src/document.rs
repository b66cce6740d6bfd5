//! The document that a service team owns.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::{CustomerId, DataCentre, ServiceName, VmId};

/// Names one version of a model or adapter: `name@version` in messages.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
#[display("{name}@{version}")]
pub struct ModelRef {
    /// Name of the model or adapter.
    pub name: String,
    /// Version of the model or adapter.
    pub version: String,
}

/// What kind of upstream runs the service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// A model engine: weights, streams, load reports.
    #[default]
    Engine,
    /// A plain service: a request, a response, no weights.
    Plain,
}

/// Priority of a service or a request.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Gives way first.
    #[display("low")]
    Low,
    /// The ordinary case.
    #[default]
    #[display("normal")]
    Normal,
    /// Gives way last.
    #[display("high")]
    High,
}

/// Which VMs of a data centre are meant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmSelection {
    /// Every VM of the service in the data centre.
    All,
    /// Just these VMs.
    Named(Vec<VmId>),
}

/// One data centre that the service runs in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Place {
    /// Name of the data centre.
    pub data_centre: DataCentre,
    /// The VMs in it.
    pub vms: VmSelection,
    /// How many of the VMs must have loaded new weights before the data centre switches.
    pub ready: u32,
}

/// What a rollout saves first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SpreadGoal {
    /// Time until the replicas are live; each data centre draws its own copy.
    #[default]
    Time,
    /// Bytes drawn from the origin; one copy for all data centres.
    OriginBytes,
}

/// How chunks find their way. All but [`SpreadPolicy::Balanced`] are kept as baselines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SpreadPolicy {
    /// Balanced spreading in chunks among peers.
    #[default]
    Balanced,
    /// Baseline: every VM draws the whole from the origin.
    Origin,
    /// Baseline: a chain, each VM fetches from the one before.
    Chain,
    /// Baseline: a tree of fan-out 2.
    Tree,
}

/// How the service's weights are spread.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SpreadSettings {
    /// What a rollout saves first.
    pub weigh: SpreadGoal,
    /// How chunks find their way.
    pub policy: SpreadPolicy,
    /// Highest rate of one VM's transfers in bytes a second, each way; none leaves it to the
    /// agent's settings.
    pub rate: Option<u64>,
}

/// What one customer may use of the service, over all entries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerLimit {
    /// Requests a second.
    pub requests_per_second: f64,
    /// Requests that may come at once above the rate.
    pub burst: u32,
}

/// Service-level objectives that the burn report measures against.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Objectives {
    /// Time to the first token that 95 in 100 requests keep, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "first_token_ms")]
    pub first_token: Duration,
    /// Time between tokens that 95 in 100 gaps keep, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "between_tokens_ms")]
    pub between_tokens: Duration,
    /// Share of requests that are answered, from 0 to 1.
    pub answered: f64,
    /// Time until an accepted document is in force everywhere, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "in_force_ms")]
    pub in_force: Duration,
    /// Time until new weights are live on the required replicas, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "time_to_live_ms")]
    pub time_to_live: Duration,
}

impl Default for Objectives {
    fn default() -> Self {
        Self {
            first_token: Duration::from_millis(320),
            between_tokens: Duration::from_millis(66),
            answered: 0.999,
            in_force: Duration::from_secs(5),
            time_to_live: Duration::from_secs(300),
        }
    }
}

/// The one document of a service: which weights, where, at what priority.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Name of the service.
    pub service: ServiceName,
    /// What kind of upstream runs it.
    #[serde(default)]
    pub kind: ServiceKind,
    /// The model; an engine service has one, a plain service none.
    #[serde(default)]
    pub model: Option<ModelRef>,
    /// Adapters loaded with the model, in order.
    #[serde(default)]
    pub adapters: Vec<ModelRef>,
    /// Where the service runs.
    #[serde(rename = "where")]
    pub places: Vec<Place>,
    /// Priority of the service's requests when they name none.
    #[serde(default)]
    pub priority: Priority,
    /// How the weights are spread.
    #[serde(default)]
    pub spread: SpreadSettings,
    /// Limits of customers; a customer not named here is held by `default_limit`.
    #[serde(default)]
    pub limits: BTreeMap<CustomerId, CustomerLimit>,
    /// Limit of each customer that `limits` does not name; none means no limit.
    #[serde(default)]
    pub default_limit: Option<CustomerLimit>,
    /// What the burn report measures against.
    #[serde(default)]
    pub objectives: Objectives,
}

impl Document {
    /// Returns the model and the adapters in the order in which an engine loads them.
    pub fn parts(&self) -> Vec<ModelRef> {
        self.model.iter().chain(&self.adapters).cloned().collect()
    }

    /// Returns the place in `data_centre`, if the service runs there.
    pub fn place(&self, data_centre: &str) -> Option<&Place> {
        self.places
            .iter()
            .find(|place| place.data_centre == data_centre)
    }

    /// Says whether the document names the VM `vm` of `data_centre`.
    pub fn includes_vm(&self, data_centre: &str, vm: &str) -> bool {
        self.place(data_centre)
            .is_some_and(|place| match &place.vms {
                VmSelection::All => true,
                VmSelection::Named(vms) => vms.iter().any(|name| name == vm),
            })
    }
}
