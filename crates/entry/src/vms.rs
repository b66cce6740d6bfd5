//! Follows the platform's list of VMs.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio_util::sync::CancellationToken;
use wagtailreel_adapters::{VmList, VmListPage};
use wagtailreel_control::EntryControl;
use wagtailreel_core::{DataCentre, VmEntry, VmId, VmRole, VmState};
use wagtailreel_route::Shares;

use crate::backoff::Backoff;
use crate::events;
use crate::services::Services;

/// How long the list may hold a poll.
const POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// The last known list of VMs.
#[derive(Debug, Default)]
pub(crate) struct KnownVms {
    vms: Mutex<Vec<VmEntry>>,
}

impl KnownVms {
    /// Returns the names of the entries that are not leaving.
    pub(crate) fn entry_names(&self) -> BTreeSet<VmId> {
        self.lock()
            .iter()
            .filter(|vm| vm.role == VmRole::Entry && vm.state == VmState::Live)
            .map(|vm| vm.vm.clone())
            .collect()
    }

    /// Returns the control addresses of the VMs of `data_centre`, entries and agents.
    pub(crate) fn control_addrs(&self, data_centre: &DataCentre) -> Vec<SocketAddr> {
        self.lock()
            .iter()
            .filter(|vm| vm.data_centre == *data_centre)
            .map(|vm| vm.control)
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<VmEntry>> {
        self.vms.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The parts of the entry that receive each new list.
#[derive(Clone, Debug)]
pub(crate) struct VmConsumers {
    pub(crate) me: VmId,
    pub(crate) known: Arc<KnownVms>,
    pub(crate) control: EntryControl,
    pub(crate) services: Arc<Services>,
    pub(crate) shares: Arc<Mutex<Shares>>,
}

impl VmConsumers {
    fn apply(&self, page: VmListPage) {
        let (entries, upstreams): (Vec<VmEntry>, Vec<VmEntry>) = page
            .vms
            .iter()
            .cloned()
            .partition(|vm| vm.role == VmRole::Entry);
        *self.known.lock() = page.vms;
        let others = entries
            .iter()
            .map(|vm| vm.vm.clone())
            .filter(|vm| *vm != self.me);
        self.shares
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .list(others);
        self.services.list(&upstreams);
        self.control.set_entries(entries);
        self.control.set_vms(upstreams);
    }
}

/// Follows the list until `cancel`.
pub(crate) async fn follow_vms<V>(list: V, consumers: VmConsumers, cancel: CancellationToken)
where
    V: VmList,
{
    let mut backoff = Backoff::new();
    let mut unreachable = false;
    let mut since = None;
    loop {
        let Some(result) = cancel
            .run_until_cancelled(list.list(since, POLL_TIMEOUT))
            .await
        else {
            return;
        };
        match result {
            Ok(page) => {
                if unreachable {
                    events::VM_LIST_BACK.emit(&[]);
                }
                unreachable = false;
                backoff.reset();
                if let Some(page) = page {
                    since = Some(page.version);
                    consumers.apply(page);
                }
            }
            Err(err) => {
                if !unreachable {
                    let reason = err.to_string();
                    events::VM_LIST_AWAY.emit(&[("reason", &reason)]);
                }
                unreachable = true;
                // The list may restart with lower versions once it can be read again.
                since = None;
                let wait = backoff.failed(err.retry_after());
                let slept = cancel.run_until_cancelled(tokio::time::sleep(wait)).await;
                if slept.is_none() {
                    return;
                }
            }
        }
    }
}
