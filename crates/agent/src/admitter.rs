//! The gate and the exact count of what runs behind it, under one lock.
//!
//! Invariant: a request is counted in the same critical section that admits it. So whoever sees
//! under the lock that nothing runs in an epoch which the gate no longer admits knows that
//! nothing will run in it any more.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use tokio::sync::watch;
use wagtailreel_core::{Digest, Epoch, NotRunReason};
use wagtailreel_switch::{Admission, Gate};

/// Gate and counts.
#[derive(Debug, Default)]
pub struct Gated {
    /// The gate.
    pub gate: Gate,
    running: BTreeMap<Epoch, u32>,
}

impl Gated {
    /// Returns how many requests run in each epoch.
    pub fn running(&self) -> &BTreeMap<Epoch, u32> {
        &self.running
    }

    /// Returns how many requests run in all.
    pub fn in_flight(&self) -> u32 {
        self.running.values().sum()
    }
}

/// Admits requests up to a capacity and counts them until they end.
#[derive(Debug)]
pub struct Admitter {
    capacity: u32,
    gated: Mutex<Gated>,
    in_flight: watch::Sender<u32>,
}

impl Admitter {
    /// Makes an admitter whose gate is closed.
    pub fn new(capacity: u32) -> Self {
        Self {
            capacity,
            gated: Mutex::new(Gated::default()),
            in_flight: watch::Sender::new(0),
        }
    }

    /// Returns the most requests that run at once.
    pub fn capacity(&self) -> u32 {
        self.capacity
    }

    /// Locks the gate.
    pub fn lock(&self) -> MutexGuard<'_, Gated> {
        // No code panics while it holds the lock, so that the state is whole in any case.
        self.gated.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Admits a request and counts it; [`Admitter::leave`] must follow.
    ///
    /// # Errors
    ///
    /// Returns why the request is not run.
    pub fn enter(&self, now: Instant, pin: Option<Digest>) -> Result<Admission, NotRunReason> {
        let mut gated = self.lock();
        if gated.gate.is_leaving() {
            return Err(NotRunReason::Leaving);
        }
        if gated.in_flight() >= self.capacity {
            return Err(NotRunReason::Full);
        }
        let admission = gated.gate.admit(now, pin)?;
        *gated.running.entry(admission.epoch).or_default() += 1;
        self.in_flight.send_replace(gated.in_flight());
        Ok(admission)
    }

    /// Checks once more that an admitted request may go to the upstream now.
    ///
    /// # Errors
    ///
    /// Returns why the request is not run after all.
    pub fn confirm(&self, now: Instant, admission: Admission) -> Result<(), NotRunReason> {
        let gated = self.lock();
        match gated.gate.admit(now, None)? {
            same if same == admission => Ok(()),
            _ => Err(NotRunReason::Closed),
        }
    }

    /// Takes a request out of the count.
    pub fn leave(&self, epoch: Epoch) {
        let mut gated = self.lock();
        if let Some(count) = gated.running.get_mut(&epoch) {
            *count -= 1;
            if *count == 0 {
                gated.running.remove(&epoch);
            }
        }
        self.in_flight.send_replace(gated.in_flight());
    }

    /// Waits until no request runs.
    pub async fn drained(&self) {
        let mut rx = self.in_flight.subscribe();
        // The sender lives as long as `self`, so that the wait ends only with the condition.
        let _ = rx.wait_for(|count| *count == 0).await;
    }
}
