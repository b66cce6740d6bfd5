//! The gate and the exact count of the requests it admitted, under one lock.
//!
//! Invariant: a request is counted in the same critical section that admits it. If the gate no
//! longer admits requests to an epoch and, under the lock, none of its requests runs, then none
//! will run later.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use tokio::sync::watch;
use wagtailreel_core::{Digest, Epoch, NotRunReason};
use wagtailreel_switch::{Admission, Gate};

/// The gate and the counts of running requests.
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
    /// Creates an admitter whose gate is closed.
    pub fn new(capacity: u32) -> Self {
        Self {
            capacity,
            gated: Mutex::new(Gated::default()),
            in_flight: watch::Sender::new(0),
        }
    }

    /// Returns the maximum number of requests that run at once.
    pub fn capacity(&self) -> u32 {
        self.capacity
    }

    /// Locks the gate.
    pub fn lock(&self) -> MutexGuard<'_, Gated> {
        // No code panics while it holds the lock, so the state is consistent even if the lock is poisoned.
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

    /// Checks again that an admitted request may be sent to the upstream now.
    ///
    /// # Errors
    ///
    /// Returns why the request is not run.
    pub fn confirm(&self, now: Instant, admission: Admission) -> Result<(), NotRunReason> {
        let gated = self.lock();
        match gated.gate.admit(now, None)? {
            same if same == admission => Ok(()),
            _ => Err(NotRunReason::Closed),
        }
    }

    /// Removes a request from the count.
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
        // The sender lives as long as `self`, so the wait ends only when the condition holds.
        let _ = rx.wait_for(|count| *count == 0).await;
    }
}
