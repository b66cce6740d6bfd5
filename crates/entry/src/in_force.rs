//! Waiting for the configuration that the entry puts in force.

use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};
use wagtailreel_core::Offset;

/// Calls `check` now and after each change of the offset in force, until it finds something or
/// `until` has passed. `check` is given an offset that is in force while it looks.
pub async fn wait_in_force<F, T>(
    mut offset: watch::Receiver<Offset>,
    until: Instant,
    mut check: F,
) -> Option<T>
where
    F: FnMut(Offset) -> Option<T>,
{
    loop {
        // Invariant: a change counts as seen only if `check` reads after it. Marked after the look, a
        // change that came during it was waited for in vain, and an operator whose edit was in force was
        // told after 5 s that it was not read back.
        let in_force = *offset.borrow_and_update();
        if let Some(found) = check(in_force) {
            return Some(found);
        }
        if !matches!(timeout_at(until, offset.changed()).await, Ok(Ok(()))) {
            return None;
        }
    }
}
