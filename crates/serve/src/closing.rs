//! When a connection may be closed with no request lost.

use std::time::{Duration, Instant};

use crate::activity::Activity;
use crate::phase::{Phase, PhaseWatch};

/// How long callers are told that an idle connection is kept. It bounds the drain of a process, whose
/// callers hear of it only in their next answer; a second is the smallest unit of the header.
pub(crate) const KEPT: Duration = Duration::from_secs(2);

/// Further time for which an idle connection is kept: a request that was sent at the last moment is
/// still under way then, and the caller began to count when it had read the answer.
const MARGIN: Duration = Duration::from_millis(500);

/// Longest wait for a connection that is busy to be looked at again.
const LOOK: Duration = Duration::from_millis(100);

/// Waits until the connection may be closed, and says why it may.
pub(crate) async fn closable(phase: &PhaseWatch, activity: &Activity) -> &'static str {
    phase.reached(Phase::Leaving).await;
    loop {
        let idle = activity.idle(Instant::now());
        let is_ending = phase.now() >= Phase::Ending;
        let look = match idle {
            Some(_) if is_ending => return "ending",
            Some(idle) if idle >= KEPT + MARGIN => return "idle",
            Some(idle) => KEPT + MARGIN - idle,
            None if is_ending => LOOK,
            None => KEPT + MARGIN,
        };
        tokio::select! {
            () = tokio::time::sleep(look) => {}
            () = phase.reached(Phase::Ending), if !is_ending => {}
            () = activity.answered(), if is_ending => {}
        }
    }
}
