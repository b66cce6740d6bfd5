//! Chunks on their way to peers.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Most chunks on their way to peers at once.
///
/// More would only make each slower, and a peer can give a chunk on only once it is whole.
const MOST: usize = 4;

/// A reader that takes nothing for so long no longer keeps others from being served.
const STALL: Duration = Duration::from_secs(5);

/// Counts the chunks on their way to peers, and when each last went on.
#[derive(Debug, Default)]
pub(crate) struct Gives {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    next: u64,
    moved: BTreeMap<u64, Instant>,
}

/// One chunk on its way to a peer; dropped at its end.
#[derive(Debug)]
pub(crate) struct Give {
    gives: Arc<Gives>,
    id: u64,
}

impl Gives {
    /// Begins to give a chunk, unless too many are on their way.
    pub(crate) fn begin(self: &Arc<Self>) -> Option<Give> {
        let now = Instant::now();
        let mut state = self.lock();
        let busy = state
            .moved
            .values()
            .filter(|at| now.saturating_duration_since(**at) < STALL)
            .count();
        if busy >= MOST {
            return None;
        }
        let id = state.next;
        state.next += 1;
        state.moved.insert(id, now);
        drop(state);
        Some(Give {
            gives: Arc::clone(self),
            id,
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Give {
    /// Notes that the reader took something.
    pub(crate) fn moved(&self) {
        self.gives.lock().moved.insert(self.id, Instant::now());
    }
}

impl Drop for Give {
    fn drop(&mut self) {
        self.gives.lock().moved.remove(&self.id);
    }
}
