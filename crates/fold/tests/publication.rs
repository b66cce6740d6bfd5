//! Concurrent threads publish states in the order of the fold: an older state never replaces a newer one.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use wagtailreel_fold::Publication;

/// Number of threads that publish.
const THREADS: usize = 4;
/// Number of states that each thread publishes.
const ROUNDS: usize = 20_000;

#[test]
fn never_reverts() {
    let publication = Arc::new(Publication::default());
    let fold = Arc::new(AtomicU64::new(0));
    let in_force = Arc::new(AtomicU64::new(0));
    let threads: Vec<_> = (0..THREADS)
        .map(|_| {
            let (publication, fold, in_force) = (
                Arc::clone(&publication),
                Arc::clone(&fold),
                Arc::clone(&in_force),
            );
            thread::spawn(move || {
                let mut reverted = 0;
                for _ in 0..ROUNDS {
                    fold.fetch_add(1, Ordering::SeqCst);
                    let read = || fold.load(Ordering::SeqCst);
                    let before = publication.publish(read, |state| {
                        let before = in_force.swap(state, Ordering::SeqCst);
                        before > state
                    });
                    reverted += u64::from(before);
                }
                reverted
            })
        })
        .collect();
    let reverted: u64 = threads.into_iter().filter_map(|it| it.join().ok()).sum();
    assert_eq!(reverted, 0, "states that were replaced by an older one");
    assert_eq!(in_force.load(Ordering::SeqCst), (THREADS * ROUNDS) as u64);
}
