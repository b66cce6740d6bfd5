//! When a connection may be closed with no request lost.

use std::time::{Duration, Instant};

use crate::activity::Activity;
use crate::phase::{Phase, PhaseWatch};

/// How long callers are told that an idle connection is kept. It bounds the drain of a process, whose
/// callers hear of it only in their next answer; a second is the smallest unit of the header.
pub(crate) const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(2);

/// Further time for which an idle connection is kept: the caller counts from when it has read the answer, and
/// its request is still under way a while after it was sent. The kernel doesn't tell when a caller reads.
const KEEP_ALIVE_MARGIN: Duration = KEEP_ALIVE_TIMEOUT;

/// Longest time for which a server that leaves keeps a connection that its caller does not use.
pub const MAX_IDLE: Duration = KEEP_ALIVE_TIMEOUT.saturating_add(KEEP_ALIVE_MARGIN);

/// How long a connection is idle before it is closed in the last moment: what follows an answer at once, or
/// is on its way, is read.
const ENDING_MIN_IDLE: Duration = Duration::from_millis(100);

/// How long the rest of a head is waited for in the last moment. It ends well before the process does, which
/// would reset the connection under a request that has become whole by then.
const ENDING_HEAD_TIMEOUT: Duration = Duration::from_millis(100);

/// Time after which a connection that is busy is looked at again.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until the connection may be closed, and says why it may. `unread` tells what lies in its socket.
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
            // A request has come that the runtime has not heard of yet.
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
