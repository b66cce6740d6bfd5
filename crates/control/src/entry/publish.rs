//! Publishes the control thread's state to the entry's other threads.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::sleep;
use wagtailreel_core::StateView;

use super::shell::Shell;
use super::{AgentViews, DemandViews};

/// Time between publications of changes that are not urgent: load and counts.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(20);

/// Senders, held by the control thread.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outputs {
    pub(crate) agents: watch::Sender<AgentViews>,
    pub(crate) demands: watch::Sender<DemandViews>,
    pub(crate) learned: watch::Sender<StateView>,
}

/// Publishes the agents' reports. Changes that routing depends on are published at once, others every
/// few milliseconds, so that the map isn't copied for each report.
pub(crate) async fn publish(shell: Rc<Shell>) {
    loop {
        tokio::select! {
            () = shell.publish_due() => {}
            () = sleep(PUBLISH_INTERVAL) => {}
        }
        shell.publish_agents();
    }
}
