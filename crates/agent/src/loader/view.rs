//! What the loader decides by, and what it decides.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use wagtailreel_core::{Digest, Epoch, WeightsPhase};

/// What the engine says that it holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineView {
    /// Digests of the bundles.
    pub bundles: BTreeSet<Digest>,
}

/// How far the chunks of one epoch are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Staged {
    /// Digest of the bundle, once its manifests are there.
    pub bundle: Option<Digest>,
    /// All chunks are there and verified.
    pub complete: bool,
    /// The chunks can't be brought.
    pub failed: bool,
}

/// What the loader decides by.
#[derive(Clone, Debug)]
pub struct View<'a> {
    /// The time.
    pub now: Instant,
    /// Epoch of the service's state.
    pub epoch: Epoch,
    /// The state's document names this VM, with weights.
    pub wanted: bool,
    /// Epochs below this are closed.
    pub closed_below: Epoch,
    /// How far the chunks of each epoch are. An epoch whose chunks are gone is not in it.
    pub staged: &'a BTreeMap<Epoch, Staged>,
    /// Epochs that the gate lets go.
    pub droppable: &'a [Epoch],
    /// The gate lets an engine without room give up the open bundle for `epoch`.
    pub may_swap: bool,
    /// Requests that run, by epoch.
    pub running: &'a BTreeMap<Epoch, u32>,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Tell the gate how far an epoch is.
    SetPhase {
        /// The epoch.
        epoch: Epoch,
        /// Its phase.
        phase: WeightsPhase,
        /// Digest of its bundle, if known.
        bundle: Option<Digest>,
    },
    /// Tell the gate to admit no more requests to an epoch, so that its bundle can go.
    StopAdmission {
        /// The epoch.
        epoch: Epoch,
    },
    /// Order the engine to load an epoch's bundle.
    Load {
        /// The epoch.
        epoch: Epoch,
        /// Digest of its bundle.
        bundle: Digest,
        /// Fencing number of the order.
        fence: Epoch,
    },
    /// Break off the load that is under way: its epoch is no longer wanted.
    AbortLoad,
    /// Order the engine to drop a bundle.
    Unload {
        /// Digest of the bundle.
        bundle: Digest,
        /// Fencing number of the order.
        fence: Epoch,
    },
    /// Drop an epoch's chunks and have the gate forget the epoch.
    RemoveEpoch {
        /// The epoch.
        epoch: Epoch,
    },
}
