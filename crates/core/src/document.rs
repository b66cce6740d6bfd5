//! The configuration document of a service, owned by the service's team.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::{CustomerId, DataCentre, ServiceName, VmId};

/// Reference to one version of a model or adapter, shown as `name@version` in messages.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
#[display("{name}@{version}")]
pub struct ModelRef {
    /// Name of the model or adapter.
    pub name: String,
    /// Version of the model or adapter.
    pub version: String,
}

/// Kind of upstream that runs the service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// A model engine, which has weights, streams its answers and reports its load.
    #[default]
    Engine,
    /// A plain service, which answers a request with one response and has no weights.
    Plain,
}

/// Priority of a service or a request.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Yields first under overload.
    #[display("low")]
    Low,
    /// The default.
    #[default]
    #[display("normal")]
    Normal,
    /// Yields last under overload.
    #[display("high")]
    High,
}

/// Selects VMs of a data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmSelection {
    /// Every VM of the service in the data centre.
    All,
    /// Only these VMs.
    Named(Vec<VmId>),
}

/// One data centre that the service runs in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Place {
    /// Name of the data centre.
    pub data_centre: DataCentre,
    /// VMs of the data centre that run the service.
    pub vms: VmSelection,
    /// Number of VMs that must have loaded new weights before the data centre switches to them.
    pub ready: u32,
}

/// What the distribution of weights minimises first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SpreadGoal {
    /// Time until the replicas are live: each data centre fetches its own copy from the origin.
    #[default]
    Time,
    /// Bytes fetched from the origin: all data centres share one copy.
    OriginBytes,
}

/// How chunks are distributed. All policies but [`SpreadPolicy::Balanced`] are baselines for comparison.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SpreadPolicy {
    /// Peers exchange chunks, with balanced load.
    #[default]
    Balanced,
    /// Baseline: every VM fetches all chunks from the origin.
    Origin,
    /// Baseline: a chain in which each VM fetches from the one before it.
    Chain,
    /// Baseline: a tree of fan-out 2.
    Tree,
}

/// How the service's weights are distributed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SpreadSettings {
    /// What the distribution of weights minimises first.
    pub weigh: SpreadGoal,
    /// How chunks are distributed.
    pub policy: SpreadPolicy,
    /// Maximum transfer rate of one VM in bytes per second, in each direction; `None` leaves it to
    /// the agent's settings.
    pub rate: Option<u64>,
}

/// Rate limit of one customer at the service, over all entries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerLimit {
    /// Requests per second.
    pub requests_per_second: f64,
    /// Requests that may arrive in a burst above the rate.
    pub burst: u32,
}

/// Service-level objectives, against which the burn report measures.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Objectives {
    /// Target for the 95th percentile of the time to the first token, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "first_token_ms")]
    pub first_token: Duration,
    /// Target for the 95th percentile of the time between tokens, in milliseconds.
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

/// Configuration document of a service: which weights it serves, where, and at what priority.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Name of the service.
    pub service: ServiceName,
    /// Kind of upstream that runs the service.
    #[serde(default)]
    pub kind: ServiceKind,
    /// The model of an engine service; `None` for a plain service.
    #[serde(default)]
    pub model: Option<ModelRef>,
    /// Adapters loaded with the model, in order.
    #[serde(default)]
    pub adapters: Vec<ModelRef>,
    /// Data centres that the service runs in.
    #[serde(rename = "where")]
    pub places: Vec<Place>,
    /// Priority of requests that name none.
    #[serde(default)]
    pub priority: Priority,
    /// How the weights are distributed.
    #[serde(default)]
    pub spread: SpreadSettings,
    /// Limits by customer. `default_limit` applies to customers that are not listed.
    #[serde(default)]
    pub limits: BTreeMap<CustomerId, CustomerLimit>,
    /// Limit of each customer that `limits` does not list; `None` for no limit.
    #[serde(default)]
    pub default_limit: Option<CustomerLimit>,
    /// Objectives, against which the burn report measures.
    #[serde(default)]
    pub objectives: Objectives,
}

impl Document {
    /// Returns the model and the adapters in the order in which an engine loads them.
    pub fn parts(&self) -> Vec<ModelRef> {
        self.model.iter().chain(&self.adapters).cloned().collect()
    }

    /// Returns the service's place in `data_centre`, if the service runs there.
    pub fn place(&self, data_centre: &str) -> Option<&Place> {
        self.places
            .iter()
            .find(|place| place.data_centre == data_centre)
    }

    /// Returns whether the service runs on the VM `vm` of `data_centre`, by name or because all VMs are
    /// selected.
    pub fn includes_vm(&self, data_centre: &str, vm: &str) -> bool {
        self.place(data_centre)
            .is_some_and(|place| match &place.vms {
                VmSelection::All => true,
                VmSelection::Named(vms) => vms.iter().any(|name| name == vm),
            })
    }
}
