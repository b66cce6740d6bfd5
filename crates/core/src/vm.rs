//! Entries of the platform's list of VMs.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{DataCentre, Region, ServiceName, VmId};

/// What runs on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmRole {
    /// An entry VM, which accepts the callers' requests.
    Entry,
    /// An upstream VM, which runs an engine or plain service and its agent.
    Upstream,
}

/// Whether a VM is about to be removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// The VM is live.
    Live,
    /// The VM is about to be removed.
    Leaving,
}

/// One VM in the platform's list. The list lags behind the real state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Name of the VM.
    pub vm: VmId,
    /// Data centre of the VM.
    pub data_centre: DataCentre,
    /// Region of the data centre.
    pub region: Region,
    /// What runs on the VM.
    pub role: VmRole,
    /// Whether the VM is about to be removed.
    pub state: VmState,
    /// The service of an upstream VM; `None` for an entry VM.
    pub service: Option<ServiceName>,
    /// Address of the control protocol (`capnp-rpc`).
    pub control: SocketAddr,
    /// Address of the HTTP listener for requests and chunks.
    pub data: SocketAddr,
}
