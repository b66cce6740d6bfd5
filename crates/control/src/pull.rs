//! Pulls the configuration from a peer.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::oneshot;
use wagtailreel_core::{StateView, VmId};
use wagtailreel_wire::control_capnp::state_holder;
use wagtailreel_wire::read_state_view;

use crate::ControlError;
use crate::error::EndedSnafu;
use crate::link::Link;
use crate::metrics::Metrics;
use crate::thread::spawn;

/// Asks the entry or agent at `addr` for its configuration.
///
/// The call runs on a thread of its own, since the types of `capnp-rpc` are not `Send`. It is
/// meant for a process that starts while the platform is unreachable.
///
/// # Errors
///
/// Returns a [`ControlError`] if the peer can't be reached, does not answer within `timeout` or
/// closes the connection, or if no thread can be started.
pub async fn pull_state(addr: SocketAddr, timeout: Duration) -> Result<StateView, ControlError> {
    let (tx, rx) = oneshot::channel();
    spawn("pull-state", std::future::pending(), move || async move {
        // The caller may have dropped the receiver.
        let _ = tx.send(pull(addr, timeout).await);
    })?;
    match rx.await {
        Ok(result) => result,
        Err(_closed) => EndedSnafu.fail(),
    }
}

async fn pull(addr: SocketAddr, timeout: Duration) -> Result<StateView, ControlError> {
    let metrics = Metrics::unregistered()?;
    let link = Link::new(VmId::new(), addr, timeout, metrics);
    let call = |client: state_holder::Client| async move {
        let response = client.pull_request().send().promise.await?;
        Ok(read_state_view(response.get()?.get_state()?)?)
    };
    link.call(timeout, call).await
}
