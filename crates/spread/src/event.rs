//! What a planner is told and what it asks for.

use std::time::Duration;

use derive_more::Display;
use wagtailreel_core::{ChunkIndex, DataCentre, Region, VmEntry, VmId};

use crate::ChunkSet;

/// Identifies one fetch of one planner; never used twice.
pub type FetchId = u64;

/// Where a VM stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Site {
    /// Name of the VM.
    pub vm: VmId,
    /// Data centre of the VM.
    pub data_centre: DataCentre,
    /// Region of the data centre.
    pub region: Region,
}

impl Site {
    /// Takes the site out of an entry of the list of VMs.
    pub fn of(entry: &VmEntry) -> Self {
        Self {
            vm: entry.vm.clone(),
            data_centre: entry.data_centre.clone(),
            region: entry.region.clone(),
        }
    }
}

/// Where a chunk is fetched from.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum Source {
    /// The origin of weights.
    #[display("origin")]
    Origin,
    /// Another VM.
    #[display("{_0}")]
    Peer(VmId),
}

/// Why a chunk is fetched.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum Reason {
    /// The VM is first in the chunk's ranking and draws it from the origin.
    #[display("draw")]
    Draw,
    /// The VM is second in the chunk's ranking, and time is weighed: it draws a second copy.
    #[display("second")]
    SecondCopy,
    /// Those before in the chunk's ranking did not deliver: the VM draws in their place.
    #[display("takeover")]
    Takeover,
    /// A peer has the chunk.
    #[display("spread")]
    Spread,
    /// Another fetch of the chunk takes long.
    #[display("hedge")]
    Hedge,
}

/// One fetch that the planner wants to be started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fetch {
    /// Identifies the fetch.
    pub id: FetchId,
    /// Position of the chunk in the planner's list.
    pub chunk: ChunkIndex,
    /// Where from.
    pub from: Source,
    /// Why.
    pub reason: Reason,
}

/// How a fetch failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Failure {
    /// The source refused for now.
    #[display("busy")]
    Busy {
        /// When it wants to be asked again, if it said so.
        retry_after: Option<Duration>,
    },
    /// The source does not have the chunk.
    #[display("absent")]
    Absent,
    /// The bytes don't have the chunk's digest.
    #[display("corrupt")]
    Corrupt,
    /// The connection failed or was cut.
    #[display("broken")]
    Broken,
}

/// What a planner is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A peer says which chunks it has.
    Have {
        /// The peer.
        vm: VmId,
        /// The chunks that it has now.
        have: ChunkSet,
    },
    /// A chunk has arrived and its digest was verified.
    Fetched {
        /// The fetch that brought it.
        id: FetchId,
        /// The chunk; it counts even if the fetch was dropped in the meantime.
        chunk: ChunkIndex,
    },
    /// A fetch brought nothing.
    Failed {
        /// The fetch.
        id: FetchId,
        /// Why.
        failure: Failure,
    },
    /// The VMs of the service, in all data centres.
    Peers(Vec<VmEntry>),
    /// A peer can't be reached, or does not want the bundle.
    Lost {
        /// The peer.
        vm: VmId,
    },
    /// Time has passed.
    Tick,
}

/// What a planner asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start a fetch, and say how it ended.
    Fetch(Fetch),
    /// Drop a fetch; its end is not to be told.
    Cancel {
        /// The fetch.
        id: FetchId,
    },
}
