//! Chance with a seed.

use std::sync::{Mutex, PoisonError};

use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};

/// Draws from a seed, so that a run can be repeated.
#[derive(Debug)]
pub(crate) struct Chance {
    rng: Mutex<SmallRng>,
}

impl Chance {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            rng: Mutex::new(SmallRng::seed_from_u64(seed)),
        }
    }

    /// Says yes with the probability `share`, from 0 to 1. Draws nothing at 0.
    pub(crate) fn hits(&self, share: f64) -> bool {
        share > 0.0 && self.lock().random::<f64>() < share
    }

    /// Draws a number below `end`, or 0.
    pub(crate) fn below(&self, end: usize) -> usize {
        if end < 2 {
            return 0;
        }
        self.lock().random_range(0..end)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, SmallRng> {
        self.rng.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the seeds that the environment variable `name` names, as `A-B` or `A,B,C`, or else those of `usual`.
///
/// # Panics
///
/// Panics if they can't be read: a run without its seeds would pass.
pub fn seeds(name: &str, usual: &str) -> Vec<u64> {
    let text = std::env::var(name).unwrap_or_else(|_| usual.to_owned());
    let seed = |text: &str| -> u64 {
        let seed = text.parse();
        seed.unwrap_or_else(|e| panic!("{name}: {text:?} is no seed ({e})"))
    };
    match text.split_once('-') {
        Some((first, last)) => (seed(first)..=seed(last)).collect(),
        None => text.split(',').map(seed).collect(),
    }
}
