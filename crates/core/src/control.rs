//! What the system's processes tell each other, apart from how it is carried.
//!
//! An agent sends [`Report`]s to the entries of its data centre and gets [`Directive`]s back.
//! Entries of one data centre exchange [`PeerState`]s.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    DataCentre, Digest, Document, Epoch, Incarnation, Offset, Region, ServiceName, TeamName,
    VmEntry, VmId,
};

/// How far an agent is with the weights of one epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WeightsPhase {
    /// Chunks are on their way.
    Fetching,
    /// All chunks are there and verified.
    Staged,
    /// The engine is loading.
    Loading,
    /// The engine itself reports the digest.
    Loaded,
    /// The bundle can't be brought or loaded; the report's `trouble` says why.
    Failed,
}

/// Load of an engine as it last said; it lags.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Requests that generate tokens.
    pub running: u32,
    /// Requests that wait in the engine.
    pub waiting: u32,
    /// Share of the KV cache in use, in thousandths.
    pub kv_permille: u32,
}

/// What an agent says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the agent's VM.
    pub vm: VmId,
    /// Start of the agent.
    pub incarnation: Incarnation,
    /// Counts up with each report, so that a late one is passed over.
    pub sequence: u64,
    /// Data centre of the agent.
    pub data_centre: DataCentre,
    /// Region of the data centre.
    pub region: Region,
    /// Service of the agent's upstream.
    pub service: ServiceName,
    /// Address of the agent's HTTP listener.
    pub data: SocketAddr,
    /// Address of the agent's control listener.
    pub control: SocketAddr,
    /// Revision of the service that the agent has taken; 0 for none.
    pub config: Offset,
    /// Requests in flight at the agent.
    pub in_flight: u32,
    /// Most requests that the agent takes at once.
    pub capacity: u32,
    /// The engine's own load, if it reports one.
    pub load: Option<EngineLoad>,
    /// Bundles that the engine can hold at once; 0 for a plain service.
    pub bundles: u32,
    /// No new work: the agent is leaving.
    pub leaving: bool,
    /// Epochs below this are closed at the agent and never open again.
    pub closed_below: Epoch,
    /// The epoch that the agent admits now, if any.
    pub open: Option<Epoch>,
    /// Digest of the open bundle.
    pub open_weights: Option<Digest>,
    /// Phase of each epoch that the agent holds or fetches.
    pub weights: BTreeMap<Epoch, WeightsPhase>,
    /// Chunks of the newest epoch that are there, and how many there are in all.
    pub chunks: (u32, u32),
    /// What keeps the agent from going on, in words with the remedy.
    pub trouble: Option<String>,
}

/// What an entry tells an agent in return.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Directive {
    /// Offset of the entry's configuration.
    pub config: Offset,
    /// The agent's service, if the entry has it at a higher revision than `Report::config`.
    pub state: Option<ServiceState>,
    /// How long the agent may admit requests of the epoch `open` from the moment it sent the
    /// report. Zero grants nothing.
    pub lease: Duration,
    /// The agent closes epochs below this.
    pub close_below: Epoch,
    /// The agent opens this epoch if it is loaded and not closed. The lease holds for it alone.
    pub open: Option<Epoch>,
    /// An engine that holds one bundle may give up the open one to load this epoch.
    pub swap_to: Option<Epoch>,
    /// VMs of the service with their data addresses, for fetching chunks.
    pub peers: Vec<VmEntry>,
}

/// What one entry knows of the switch of one service in its data centre.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServicePeerState {
    /// Epochs below this are being closed or are closed.
    pub close_below: Epoch,
    /// The epoch that the entry grants leases for now; 0 for none.
    pub open: Epoch,
    /// Every agent that this entry may have granted a lease has closed below this.
    pub all_closed_below: Epoch,
}

/// What one entry tells another of its data centre.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerState {
    /// Name of the entry's VM.
    pub vm: VmId,
    /// Start of the entry.
    pub incarnation: Incarnation,
    /// Offset of the entry's configuration.
    pub config: Offset,
    /// The entry knows all that has been opened in the data centre, and is in touch.
    pub settled: bool,
    /// Control addresses of the other entries of the data centre that this entry knows.
    pub entries: BTreeMap<VmId, SocketAddr>,
    /// Per service.
    pub services: BTreeMap<ServiceName, ServicePeerState>,
    /// Requests that each customer asked of the service lately, a second, for limits.
    pub demand: BTreeMap<ServiceName, BTreeMap<String, f64>>,
}

/// One service as the fold of the log has it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceState {
    /// Name of the service.
    pub service: ServiceName,
    /// Team that owns the service.
    pub team: TeamName,
    /// Offset of the last accepted edit.
    pub revision: Offset,
    /// Offset of the last accepted edit that changed the weights or where they go.
    pub epoch: Epoch,
    /// The document; none if the service was deleted at `revision`.
    pub document: Option<Box<Document>>,
}

/// The configuration as of an offset. Merging two views keeps the higher revision per service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StateView {
    /// Offset of the last record applied.
    pub offset: Offset,
    /// Per service.
    pub services: BTreeMap<ServiceName, ServiceState>,
}

impl StateView {
    /// Takes from `other` every service whose revision is higher, and the higher offset.
    ///
    /// Nothing reverts: a lower revision or offset changes nothing.
    pub fn merge(&mut self, other: &Self) {
        self.offset = self.offset.max(other.offset);
        for (name, theirs) in &other.services {
            let newer = self
                .services
                .get(name)
                .is_none_or(|ours| ours.revision < theirs.revision);
            if newer {
                self.services.insert(name.clone(), theirs.clone());
            }
        }
    }
}
