//! Waiting for the configuration that the entry puts in force.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;
use wagtailreel_core::Offset;
use wagtailreel_entry::wait_in_force;

/// Far longer than any of these waits takes.
const BOUND: Duration = Duration::from_secs(5);

/// What is put in force while the entry looks is found by the next look, though nothing follows it.
#[tokio::test]
async fn change_during_look() {
    let (tx, rx) = watch::channel::<Offset>(0);
    let mut applied = 0;
    let found = wait_in_force(rx, Instant::now() + BOUND, |in_force| {
        let seen = applied;
        applied = 1;
        tx.send_replace(1);
        (seen == 1 && in_force >= 1).then_some(seen)
    });
    assert_eq!(found.await, Some(1));
}

/// A change that comes later is waited for.
#[tokio::test]
async fn later_change() {
    let (tx, rx) = watch::channel::<Offset>(0);
    let wait = wait_in_force(rx, Instant::now() + BOUND, |at| (at == 3).then_some(at));
    let change = async {
        tokio::task::yield_now().await;
        tx.send_replace(3);
    };
    // In this order the wait begins before the change.
    let (found, ()) = tokio::join!(biased; wait, change);
    assert_eq!(found, Some(3));
}

/// Nothing is found when the time has passed.
#[tokio::test]
async fn no_change() {
    let (_tx, rx) = watch::channel::<Offset>(0);
    let until = Instant::now() + Duration::from_millis(10);
    let found = wait_in_force(rx, until, |at| (at == 1).then_some(at));
    assert_eq!(found.await, None);
    assert!(Instant::now() >= until);
}
