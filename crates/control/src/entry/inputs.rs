//! Inputs of the control thread from the entry's other threads. Each holds the latest value only.

use std::rc::Rc;

use tokio::sync::watch;
use wagtailreel_core::{StateView, VmEntry};

use super::Demand;
use super::shell::Shell;

/// Senders, held by other threads.
#[derive(Clone, Debug, Default)]
pub(crate) struct Inputs {
    pub(crate) state: watch::Sender<StateView>,
    pub(crate) entries: watch::Sender<Vec<VmEntry>>,
    pub(crate) vms: watch::Sender<Vec<VmEntry>>,
    pub(crate) demand: watch::Sender<Demand>,
}

/// Receivers, held by the control thread.
#[derive(Debug)]
pub(crate) struct Receivers {
    state: watch::Receiver<StateView>,
    entries: watch::Receiver<Vec<VmEntry>>,
    vms: watch::Receiver<Vec<VmEntry>>,
    demand: watch::Receiver<Demand>,
}

impl Inputs {
    pub(crate) fn subscribe(&self) -> Receivers {
        Receivers {
            state: self.state.subscribe(),
            entries: self.entries.subscribe(),
            vms: self.vms.subscribe(),
            demand: self.demand.subscribe(),
        }
    }
}

/// Passes each new input to `shell` until the last handle is dropped.
pub(crate) async fn take_inputs(shell: Rc<Shell>, mut rx: Receivers) {
    loop {
        let changed = tokio::select! {
            changed = rx.state.changed() => changed.map(|()| {
                shell.set_state(&rx.state.borrow_and_update());
            }),
            changed = rx.entries.changed() => changed.map(|()| {
                shell.set_entries(&rx.entries.borrow_and_update());
            }),
            changed = rx.vms.changed() => changed.map(|()| {
                shell.set_vms(&rx.vms.borrow_and_update());
            }),
            changed = rx.demand.changed() => changed.map(|()| {
                shell.set_demand(&rx.demand.borrow_and_update());
            }),
        };
        if changed.is_err() {
            return;
        }
    }
}
