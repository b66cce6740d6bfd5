//! Simulated processes and their start.

use super::*;

#[derive(Debug)]
pub(super) struct Process {
    pub(super) incarnation: Incarnation,
    pub(super) suspended: bool,
    /// Events received while the process was suspended.
    pub(super) pending: Vec<Event>,
    /// Rate of the process's clock, in thousandths of the true rate.
    pub(super) rate: u64,
    pub(super) kind: Kind,
}

#[derive(Debug)]
pub(super) enum Kind {
    Entry(Box<Opener>, ShellState),
    Agent(Box<Agent>),
}

impl World {
    pub(super) fn start(&mut self, vm: VmId) {
        self.starts += 1;
        if self.now > 0 {
            self.note(&vm, "starts");
        }
        let incarnation = self.starts;
        let rate = 995 + self.draw(11);
        let now = self.clock(rate);
        let kind = if vm.starts_with('e') {
            let cfg = OpenerConfig {
                vm: vm.clone(),
                incarnation,
                data_centre: DATA_CENTRE.to_owned(),
                control: "127.0.0.1:1".parse().unwrap(),
                lease: Duration::from_millis(LEASE_MS),
            };
            let mut opener = Opener::new(cfg, now);
            // An entry has the list of VMs before it starts its sync rounds.
            opener.on_entries(now, &vm_entries(&self.listed, VmRole::Entry));
            let agents: Vec<VmId> = (0..self.plan.agents).map(agent_name).collect();
            opener.on_vms(now, &vm_entries(&agents, VmRole::Upstream));
            Kind::Entry(
                Box::new(opener),
                ShellState {
                    list: self.list,
                    ..ShellState::default()
                },
            )
        } else {
            Kind::Agent(Box::new(Agent {
                list: self.list,
                entries: self.listed.clone(),
                ..Agent::default()
            }))
        };
        let process = Process {
            incarnation,
            suspended: false,
            pending: Vec::new(),
            rate,
            kind,
        };
        self.processes.insert(vm.clone(), process);
        let lag = self.draw(self.plan.lag + 1);
        let first = if vm.starts_with('e') {
            Event::Round
        } else {
            Event::ReportDue
        };
        self.push(self.now, Item::To(vm.clone(), incarnation, first));
        let state = Event::State(self.state.clone());
        self.push(self.now + lag, Item::To(vm, incarnation, state));
    }
}
