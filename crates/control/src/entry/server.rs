//! The entry's server: answers agents, peer entries and starting processes.

use std::rc::Rc;
use std::time::{Duration, Instant};

use capnp::Error;
use capnp_rpc::new_client;
use tokio::time::{sleep, timeout_at};
use wagtailreel_core::VmId;
use wagtailreel_wire::control_capnp::{entry, state_holder};
use wagtailreel_wire::{
    DirectiveMessage, Seen, WireError, read_peer_state, read_report, read_seen, write_directive,
    write_entry_demand, write_peer_state, write_report, write_state_view,
};

use super::shell::Shell;
use crate::events;
use crate::metrics::Kind;

/// Serves one entry's state.
struct EntryServer {
    shell: Rc<Shell>,
}

/// Returns the bootstrap capability of each connection.
pub(crate) fn bootstrap(shell: Rc<Shell>) -> capnp::capability::Client {
    let client: entry::Client = new_client(EntryServer { shell });
    client.client
}

impl EntryServer {
    /// Answers a hanging call once the directive has changed, or after `wait`.
    async fn wait_for_change(
        &self,
        vm: VmId,
        incarnation: u64,
        seen: Seen,
        wait: Duration,
    ) -> DirectiveMessage {
        // Subscribed before the first check, so that no change between the two is missed.
        let mut directive_changes = self.shell.directive_changes();
        // A lease starts when the agent sends the call, so the wait is limited to a quarter of it.
        let wait = wait.min(self.shell.timing().lease() / 4);
        let deadline = Instant::now() + wait;
        let Some(service) = self.shell.on_watch(&vm, incarnation) else {
            sleep(wait).await;
            return self.shell.refusal();
        };
        loop {
            let (message, differs) = self.shell.directive(&vm, &service, &seen);
            if differs {
                return self.shell.count_grant(message);
            }
            if timeout_at(deadline.into(), directive_changes.changed())
                .await
                .is_err()
            {
                let (message, _) = self.shell.directive(&vm, &service, &seen);
                return self.shell.count_grant(message);
            }
        }
    }
}

impl state_holder::Server for EntryServer {
    async fn pull(
        self: Rc<Self>,
        _: state_holder::PullParams,
        mut results: state_holder::PullResults,
    ) -> Result<(), Error> {
        write_state_view(&self.shell.state(), results.get().init_state())?;
        let words = results.get().into_reader().total_size()?.word_count;
        self.shell.metrics().sent(Kind::State, words);
        Ok(())
    }
}

impl entry::Server for EntryServer {
    async fn report(
        self: Rc<Self>,
        params: entry::ReportParams,
        mut results: entry::ReportResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let words = params.total_size()?.word_count;
        self.shell.metrics().received(Kind::Report, words);
        let report = checked(Kind::Report, read_report(params.get_report()?))?;
        let seen = read_seen(params.get_seen()?);
        let message = self.shell.on_report(report, &seen);
        write_directive(&message, results.get().init_directive())?;
        let words = results.get().into_reader().total_size()?.word_count;
        self.shell.metrics().sent(Kind::Directive, words);
        Ok(())
    }

    async fn watch(
        self: Rc<Self>,
        params: entry::WatchParams,
        mut results: entry::WatchResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let words = params.total_size()?.word_count;
        self.shell.metrics().received(Kind::Watch, words);
        let vm = params.get_vm()?.to_string()?;
        let seen = read_seen(params.get_seen()?);
        let wait = Duration::from_micros(params.get_wait_micros());
        let message = self
            .wait_for_change(vm, params.get_incarnation(), seen, wait)
            .await;
        write_directive(&message, results.get().init_directive())?;
        let words = results.get().into_reader().total_size()?.word_count;
        self.shell.metrics().sent(Kind::Directive, words);
        Ok(())
    }

    async fn sync(
        self: Rc<Self>,
        params: entry::SyncParams,
        mut results: entry::SyncResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let words = params.total_size()?.word_count;
        self.shell.metrics().received(Kind::PeerState, words);
        let state = checked(Kind::PeerState, read_peer_state(params.get_state()?))?;
        self.shell.on_peer_call(&state);
        write_peer_state(&self.shell.peer_state(), results.get().init_state());
        let words = results.get().into_reader().total_size()?.word_count;
        self.shell.metrics().sent(Kind::PeerState, words);
        Ok(())
    }

    async fn agents(
        self: Rc<Self>,
        _: entry::AgentsParams,
        mut results: entry::AgentsResults,
    ) -> Result<(), Error> {
        let demands = self.shell.local_demands();
        let length = u32::try_from(demands.len()).unwrap_or(u32::MAX);
        let mut list = results.get().init_entries(length);
        for (index, it) in (0..length).zip(&demands) {
            write_entry_demand(&it.vm, &it.demand, it.age, list.reborrow().get(index));
        }
        let agents = self.shell.local_agents();
        let length = u32::try_from(agents.len()).unwrap_or(u32::MAX);
        let mut list = results.get().init_agents(length);
        for (index, (report, age)) in (0..length).zip(&agents) {
            let mut to = list.reborrow().get(index);
            to.set_age_micros(u64::try_from(age.as_micros()).unwrap_or(u64::MAX));
            write_report(report, to.init_report());
        }
        let words = results.get().into_reader().total_size()?.word_count;
        self.shell.metrics().sent(Kind::Agents, words);
        Ok(())
    }
}

/// Logs a message that can't be read and rejects the call.
fn checked<T>(kind: Kind, read: Result<T, WireError>) -> Result<T, Error> {
    read.map_err(|error| {
        let text = error.to_string();
        events::MESSAGE_REFUSED.emit(&[("kind", kind.name()), ("error", &text)]);
        Error::from(error)
    })
}
