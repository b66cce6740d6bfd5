//! Stand-in for the platform's list of VMs.

mod history;
mod http;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use tokio::sync::watch;
use wagtailreel_core::{VmEntry, VmId};

use self::history::History;
use crate::faults::{CommonFaults, FaultSet, Faults};
use crate::server::{Port, StartError};

/// Settings of the stand-in for the list of VMs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct VmListConfig {
    /// The VMs at the start.
    pub vms: Vec<VmEntry>,
}

/// Faults of the stand-in for the list of VMs.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct VmListFaults {
    /// Faults that every stand-in has.
    #[serde(flatten)]
    pub common: CommonFaults,
    /// Time in milliseconds from a change until the list shows it. Changes made before keep the
    /// lag that they were made with.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "lag_ms")]
    pub lag: Duration,
}

impl FaultSet for VmListFaults {
    fn common(&self) -> &CommonFaults {
        &self.common
    }
}

/// A change of the list; its parts are done in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct VmChange {
    /// Replaces the whole list.
    pub set: Option<Vec<VmEntry>>,
    /// Adds VMs, or replaces those with the same name.
    pub add: Vec<VmEntry>,
    /// Removes VMs.
    pub remove: Vec<VmId>,
    /// Marks VMs as leaving.
    pub leaving: Vec<VmId>,
}

/// What the stand-in for the list of VMs has done.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmListStats {
    /// Reads.
    pub reads: u64,
    /// Version of the last change, shown or not.
    pub version: u64,
    /// Version that the list shows.
    pub shown: u64,
}

/// Stand-in for the platform's list of VMs. It stops when dropped.
#[derive(Debug)]
pub struct VmListStandin {
    port: Port,
    store: Arc<Store>,
}

/// What the handlers share.
#[derive(Debug)]
pub(crate) struct Store {
    faults: Faults<VmListFaults>,
    history: Mutex<History>,
    /// Counts changes, for reads that wait.
    changes: watch::Sender<u64>,
    reads: AtomicU64,
}

impl VmListStandin {
    /// Starts the stand-in on the current runtime.
    ///
    /// # Errors
    ///
    /// Returns a [`StartError`] if `listen` can't be used.
    ///
    /// # Panics
    ///
    /// Panics outside of a `tokio` runtime.
    pub fn start(cfg: VmListConfig, listen: SocketAddr) -> Result<Self, StartError> {
        let port = Port::reserve(listen)?;
        let store = Arc::new(Store {
            faults: Faults::new(),
            history: Mutex::new(History::new(cfg.vms)),
            changes: watch::Sender::new(0),
            reads: AtomicU64::new(0),
        });
        port.serve(http::router(&port, &store))?;
        Ok(Self { port, store })
    }

    /// Returns the address.
    pub fn addr(&self) -> SocketAddr {
        self.port.addr()
    }

    /// Returns the switch of the faults.
    pub fn faults(&self) -> Faults<VmListFaults> {
        self.store.faults.clone()
    }

    /// Returns what was done so far.
    pub fn stats(&self) -> VmListStats {
        self.store.stats()
    }

    /// Changes the list.
    pub fn change(&self, change: VmChange) {
        self.store.change(change);
    }

    /// Replaces the whole list.
    pub fn set(&self, vms: Vec<VmEntry>) {
        self.change(VmChange {
            set: Some(vms),
            ..VmChange::default()
        });
    }

    /// Adds a VM, or replaces the one with the same name.
    pub fn add(&self, vm: VmEntry) {
        self.change(VmChange {
            add: vec![vm],
            ..VmChange::default()
        });
    }

    /// Removes a VM.
    pub fn remove(&self, vm: &str) {
        self.change(VmChange {
            remove: vec![vm.to_owned()],
            ..VmChange::default()
        });
    }

    /// Marks a VM as leaving.
    pub fn leave(&self, vm: &str) {
        self.change(VmChange {
            leaving: vec![vm.to_owned()],
            ..VmChange::default()
        });
    }

    /// Drops all connections and refuses new ones until [`resume`](Self::resume).
    pub fn crash(&self) {
        self.port.crash();
    }

    /// Serves again after a crash, with the same list.
    ///
    /// # Errors
    ///
    /// Returns a [`StartError`] if another process took the port.
    pub fn resume(&self) -> Result<(), StartError> {
        self.port.resume()
    }

    /// Stops for good.
    pub fn stop(&self) {
        self.port.stop();
    }
}

impl Drop for VmListStandin {
    fn drop(&mut self) {
        self.stop();
    }
}

impl Store {
    fn lock(&self) -> MutexGuard<'_, History> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn change(&self, change: VmChange) {
        let lag = self.faults.read(|faults| faults.lag);
        self.lock().change(change, lag);
        self.changes.send_modify(|changes| *changes += 1);
    }

    fn stats(&self) -> VmListStats {
        let mut history = self.lock();
        VmListStats {
            reads: self.reads.load(Ordering::Relaxed),
            version: history.latest(),
            shown: history.shown().version,
        }
    }
}
