//! The platform's list of VMs.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use wagtailreel_core::VmEntry;

use crate::PlatformError;

/// The list as of one version. It lags behind what is true.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmListPage {
    /// Counts up with each change.
    pub version: u64,
    /// The VMs.
    pub vms: Vec<VmEntry>,
}

/// The platform's list of live and leaving VMs.
pub trait VmList: Clone + Send + Sync + 'static {
    /// Returns the list once its version is above `since`, or none if it isn't after `wait`.
    /// Without `since` it returns the list at once.
    ///
    /// # Errors
    ///
    /// Returns a [`PlatformError`] if the list can't be had.
    fn list(
        &self,
        since: Option<u64>,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<VmListPage>, PlatformError>> + Send;
}
