//! Input and output of the loader's decisions.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use wagtailreel_core::{Digest, Epoch, WeightsPhase};

/// The bundles that the engine reports to hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineView {
    /// Digests of the bundles.
    pub bundles: BTreeSet<Digest>,
}

/// Staging state of the chunks of one epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Staged {
    /// Digest of the bundle, once its manifests are fetched.
    pub bundle: Option<Digest>,
    /// All chunks are fetched and verified.
    pub complete: bool,
    /// The chunks can't be fetched.
    pub failed: bool,
}

/// Input of a decision.
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
    /// Staging state of each epoch that has chunks.
    pub staged: &'a BTreeMap<Epoch, Staged>,
    /// Epochs that the gate permits dropping.
    pub droppable: &'a [Epoch],
    /// The gate permits an engine at capacity to replace the open bundle by that of `epoch`.
    pub may_swap: bool,
    /// Requests that run, by epoch.
    pub running: &'a BTreeMap<Epoch, u32>,
}

/// An action that the caller performs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Report the phase of an epoch to the gate.
    SetPhase {
        /// The epoch.
        epoch: Epoch,
        /// Its phase.
        phase: WeightsPhase,
        /// Digest of its bundle, if known.
        bundle: Option<Digest>,
    },
    /// Have the gate admit no more requests to an epoch, so that its bundle can be unloaded.
    StopAdmission {
        /// The epoch.
        epoch: Epoch,
    },
    /// Send the engine a command to load an epoch's bundle.
    Load {
        /// The epoch.
        epoch: Epoch,
        /// Digest of its bundle.
        bundle: Digest,
        /// Fencing number of the command.
        fence: Epoch,
    },
    /// Abort the load in flight: its epoch is no longer wanted.
    AbortLoad,
    /// Send the engine a command to unload a bundle.
    Unload {
        /// Digest of the bundle.
        bundle: Digest,
        /// Fencing number of the command.
        fence: Epoch,
    },
    /// Drop an epoch's chunks and remove the epoch from the gate.
    RemoveEpoch {
        /// The epoch.
        epoch: Epoch,
    },
}
