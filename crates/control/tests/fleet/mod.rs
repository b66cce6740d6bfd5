//! Entries and agents in one process over loopback; shared by the tests.
#![allow(dead_code, reason = "each test file uses a part")]
#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use prometheus::Registry;
use tokio::task::JoinHandle;
use wagtailreel_control::*;
use wagtailreel_core::*;
use wagtailreel_switch::Gate;

pub(crate) const SERVICE: &str = "wagtail-scribes";
pub(crate) const HERE: &str = "quito-hall";
pub(crate) const THERE: &str = "guayaquil-hall";
pub(crate) const LEASE: Duration = Duration::from_millis(800);
/// Time-out of every wait.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

pub(crate) fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

pub(crate) struct Entry {
    pub(crate) control: EntryControl,
    pub(crate) registry: Registry,
    pub(crate) vm: VmEntry,
}

impl Entry {
    pub(crate) fn start(vm: &str, data_centre: &str) -> Self {
        Self::with_lease(vm, data_centre, LEASE)
    }

    pub(crate) fn with_lease(vm: &str, data_centre: &str, lease: Duration) -> Self {
        let registry = Registry::new();
        let cfg = EntryControlConfig {
            vm: vm.to_owned(),
            incarnation: 1,
            data_centre: data_centre.to_owned(),
            region: "sierra".to_owned(),
            listen: loopback(),
            lease,
        };
        let control = EntryControl::start(cfg, &registry).unwrap();
        let vm = VmEntry {
            vm: vm.to_owned(),
            data_centre: data_centre.to_owned(),
            region: "sierra".to_owned(),
            role: VmRole::Entry,
            state: VmState::Live,
            service: None,
            control: control.addr(),
            data: loopback(),
        };
        Self {
            control,
            registry,
            vm,
        }
    }

    pub(crate) fn view(&self) -> AgentViews {
        let views = self.control.agents();
        Arc::clone(&views.borrow())
    }
}

/// An agent whose engine has every bundle as soon as it is requested.
pub(crate) struct Agent {
    pub(crate) control: AgentControl,
    pub(crate) gate: Arc<Mutex<Gate>>,
    pub(crate) peers: Arc<Mutex<Vec<VmEntry>>>,
    task: JoinHandle<()>,
}

impl Drop for Agent {
    fn drop(&mut self) {
        self.control.stop();
        self.task.abort();
    }
}

impl Agent {
    pub(crate) fn start(vm: &str, entries: &[&Entry]) -> Self {
        let cfg = AgentControlConfig {
            vm: vm.to_owned(),
            listen: loopback(),
            report_interval: Duration::from_millis(100),
        };
        let control = AgentControl::start(cfg, &Registry::new()).unwrap();
        let gate = Arc::new(Mutex::new(Gate::new()));
        let peers = Arc::default();
        let directives = control.directives();
        control.set_entries(
            entries
                .iter()
                .map(|entry| (entry.vm.vm.clone(), entry.vm.control))
                .collect(),
        );
        control.set_report(report(vm, &control));
        let driven = drive(
            report(vm, &control),
            control.clone(),
            Arc::clone(&gate),
            Arc::clone(&peers),
            directives,
        );
        Self {
            control,
            gate,
            peers,
            task: tokio::spawn(driven),
        }
    }

    pub(crate) fn admits(&self) -> Option<Epoch> {
        let gate = self.gate.lock().unwrap();
        gate.admit(Instant::now(), None).ok().map(|it| it.epoch)
    }
}

async fn drive(
    mut report: Report,
    control: AgentControl,
    gate: Arc<Mutex<Gate>>,
    peers: Arc<Mutex<Vec<VmEntry>>>,
    mut directives: tokio::sync::mpsc::Receiver<FromEntry>,
) {
    while let Some(from) = directives.recv().await {
        let mut gate = gate.lock().unwrap();
        gate.on_directive(Instant::now(), from.sent_at, &from.entry, &from.directive);
        if let Some(state) = from.directive.state {
            let epoch = state.epoch;
            report.config = state.revision;
            gate.set_phase(epoch, WeightsPhase::Loaded, Some(digest(epoch)));
            control.set_state(Some(state));
        }
        gate.fill_report(&mut report);
        control.set_report(report.clone());
        *peers.lock().unwrap() = from.directive.peers;
    }
}

fn digest(epoch: Epoch) -> Digest {
    Digest::of(&epoch.to_be_bytes())
}

fn report(vm: &str, control: &AgentControl) -> Report {
    Report {
        vm: vm.to_owned(),
        incarnation: 1,
        sequence: 0,
        data_centre: HERE.to_owned(),
        region: "sierra".to_owned(),
        service: SERVICE.to_owned(),
        data: loopback(),
        control: control.addr(),
        config: 0,
        in_flight: 0,
        capacity: 8,
        load: None,
        bundles: 2,
        leaving: false,
        closed_below: 0,
        open: None,
        open_weights: None,
        weights: BTreeMap::new(),
        chunks: (0, 0),
        trouble: None,
    }
}

/// Returns a state in which the service has its `epoch`-th epoch, ready at `ready` agents.
pub(crate) fn state(epoch: Epoch, ready: u32) -> StateView {
    let place = Place {
        data_centre: HERE.to_owned(),
        vms: VmSelection::All,
        ready,
    };
    let document = Document {
        service: SERVICE.to_owned(),
        kind: ServiceKind::Engine,
        model: Some(ModelRef {
            name: "scribe".to_owned(),
            version: epoch.to_string(),
        }),
        adapters: Vec::new(),
        places: vec![place],
        priority: Priority::Normal,
        spread: SpreadSettings::default(),
        limits: BTreeMap::new(),
        default_limit: None,
        objectives: Objectives::default(),
    };
    let service = ServiceState {
        service: SERVICE.to_owned(),
        team: "scribes".to_owned(),
        revision: epoch,
        epoch,
        document: Some(Box::new(document)),
    };
    StateView {
        offset: epoch,
        services: BTreeMap::from([(SERVICE.to_owned(), service)]),
    }
}

/// Waits until `condition` holds, and fails after the time-out.
pub(crate) async fn until(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < WAIT_TIMEOUT, "not in time: {what}");
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// Makes entries known to each other.
pub(crate) fn introduce(entries: &[&Entry]) {
    let vms: Vec<VmEntry> = entries.iter().map(|entry| entry.vm.clone()).collect();
    for entry in entries {
        entry.control.set_entries(vms.clone());
    }
}

/// Returns the value of a counter, summed over its labels.
pub(crate) fn metric(registry: &Registry, name: &str) -> u64 {
    let families = registry.gather();
    let family = families.iter().find(|family| family.name() == name);
    let values = family.iter().flat_map(|family| family.get_metric());
    let sum: f64 = values
        .map(|metric| metric.get_counter().get_value() + metric.get_gauge().get_value())
        .sum();
    sum as u64
}
