//! Input events and output actions of a planner.

use std::time::Duration;

use derive_more::Display;
use wagtailreel_core::{ChunkIndex, DataCentre, Region, VmEntry, VmId};

use crate::ChunkSet;

/// Identifier of one fetch of a planner, never reused.
pub type FetchId = u64;

/// Location of a VM.
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
    /// Returns the site of an entry of the list of VMs.
    pub fn of(entry: &VmEntry) -> Self {
        Self {
            vm: entry.vm.clone(),
            data_centre: entry.data_centre.clone(),
            region: entry.region.clone(),
        }
    }
}

/// Source of a chunk.
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
    /// The VM is second in the chunk's ranking and draws a second copy, because time is weighed.
    #[display("second")]
    SecondCopy,
    /// The VMs before this one in the chunk's ranking are late, and this VM draws in their place.
    #[display("takeover")]
    Takeover,
    /// A peer has the chunk.
    #[display("spread")]
    Spread,
    /// Another fetch of the chunk is slow.
    #[display("hedge")]
    Hedge,
}

/// A fetch for the caller to start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fetch {
    /// Identifier of the fetch.
    pub id: FetchId,
    /// Position of the chunk in the planner's list.
    pub chunk: ChunkIndex,
    /// Source to fetch from.
    pub from: Source,
    /// Reason of the fetch.
    pub reason: Reason,
}

/// Failure of a fetch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Failure {
    /// The source refused the fetch temporarily.
    #[display("busy")]
    Busy {
        /// Delay that the source requests before the next try, if any.
        retry_after: Option<Duration>,
    },
    /// The source does not have the chunk.
    #[display("absent")]
    Absent,
    /// The bytes do not match the chunk's digest.
    #[display("corrupt")]
    Corrupt,
    /// The connection failed or was interrupted.
    #[display("broken")]
    Broken,
}

/// Input of a planner.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A peer reports its chunks.
    Have {
        /// The peer.
        vm: VmId,
        /// All chunks that the peer has now.
        have: ChunkSet,
    },
    /// A chunk arrived and its digest was verified.
    Fetched {
        /// The fetch that delivered the chunk.
        id: FetchId,
        /// The chunk, which counts even if the fetch was cancelled in the meantime.
        chunk: ChunkIndex,
    },
    /// A fetch failed.
    Failed {
        /// The fetch.
        id: FetchId,
        /// Kind of failure.
        failure: Failure,
    },
    /// Replaces the list of the service's VMs, in all data centres.
    Peers(Vec<VmEntry>),
    /// A peer is unreachable, or does not fetch the bundle.
    Lost {
        /// The peer.
        vm: VmId,
    },
    /// Time has passed without another event.
    Tick,
}

/// Output of a planner, for the caller to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start a fetch, and report its end with an event.
    Fetch(Fetch),
    /// Cancel a fetch, without an event for its end.
    Cancel {
        /// The fetch.
        id: FetchId,
    },
}
