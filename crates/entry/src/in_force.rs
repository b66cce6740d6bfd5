//! Waits for a configuration to come into force at this entry.

use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};
use wagtailreel_core::Offset;

/// Calls `check` now and after each change of the offset in force, until it returns a value or `until` has
/// passed. `check` gets an offset that is in force during the call.
pub async fn wait_in_force<F, T>(
    mut offset: watch::Receiver<Offset>,
    until: Instant,
    mut check: F,
) -> Option<T>
where
    F: FnMut(Offset) -> Option<T>,
{
    loop {
        // Invariant: a change counts as seen only if `check` runs after it. If the change were marked as seen
        // after the check, one that arrives during the check would be missed: an operator whose edit is in
        // force would be told after 5 s that it was not read back.
        let in_force = *offset.borrow_and_update();
        if let Some(found) = check(in_force) {
            return Some(found);
        }
        if !matches!(timeout_at(until, offset.changed()).await, Ok(Ok(()))) {
            return None;
        }
    }
}
