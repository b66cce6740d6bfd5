//! The slots of a batch, and the requests that wait for one.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::oneshot;
use wagtailreel_core::{EngineLoad, Priority};

/// Place in the queue: higher priority first, then first come.
type QueueKey = (Reverse<Priority>, u64);

/// Slots for requests that generate at once, and a bounded queue before them.
#[derive(Clone, Debug)]
pub(super) struct Batch {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    slots: u32,
    queue: u32,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    running: u32,
    sequence: u64,
    waiting: BTreeMap<QueueKey, oneshot::Sender<Slot>>,
}

/// The right to generate; the next in the queue gets it when it is dropped.
#[derive(Debug)]
pub(super) struct Slot {
    batch: Batch,
    /// False once the right has passed on.
    is_held: bool,
}

/// A place in the queue, which is left when it is dropped.
#[derive(Debug)]
pub(super) struct Waiting {
    batch: Batch,
    key: QueueKey,
    rx: oneshot::Receiver<Slot>,
}

/// A request that was let in.
#[derive(Debug)]
pub(super) enum Ticket {
    /// It may generate now.
    Slot(Slot),
    /// It waits.
    Waiting(Waiting),
}

impl Batch {
    pub(super) fn new(slots: u32, queue: u32) -> Self {
        Self {
            inner: Arc::new(Inner {
                slots,
                queue,
                state: Mutex::default(),
            }),
        }
    }

    /// Lets a request in; none if slots and queue are full.
    pub(super) fn enter(&self, priority: Priority) -> Option<Ticket> {
        let mut state = self.lock();
        if state.running < self.inner.slots {
            state.running += 1;
            return Some(Ticket::Slot(self.slot()));
        }
        if state.waiting.len() >= self.inner.queue as usize {
            return None;
        }
        state.sequence += 1;
        let key = (Reverse(priority), state.sequence);
        let (tx, rx) = oneshot::channel();
        state.waiting.insert(key, tx);
        Some(Ticket::Waiting(Waiting {
            batch: self.clone(),
            key,
            rx,
        }))
    }

    /// Returns how full the batch is.
    pub(super) fn load(&self) -> EngineLoad {
        let state = self.lock();
        let slots = self.inner.slots.max(1);
        EngineLoad {
            running: state.running,
            waiting: state.waiting.len() as u32,
            kv_permille: 1000 * state.running / slots,
        }
    }

    /// Returns the share of slots that other requests hold, from 0 to 1.
    pub(super) fn crowding(&self) -> f64 {
        let others = self.lock().running.saturating_sub(1);
        let most = self.inner.slots.saturating_sub(1).max(1);
        f64::from(others) / f64::from(most)
    }

    fn slot(&self) -> Slot {
        Slot {
            batch: self.clone(),
            is_held: true,
        }
    }

    /// Passes a slot on to the next in the queue, or frees it.
    fn release(&self) {
        loop {
            let mut state = self.lock();
            let Some((_, tx)) = state.waiting.pop_first() else {
                state.running -= 1;
                return;
            };
            drop(state);
            // A slot that nobody takes any more goes to the one after.
            match tx.send(self.slot()) {
                Ok(()) => return,
                Err(mut slot) => slot.is_held = false,
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let state = &self.inner.state;
        state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if self.is_held {
            self.batch.release();
        }
    }
}

impl Waiting {
    /// Waits for the slot; none if it never comes.
    pub(super) async fn slot(&mut self) -> Option<Slot> {
        (&mut self.rx).await.ok()
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.batch.lock().waiting.remove(&self.key);
    }
}
