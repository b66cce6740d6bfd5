//! What a transfer is made from and asked for.

use wagtailreel_core::{DataCentre, Epoch, ModelRef, Region, SpreadSettings, VmId};
use wagtailreel_spread::Site;

/// What a [`Transfer`](crate::Transfer) is made from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TransferConfig {
    /// Name of the own VM.
    pub vm: VmId,
    /// Data centre of the own VM.
    pub data_centre: DataCentre,
    /// Region of the data centre.
    pub region: Region,
    /// Most bytes of chunks kept in memory.
    pub memory: u64,
    /// Most bytes a second that are fetched; 0 for no limit.
    pub ingress: u64,
    /// Most bytes a second that are given to peers; 0 for no limit.
    pub egress: u64,
}

impl TransferConfig {
    /// Returns where the own VM stands.
    pub(crate) fn site(&self) -> Site {
        Site {
            vm: self.vm.clone(),
            data_centre: self.data_centre.clone(),
            region: self.region.clone(),
        }
    }
}

/// One epoch's weights, to be fetched.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wanted {
    /// The epoch.
    pub epoch: Epoch,
    /// The model and its adapters, in the document's order.
    pub parts: Vec<ModelRef>,
    /// The document's settings of the spread.
    pub settings: SpreadSettings,
}
