//! The agent's server: sends the agent's configuration to a starting process.

use std::rc::Rc;

use capnp::Error;
use capnp_rpc::new_client;
use wagtailreel_wire::control_capnp::{agent, state_holder};
use wagtailreel_wire::write_state_view;

use super::shell::Shell;
use crate::metrics::Kind;

/// Serves one agent's state.
struct AgentServer {
    shell: Rc<Shell>,
}

/// Returns the bootstrap capability of each connection.
pub(crate) fn bootstrap(shell: Rc<Shell>) -> capnp::capability::Client {
    let client: agent::Client = new_client(AgentServer { shell });
    client.client
}

impl state_holder::Server for AgentServer {
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

impl agent::Server for AgentServer {}
