//! Waiting until a configuration is in force at the entry.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;
use wagtailreel_core::Offset;
use wagtailreel_entry::wait_in_force;

/// Time-out that is far longer than any of these waits.
const WAIT_TIMEOUT: Duration = Duration::from_secs(5);

/// Guards against a missed change: a configuration that is put in force during a check is found by the
/// next check, even if no further change follows.
#[tokio::test]
async fn change_during_check() {
    let (tx, rx) = watch::channel::<Offset>(0);
    let mut applied = 0;
    let found = wait_in_force(rx, Instant::now() + WAIT_TIMEOUT, |in_force| {
        let seen = applied;
        applied = 1;
        tx.send_replace(1);
        (seen == 1 && in_force >= 1).then_some(seen)
    });
    assert_eq!(found.await, Some(1));
}

/// The wait ends with a later change.
#[tokio::test]
async fn later_change() {
    let (tx, rx) = watch::channel::<Offset>(0);
    let wait = wait_in_force(rx, Instant::now() + WAIT_TIMEOUT, |at| {
        (at == 3).then_some(at)
    });
    let change = async {
        tokio::task::yield_now().await;
        tx.send_replace(3);
    };
    // The biased order starts the wait before the change.
    let (found, ()) = tokio::join!(biased; wait, change);
    assert_eq!(found, Some(3));
}

/// The wait returns `None` after its time-out.
#[tokio::test]
async fn no_change() {
    let (_tx, rx) = watch::channel::<Offset>(0);
    let until = Instant::now() + Duration::from_millis(10);
    let found = wait_in_force(rx, until, |at| (at == 1).then_some(at));
    assert_eq!(found.await, None);
    assert!(Instant::now() >= until);
}
