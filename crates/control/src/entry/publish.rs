//! What the control thread tells the entry's other threads.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::sleep;
use wagtailreel_core::StateView;

use super::shell::Shell;
use super::{AgentViews, DemandViews};

/// Time between publications of what may wait: load and counts.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(20);

/// The ends that the control thread writes to.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outputs {
    pub(crate) agents: watch::Sender<AgentViews>,
    pub(crate) demands: watch::Sender<DemandViews>,
    pub(crate) learned: watch::Sender<StateView>,
}

/// Publishes the agents' reports: at once what routing depends on, the rest every few
/// milliseconds, so that the map isn't copied with each report.
pub(crate) async fn publish(shell: Rc<Shell>) {
    loop {
        tokio::select! {
            () = shell.publish_due() => {}
            () = sleep(PUBLISH_INTERVAL) => {}
        }
        shell.publish_agents();
    }
}
