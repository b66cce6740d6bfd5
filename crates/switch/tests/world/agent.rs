//! Simulated agents: a gate, and weights that are staged and loaded after a random time.

use super::*;

#[derive(Debug, Default)]
pub(crate) struct Agent {
    pub(super) gate: Gate,
    pub(super) sequence: u64,
    pub(super) config: Offset,
    pub(super) target: Epoch,
    /// Epochs that have been loaded at any time.
    pub(super) loaded: BTreeSet<Epoch>,
    /// Version of the list of VMs that the agent has.
    pub(super) list: u64,
    pub(super) entries: Vec<VmId>,
}

impl World {
    pub(super) fn on_agent(
        &mut self,
        now: Instant,
        vm: &VmId,
        incarnation: Incarnation,
        agent: &mut Agent,
        event: Event,
        out: &mut Vec<(Option<u64>, VmId, Event)>,
    ) {
        let mut report = false;
        match event {
            Event::ReportDue => {
                report = true;
                out.push((Some(REPORT_MS), vm.clone(), Event::ReportDue));
            }
            Event::Directive(from, sent_at, directive) => {
                let change = agent.gate.on_directive(now, sent_at, &from, &directive);
                report |= change.is_some();
                if let Some(state) = &directive.state
                    && state.revision > agent.config
                {
                    agent.config = state.revision;
                    agent.target = state.epoch;
                    report |= self.stage_target(vm, agent, out);
                }
            }
            Event::Staged(epoch) if epoch == agent.target => {
                agent.gate.set_phase(epoch, WeightsPhase::Staged, None);
                report = true;
            }
            Event::Loaded(epoch) if agent.gate.phase(epoch) == Some(WeightsPhase::Loading) => {
                let digest = self.digest(epoch);
                agent
                    .gate
                    .set_phase(epoch, WeightsPhase::Loaded, Some(digest));
                agent.loaded.insert(epoch);
                self.note(vm, &format!("has loaded {epoch}"));
                report = true;
            }
            Event::List(version, entries) if version > agent.list => {
                agent.list = version;
                agent.entries = entries;
            }
            _ => {}
        }
        report |= self.load(vm, agent, out);
        if report {
            agent.sequence += 1;
            for entry in entries_of(vm, &agent.entries, self.plan.entries_per_agent) {
                let report = make_report(vm, incarnation, agent, self.plan.bundles);
                out.push((None, entry, Event::Report(now, Box::new(report))));
            }
        }
    }

    /// Begins to stage the target's weights, unless the engine has the same weights loaded.
    fn stage_target(
        &mut self,
        vm: &VmId,
        agent: &mut Agent,
        out: &mut Vec<(Option<u64>, VmId, Event)>,
    ) -> bool {
        let epoch = agent.target;
        let digest = self.digest(epoch);
        let same = |old: &Epoch| {
            agent.gate.phase(*old) == Some(WeightsPhase::Loaded) && self.digest(*old) == digest
        };
        if agent.loaded.iter().any(same) {
            agent
                .gate
                .set_phase(epoch, WeightsPhase::Loaded, Some(digest));
            agent.loaded.insert(epoch);
            self.note(vm, &format!("holds the weights of {epoch} already"));
            return true;
        }
        let staged = 20 + self.draw(400);
        out.push((Some(staged), vm.clone(), Event::Staged(epoch)));
        false
    }

    /// Returns the digest of the weights of an epoch.
    fn digest(&self, epoch: Epoch) -> Digest {
        let index = usize::try_from(epoch / 10 - 1).unwrap();
        let version = self.plan.versions.get(index).copied().unwrap_or(epoch);
        Digest::of(&version.to_be_bytes())
    }

    /// Loads the target if the engine has a free slot or may drop another bundle, as a real agent
    /// does.
    fn load(
        &mut self,
        vm: &VmId,
        agent: &mut Agent,
        out: &mut Vec<(Option<u64>, VmId, Event)>,
    ) -> bool {
        let target = agent.target;
        if agent.gate.phase(target) != Some(WeightsPhase::Staged) {
            return false;
        }
        let slots = usize::try_from(self.plan.bundles).unwrap();
        if engine_epochs(agent).len() >= slots {
            for epoch in agent.gate.droppable(target) {
                agent.gate.remove_epoch(epoch);
                self.note(vm, &format!("drops {epoch}"));
            }
        }
        if engine_epochs(agent).len() >= slots {
            let swapped = agent.gate.open().filter(|_| slots == 1);
            let Some(open) = swapped.filter(|_| agent.gate.may_swap(target)) else {
                return false;
            };
            agent.gate.remove_epoch(open);
            self.note(vm, &format!("drops open {open} to load {target}"));
        }
        agent.gate.set_phase(target, WeightsPhase::Loading, None);
        let loaded = 20 + self.draw(400);
        out.push((Some(loaded), vm.clone(), Event::Loaded(target)));
        true
    }
}

/// Returns the epochs that occupy a slot in the engine.
fn engine_epochs(agent: &Agent) -> Vec<Epoch> {
    let mut report = make_report(&String::new(), 0, agent, 0);
    agent.gate.fill_report(&mut report);
    report
        .weights
        .into_iter()
        .filter(|(_, phase)| *phase >= WeightsPhase::Loading)
        .map(|(epoch, _)| epoch)
        .collect()
}
