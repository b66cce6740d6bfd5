//! Constructors of reports, documents and lists of VMs.

use super::*;

pub(crate) fn make_report(
    vm: &VmId,
    incarnation: Incarnation,
    agent: &Agent,
    bundles: u32,
) -> Report {
    let mut report = Report {
        vm: vm.clone(),
        incarnation,
        sequence: agent.sequence,
        data_centre: DATA_CENTRE.to_owned(),
        region: "sierra".to_owned(),
        service: SERVICE.to_owned(),
        data: "127.0.0.1:2".parse().unwrap(),
        control: "127.0.0.1:3".parse().unwrap(),
        config: agent.config,
        in_flight: 0,
        capacity: 8,
        load: None,
        bundles,
        leaving: false,
        closed_below: 0,
        open: None,
        open_weights: None,
        weights: BTreeMap::new(),
        chunks: (0, 0),
        trouble: None,
    };
    agent.gate.fill_report(&mut report);
    report
}

pub(crate) fn document(ready: u32) -> Document {
    let place = Place {
        data_centre: DATA_CENTRE.to_owned(),
        vms: VmSelection::All,
        ready,
    };
    Document {
        service: SERVICE.to_owned(),
        kind: ServiceKind::Engine,
        model: None,
        adapters: Vec::new(),
        places: vec![place],
        priority: Priority::Normal,
        spread: SpreadSettings::default(),
        limits: BTreeMap::new(),
        default_limit: None,
        objectives: Objectives::default(),
    }
}

pub(crate) fn vm_entries(names: &[VmId], role: VmRole) -> Vec<VmEntry> {
    let make = |vm: &VmId| VmEntry {
        vm: vm.clone(),
        data_centre: DATA_CENTRE.to_owned(),
        region: "sierra".to_owned(),
        role,
        state: VmState::Live,
        service: (role == VmRole::Upstream).then(|| SERVICE.to_owned()),
        control: "127.0.0.1:1".parse().unwrap(),
        data: "127.0.0.1:1".parse().unwrap(),
    };
    names.iter().map(make).collect()
}

pub(crate) fn entries_of(vm: &str, entries: &[VmId], count: usize) -> Vec<VmId> {
    let ranked = rank(vm.as_bytes(), entries.iter().map(String::as_str));
    ranked.into_iter().take(count).map(str::to_owned).collect()
}

pub(crate) fn entry_name(index: usize) -> VmId {
    format!("e{index}")
}

pub(crate) fn agent_name(index: usize) -> VmId {
    format!("a{index}")
}
