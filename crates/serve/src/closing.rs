//! Decides when a connection can be closed without losing a request.

use std::time::{Duration, Instant};

use crate::activity::Activity;
use crate::phase::{Phase, PhaseWatch};

/// Time for which an idle connection is kept, as announced in the `Keep-Alive` header.
///
/// The time bounds how fast a process can drain, because callers learn of the drain only from their next
/// response. The smallest unit of the header is one second.
pub(crate) const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time added to [`KEEP_ALIVE_TIMEOUT`] before an idle connection is closed.
///
/// The caller counts from when it has read the response, which the kernel does not report, and its next
/// request takes time to arrive.
const KEEP_ALIVE_MARGIN: Duration = KEEP_ALIVE_TIMEOUT;

/// Longest time for which a server in [`Phase::Leaving`] keeps an idle connection.
pub const MAX_IDLE: Duration = KEEP_ALIVE_TIMEOUT.saturating_add(KEEP_ALIVE_MARGIN);

/// Idle time after which a connection is closed in [`Phase::Ending`].
///
/// A request that follows a response at once, or that is already in transit, is still read.
const ENDING_MIN_IDLE: Duration = Duration::from_millis(100);

/// Time to wait for the rest of a partial head in [`Phase::Ending`].
///
/// The time-out expires well before the process exits: the exit would reset the connection of a request whose
/// head had become complete by then.
const ENDING_HEAD_TIMEOUT: Duration = Duration::from_millis(100);

/// Interval at which a busy connection is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until the connection can be closed, and returns the reason for the log.
///
/// `unread` returns the number of bytes in the receive buffer of the socket.
pub(crate) async fn closable<F>(phase: &PhaseWatch, activity: &Activity, unread: F) -> &'static str
where
    F: Fn() -> u64,
{
    phase.reached(Phase::Leaving).await;
    let mut ending_since = None;
    loop {
        let is_ending = phase.now() >= Phase::Ending;
        let (why, min_idle) = if is_ending {
            ("ending", ENDING_MIN_IDLE)
        } else {
            ("idle", MAX_IDLE)
        };
        if is_ending {
            let since = *ending_since.get_or_insert_with(Instant::now);
            let is_late = since.elapsed() >= ENDING_HEAD_TIMEOUT;
            if is_late && activity.is_in_head() && unread() == 0 {
                return "begun";
            }
        }
        let next_check = match activity.idle(Instant::now(), MAX_IDLE) {
            Some(idle) if idle < min_idle => min_idle - idle,
            Some(_) if unread() == 0 => return why,
            // The kernel has received a request that the runtime has not read yet.
            Some(_) => CHECK_INTERVAL,
            None if is_ending => CHECK_INTERVAL,
            None => MAX_IDLE,
        };
        tokio::select! {
            () = tokio::time::sleep(next_check) => {}
            () = phase.reached(Phase::Ending), if !is_ending => {}
        }
    }
}
