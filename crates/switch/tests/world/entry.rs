//! Simulated entries: an opener, and the shell that calls peers and answers reports.

use super::*;

/// State of an entry's shell.
#[derive(Debug, Default)]
pub(super) struct ShellState {
    /// Version of the list of VMs that the entry has.
    pub(super) list: u64,
    /// When each agent sent its last report, by the agent's clock.
    pub(super) sent_at: BTreeMap<VmId, Instant>,
}

pub(super) fn on_entry(
    now: Instant,
    vm: &VmId,
    opener: &mut Opener,
    shell: &mut ShellState,
    event: Event,
    out: &mut Vec<(Option<u64>, VmId, Event)>,
) {
    let mut round = false;
    match event {
        Event::Round => {
            round = true;
            let again = u64::try_from(opener.timing().round_interval().as_millis()).unwrap();
            out.push((Some(again), vm.clone(), Event::Round));
        }
        Event::Timeout(peer, started) => opener.on_peer_failure(now, started, &peer),
        Event::Call(from, started, state) => {
            opener.on_peer_call(now, &state);
            out.push((None, from, Event::Answer(started, opener.peer_state(now))));
        }
        Event::Answer(started, state) => opener.on_peer_answer(now, started, &state),
        Event::Report(sent_at, report) => {
            let directive = if opener.on_report(now, &report) {
                shell.sent_at.insert(report.vm.clone(), sent_at);
                opener.directive(now, &report.vm)
            } else {
                opener.refusal()
            };
            let directive = Event::Directive(vm.clone(), sent_at, Box::new(directive));
            out.push((None, report.vm.clone(), directive));
        }
        Event::State(state) => {
            opener.on_state(now, &state);
        }
        Event::List(version, entries) if version > shell.list => {
            shell.list = version;
            opener.on_entries(now, &vm_entries(&entries, VmRole::Entry));
        }
        _ => {}
    }
    let mut changes = opener.take_changes();
    if round || changes.peers {
        opener.on_round(now);
        changes.services.extend(opener.take_changes().services);
        let timeout = u64::try_from(opener.timing().attempt_timeout().as_millis()).unwrap();
        for peer in opener.peers().into_keys() {
            out.push((Some(timeout), vm.clone(), Event::Timeout(peer.clone(), now)));
            let call = Event::Call(vm.clone(), now, opener.peer_state(now));
            out.push((None, peer, call));
        }
    }
    if !changes.services.is_empty() {
        // Models the answer to a pending watch: the lease runs from when the agent sent its message.
        for (agent, sent_at) in &shell.sent_at {
            let directive = Box::new(opener.directive(now, agent));
            out.push((
                None,
                agent.clone(),
                Event::Directive(vm.clone(), *sent_at, directive),
            ));
        }
    }
}
