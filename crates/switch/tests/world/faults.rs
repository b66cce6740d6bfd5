//! Effects of faults and edits on processes.

use super::*;

impl World {
    pub(crate) fn inject(&mut self, vm: &VmId, fault: Fault) {
        if self.faults_off || !self.processes.contains_key(vm) {
            return;
        }
        let text = match fault {
            Fault::Suspend(length) => format!("is suspended for {length} ms"),
            Fault::Restart(_) => "is killed".to_owned(),
            Fault::Replace(_) => "is killed and replaced by another VM".to_owned(),
        };
        self.note(vm, &text);
        match fault {
            Fault::Suspend(length) => {
                let process = self.processes.get_mut(vm).unwrap();
                if process.suspended {
                    return;
                }
                process.suspended = true;
                let resume = Item::Resume(vm.clone(), process.incarnation);
                self.push(self.now + length, resume);
            }
            Fault::Restart(after) => {
                self.kill(vm);
                self.push(self.now + after, Item::Start(vm.clone()));
            }
            Fault::Replace(after) if vm.starts_with('e') => {
                self.kill(vm);
                self.replaced += 1;
                let new_vm = entry_name(self.plan.entries + self.replaced - 1);
                self.listed.retain(|name| name != vm);
                self.listed.push(new_vm.clone());
                self.list += 1;
                self.push(self.now + after, Item::Start(new_vm));
                let processes: Vec<(VmId, Incarnation)> = self
                    .processes
                    .iter()
                    .map(|(vm, process)| (vm.clone(), process.incarnation))
                    .collect();
                for (vm, incarnation) in processes {
                    let lag = self.draw(self.plan.lag + 1);
                    let list = Event::List(self.list, self.listed.clone());
                    self.push(self.now + lag, Item::To(vm, incarnation, list));
                }
            }
            Fault::Replace(after) => self.inject(vm, Fault::Restart(after)),
        }
    }

    pub(crate) fn kill(&mut self, vm: &VmId) {
        let process = self.processes.remove(vm).unwrap();
        if let Kind::Agent(agent) = process.kind {
            self.killed_gates.push((process.rate, agent.gate));
        }
    }

    /// Resumes a process. Events received while it was suspended are handled in random order.
    pub(crate) fn resume(&mut self, vm: &VmId, incarnation: Incarnation) {
        let Some(process) = self.processes.get_mut(vm) else {
            return;
        };
        if process.incarnation != incarnation {
            return;
        }
        process.suspended = false;
        let mut pending = std::mem::take(&mut process.pending);
        self.note(vm, "resumes");
        while !pending.is_empty() {
            let index = usize::try_from(self.draw(u64::try_from(pending.len()).unwrap())).unwrap();
            let event = pending.swap_remove(index);
            self.push(self.now, Item::To(vm.clone(), incarnation, event));
        }
    }

    pub(crate) fn edit(&mut self, epoch: Epoch) {
        self.note("--", &format!("edit {epoch} is accepted"));
        let document = document(self.plan.ready);
        let state = ServiceState {
            service: SERVICE.to_owned(),
            team: "scribes".to_owned(),
            revision: epoch,
            epoch,
            document: Some(Box::new(document)),
        };
        self.state.offset = epoch;
        self.state.services.insert(SERVICE.to_owned(), state);
        let entries: Vec<(VmId, Incarnation)> = self
            .processes
            .iter()
            .filter(|(_, process)| matches!(process.kind, Kind::Entry(..)))
            .map(|(vm, process)| (vm.clone(), process.incarnation))
            .collect();
        for (vm, incarnation) in entries {
            let lag = self.draw(self.plan.lag + 1);
            let state = Event::State(self.state.clone());
            self.push(self.now + lag, Item::To(vm, incarnation, state));
        }
    }

    pub(crate) fn resolve(&self, target: FaultTarget, actor: Option<&VmId>) -> VmId {
        let entries = &self.listed;
        match target {
            FaultTarget::Actor => actor.unwrap_or(&entries[0]).clone(),
            FaultTarget::Entry(index) => entries[index % entries.len()].clone(),
            FaultTarget::Agent(index) => agent_name(index % self.plan.agents),
        }
    }
}
