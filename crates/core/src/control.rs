//! Control messages between the system's processes, independent of the transport.
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

/// Progress of an agent with the weights of one epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WeightsPhase {
    /// Chunks are being fetched.
    Fetching,
    /// All chunks are stored and verified.
    Staged,
    /// The engine is loading.
    Loading,
    /// The engine itself reports the digest.
    Loaded,
    /// The bundle can't be fetched or loaded; the report's `trouble` says why.
    Failed,
}

/// Load of an engine as the engine last reported it. The figures lag behind the real load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Requests that are generating tokens.
    pub running: u32,
    /// Requests that are queued in the engine.
    pub waiting: u32,
    /// Share of the KV cache in use, in thousandths.
    pub kv_permille: u32,
}

/// State of an agent, as the agent reports it to entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the agent's VM.
    pub vm: VmId,
    /// Incarnation of the agent process.
    pub incarnation: Incarnation,
    /// Increases with each report, so that entries ignore reports that arrive out of order.
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
    /// Revision of the service that the agent has applied; 0 for none.
    pub config: Offset,
    /// Requests in flight at the agent.
    pub in_flight: u32,
    /// Maximum number of concurrent requests that the agent accepts.
    pub capacity: u32,
    /// Load of the engine, if the engine reports one.
    pub load: Option<EngineLoad>,
    /// Number of bundles that the engine can hold at once; 0 for a plain service.
    pub bundles: u32,
    /// The agent is leaving and accepts no new work.
    pub leaving: bool,
    /// Epochs below this are closed at the agent and never reopen.
    pub closed_below: Epoch,
    /// The epoch whose requests the agent admits now, if any.
    pub open: Option<Epoch>,
    /// Digest of the open bundle.
    pub open_weights: Option<Digest>,
    /// Phase of each epoch that the agent holds or fetches.
    pub weights: BTreeMap<Epoch, WeightsPhase>,
    /// Number of stored chunks of the newest epoch, and the total number of its chunks.
    pub chunks: (u32, u32),
    /// The problem that blocks the agent, as text that includes the remedy.
    pub trouble: Option<String>,
}

/// Reply of an entry to an agent's [`Report`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Directive {
    /// Offset of the entry's configuration.
    pub config: Offset,
    /// The agent's service, if the entry has it at a higher revision than `Report::config`.
    pub state: Option<ServiceState>,
    /// How long the agent may admit requests of the epoch `open`, counted from the time at which it
    /// sent the report. Zero grants nothing.
    pub lease: Duration,
    /// The agent must close the epochs below this.
    pub close_below: Epoch,
    /// The agent opens this epoch if it is loaded and not closed. The lease covers only this epoch.
    pub open: Option<Epoch>,
    /// An engine that can hold only one bundle may unload the open one to load this epoch.
    pub swap_to: Option<Epoch>,
    /// VMs of the service with their data addresses, as sources of chunks.
    pub peers: Vec<VmEntry>,
}

/// State of the weights switch of one service in a data centre, as one entry knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServicePeerState {
    /// Epochs below this are closed or being closed.
    pub close_below: Epoch,
    /// The epoch for which the entry grants leases now; 0 for none.
    pub open: Epoch,
    /// Every agent to which this entry may have granted a lease has closed the epochs below this.
    pub all_closed_below: Epoch,
}

/// State that one entry sends to the other entries of its data centre.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerState {
    /// Name of the entry's VM.
    pub vm: VmId,
    /// Incarnation of the entry process.
    pub incarnation: Incarnation,
    /// Offset of the entry's configuration.
    pub config: Offset,
    /// The entry knows every epoch that was opened in the data centre, and is in contact with its peers.
    pub settled: bool,
    /// Control addresses of the other entries of the data centre that this entry knows.
    pub entries: BTreeMap<VmId, SocketAddr>,
    /// State of the switch of each service.
    pub services: BTreeMap<ServiceName, ServicePeerState>,
    /// Recent request rate of each customer at each service, in requests per second, for rate limits.
    pub demand: BTreeMap<ServiceName, BTreeMap<String, f64>>,
}

/// State of one service, derived from the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceState {
    /// Name of the service.
    pub service: ServiceName,
    /// Team that owns the service.
    pub team: TeamName,
    /// Offset of the last accepted edit.
    pub revision: Offset,
    /// Offset of the last accepted edit that changed the service's kind, model or adapters.
    pub epoch: Epoch,
    /// The document; `None` if the service was deleted at `revision`.
    pub document: Option<Box<Document>>,
}

/// The configuration as of an offset. A merge of two views keeps the higher revision of each service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StateView {
    /// Offset of the last record applied.
    pub offset: Offset,
    /// State of each service.
    pub services: BTreeMap<ServiceName, ServiceState>,
}

impl StateView {
    /// Merges `other`: for each service the state with the higher revision, and the higher offset.
    ///
    /// A lower revision or offset changes nothing, so a merge never reverts state.
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
